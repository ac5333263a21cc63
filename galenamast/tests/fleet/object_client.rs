//! Outcomes that the object API client reports for each way a call can end.

use std::time::Duration;

use galenamast::coordination::{
    CallPriority, ObjectKey, ObjectQuery, ObjectVersion, WriteCondition, WriteOutcome,
};
use galenamast::transport::{CallLimits, HttpClient, ObjectClient, TimerService, TransportError};
use galenamast_fakes::{FakeObjects, FaultPlan};
use serde_json::json;

use crate::support::client_at;

#[tokio::test]
async fn each_fault_of_a_write_maps_to_its_outcome() {
    let first = ObjectVersion(1);
    let cases = [
        (
            FaultPlan::default(),
            WriteCondition::Absent,
            WriteOutcome::Applied(first),
        ),
        (
            FaultPlan::default(),
            WriteCondition::At(first),
            WriteOutcome::Conflict,
        ),
        (
            FaultPlan {
                throttle: 1,
                ..Default::default()
            },
            WriteCondition::Absent,
            WriteOutcome::Rejected,
        ),
        (
            FaultPlan {
                refuse: true,
                ..Default::default()
            },
            WriteCondition::Absent,
            WriteOutcome::Indeterminate,
        ),
        (
            FaultPlan {
                hang: true,
                ..Default::default()
            },
            WriteCondition::Absent,
            WriteOutcome::Indeterminate,
        ),
        (
            FaultPlan {
                lose_answers: 1,
                ..Default::default()
            },
            WriteCondition::Absent,
            WriteOutcome::Indeterminate,
        ),
    ];
    for (plan, condition, expected) in cases {
        let objects = FakeObjects::start().await;
        objects.faults().set(|faults| *faults = plan.clone());
        let key = ObjectKey::new("status", "a");
        let outcome = client_at(objects.address())
            .write(&key, condition, &json!({ "writer": 1 }))
            .await
            .expect("the request is well formed");
        assert_eq!(outcome, expected, "{plan:?}");
    }
}

#[tokio::test]
async fn a_write_that_never_reached_the_platform_is_rejected() {
    let address = FakeObjects::start().await.address();
    let outcome = client_at(address)
        .write(
            &ObjectKey::new("status", "a"),
            WriteCondition::Absent,
            &json!(1),
        )
        .await
        .expect("the request is well formed");
    assert_eq!(outcome, WriteOutcome::Rejected);
}

#[tokio::test]
async fn a_lost_answer_is_resolved_by_the_written_value() {
    let objects = FakeObjects::start().await;
    objects.faults().set(|faults| faults.lose_answers = 1);
    let key = ObjectKey::new("lease", "a");
    let client = client_at(objects.address());
    let own = client
        .write_resolved(&key, WriteCondition::Absent, &json!({ "writer": 1 }))
        .await;
    assert_eq!(
        own.expect("well formed"),
        WriteOutcome::Applied(ObjectVersion(1))
    );
    let other = client
        .write_resolved(&key, WriteCondition::Absent, &json!({ "writer": 2 }))
        .await;
    assert_eq!(other.expect("well formed"), WriteOutcome::Conflict);
}

#[tokio::test]
async fn listings_watches_and_deletions_follow_the_objects() {
    let objects = FakeObjects::start().await;
    let client = client_at(objects.address());
    for name in ["a-1", "a-2", "b-1"] {
        objects.put("status", name, json!(name));
    }
    let query = ObjectQuery {
        kind: "status".into(),
        prefix: "a-".into(),
        after: "a-1".into(),
        limit: Some(5),
    };
    let listed = client.list(&query).await.expect("the platform answers");
    assert_eq!(listed.len(), 1);
    assert_eq!(listed[0].name, "a-2");
    let key = ObjectKey::new("status", "a-2");
    let stale = client.delete(&key, ObjectVersion(7)).await;
    assert_eq!(stale.expect("well formed"), WriteOutcome::Conflict);
    let wait = Duration::from_millis(20);
    let unchanged = client.watch(&key, ObjectVersion(1), wait).await;
    assert_eq!(unchanged.expect("the platform answers"), None);
    let watch = client.watch(&key, ObjectVersion(1), Duration::from_secs(30));
    let change = async { objects.put("status", "a-2", json!("new")) };
    let (changed, ()) = tokio::join!(watch, change);
    let changed = changed.expect("the platform answers").expect("it changed");
    assert_eq!(changed.version, ObjectVersion(2));
    let deleted = client.delete(&key, ObjectVersion(2)).await;
    assert!(matches!(deleted, Ok(WriteOutcome::Applied(_))));
    assert_eq!(client.counts().watches, 2);
    assert_eq!(client.counts().deletes, 2);
}

#[tokio::test]
async fn an_exhausted_budget_sends_no_calls_and_keeps_a_reserve_for_claims() {
    let objects = FakeObjects::start().await;
    let (timers, _clock) = TimerService::manual();
    let limits = CallLimits {
        call_timeout: Duration::from_millis(1),
        calls_per_second: 2,
        ..Default::default()
    };
    let client = ObjectClient::with_limits(HttpClient::new(), objects.address(), limits, timers);
    let key = ObjectKey::new("status", "a");
    let status = client.with_priority(CallPriority::Status);
    let mut refused = 0;
    for _ in 0..4 {
        let result = status.read(&key).await;
        refused += usize::from(matches!(
            result,
            Err(TransportError::BudgetExhausted { .. })
        ));
    }
    assert_eq!(refused, 3);
    let claims = client.with_priority(CallPriority::Claim);
    for _ in 0..3 {
        let result = claims.read(&key).await;
        assert!(!matches!(
            result,
            Err(TransportError::BudgetExhausted { .. })
        ));
    }
    assert_eq!(client.counts().over_budget, 3);
    assert!(objects.calls().get("read").is_none_or(|calls| *calls <= 4));
}

#[tokio::test]
async fn calls_to_a_failing_platform_are_short_circuited_until_it_recovers() {
    let objects = FakeObjects::start().await;
    objects.faults().set(|faults| faults.refuse = true);
    let client = client_at(objects.address());
    let key = ObjectKey::new("status", "a");
    for _ in 0..20 {
        let _ = client.read(&key).await;
    }
    let counts = client.counts();
    assert!(counts.short_circuited >= 10, "{counts:?}");
    objects.faults().set(|faults| faults.refuse = false);
    let recovered = async {
        while client.read(&key).await.is_err() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    tokio::time::timeout(Duration::from_secs(30), recovered)
        .await
        .expect("the breaker closes again");
}

#[tokio::test]
async fn a_name_that_is_not_one_path_segment_is_refused() {
    let objects = FakeObjects::start().await;
    let client = client_at(objects.address());
    for name in ["", "a/b", "a?b", "..%2f"] {
        let read = client.read(&ObjectKey::new("status", name)).await;
        assert!(matches!(read, Err(TransportError::Protocol(_))), "{name}");
    }
}
