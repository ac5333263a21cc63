//! A non-idempotent request runs at most once: the claim runner on a store with faults.

use std::time::Duration;

use uuid::Uuid;

use galenamast::coordination::claim_document::MAX_STORED_BODY;
use galenamast::coordination::{
    BodyDigest, ClaimRetention, StoredOutcome, WriteCondition, WriteOutcome,
};
use galenamast::state::{AttemptId, RequestId, RunState};
use galenamast::transport::{
    ClaimCleaner, ClaimRequest, ClaimResolution, ClaimRunner, ClaimSettings, ClaimTicket,
    ClaimVerdict, ManualClock, TimerService,
};

use crate::memory_objects::{CallFault, MemoryObjects};

const DAY: Duration = Duration::from_secs(24 * 3_600);

struct Fixture {
    store: MemoryObjects,
    clock: ManualClock,
    timers: TimerService,
}

impl Fixture {
    fn new() -> Self {
        let (timers, clock) = TimerService::manual();
        clock.advance(DAY * 400);
        Self {
            store: MemoryObjects::default(),
            clock,
            timers,
        }
    }

    fn host(&self, name: &str) -> ClaimRunner {
        let settings = ClaimSettings {
            host: name.into(),
            ..Default::default()
        };
        ClaimRunner::new(self.store.object_calls(), self.timers.clone(), settings)
    }

    /// Runs the background work of the claim runners for ten seconds of virtual time.
    async fn run_background_work(&self) {
        for _ in 0..10 {
            for _ in 0..20 {
                tokio::task::yield_now().await;
            }
            self.clock.advance(Duration::from_secs(1));
        }
    }
}

fn request(workspace: &str, key: &str, number: u128) -> ClaimRequest {
    let request = RequestId(Uuid::from_u128(number));
    ClaimRequest {
        workspace: workspace.into(),
        key: key.into(),
        body_digest: BodyDigest::of(b"charge the deposit"),
        attempt: AttemptId { request, number: 0 },
        request,
    }
}

fn granted(verdict: ClaimVerdict) -> ClaimTicket {
    match verdict {
        ClaimVerdict::Granted(ticket) => ticket,
        other => panic!("not granted: {other:?}"),
    }
}

fn outcome(body: &[u8]) -> StoredOutcome {
    StoredOutcome::of_answer(200, None, "application/json", body)
}

#[tokio::test]
async fn a_resend_to_another_host_gets_the_stored_answer() {
    let fixture = Fixture::new();
    let ticket = granted(fixture.host("a").claim(request("counter", "k", 1)).await);
    let during = fixture.host("b").claim(request("counter", "k", 2)).await;
    assert!(matches!(during, ClaimVerdict::InProgress), "{during:?}");
    assert!(fixture.host("a").settle(ticket, outcome(b"charged")).await);
    let after = fixture.host("b").claim(request("counter", "k", 3)).await;
    let ClaimVerdict::Settled(stored) = after else {
        panic!("not settled: {after:?}");
    };
    assert_eq!(stored.body_bytes().as_deref(), Some(&b"charged"[..]));
    assert_eq!(stored.run, RunState::Run);
}

#[tokio::test]
async fn a_claim_whose_create_answer_is_lost_is_read_back() {
    for fault in [CallFault::LoseAnswer, CallFault::LoseCall] {
        let fixture = Fixture::new();
        fixture.store.fail_next([fault]);
        granted(fixture.host("a").claim(request("counter", "k", 1)).await);
        let other = fixture.host("b").claim(request("counter", "k", 2)).await;
        assert!(
            matches!(other, ClaimVerdict::InProgress),
            "{fault:?}: {other:?}"
        );
    }
}

#[tokio::test]
async fn a_claim_refused_in_unknown_state_is_released_later() {
    for fault in [CallFault::LoseAnswer, CallFault::LoseCall] {
        let fixture = Fixture::new();
        fixture
            .store
            .fail_next([fault, CallFault::Unreachable, CallFault::Unreachable]);
        let refused = fixture.host("a").claim(request("counter", "k", 1)).await;
        assert!(matches!(refused, ClaimVerdict::Unavailable), "{refused:?}");
        fixture.run_background_work().await;
        granted(fixture.host("b").claim(request("counter", "k", 2)).await);
    }
}

#[tokio::test]
async fn claims_are_refused_while_the_platform_is_down_or_silent() {
    let fixture = Fixture::new();
    fixture.store.set_down(true);
    let refused = fixture.host("a").claim(request("counter", "k", 1)).await;
    assert!(matches!(refused, ClaimVerdict::Unavailable), "{refused:?}");
    fixture.store.set_down(false);
    let mut calls = fixture.store.object_calls();
    calls.write = std::sync::Arc::new(|_, _, _| Box::pin(std::future::pending()));
    let silent = ClaimRunner::new(calls, fixture.timers.clone(), ClaimSettings::default());
    let claim = tokio::spawn(async move { silent.claim(request("counter", "k", 2)).await });
    fixture.run_background_work().await;
    let refused = claim.await.expect("the claim ends at its deadline");
    assert!(matches!(refused, ClaimVerdict::Unavailable), "{refused:?}");
}

#[tokio::test]
async fn a_settlement_whose_answer_is_lost_is_completed_later() {
    for fault in [
        CallFault::LoseAnswer,
        CallFault::LoseCall,
        CallFault::Unreachable,
    ] {
        let fixture = Fixture::new();
        let ticket = granted(fixture.host("a").claim(request("counter", "k", 1)).await);
        fixture.store.fail_next([fault, CallFault::Unreachable]);
        let host = fixture.host("a");
        host.settle(ticket, outcome(b"charged")).await;
        assert!(
            !host.drain(Duration::ZERO).await,
            "the claim is still being closed"
        );
        fixture.run_background_work().await;
        assert!(host.drain(Duration::ZERO).await);
        let resent = fixture.host("b").claim(request("counter", "k", 2)).await;
        assert!(
            matches!(resent, ClaimVerdict::Settled(_)),
            "{fault:?}: {resent:?}"
        );
    }
}

#[tokio::test]
async fn a_key_is_bound_to_its_body_and_workspace() {
    let fixture = Fixture::new();
    let host = fixture.host("a");
    granted(host.claim(request("counter", "k", 1)).await);
    let mut other_body = request("counter", "k", 2);
    other_body.body_digest = BodyDigest::of(b"charge twice");
    let refused = host.claim(other_body).await;
    assert!(matches!(refused, ClaimVerdict::KeyReused), "{refused:?}");
    granted(host.claim(request("advice", "k", 3)).await);
    // Workspace and key of these two have the same concatenation.
    granted(host.claim(request("ab", "c", 4)).await);
    granted(host.claim(request("a", "bc", 5)).await);
}

#[tokio::test]
async fn stored_claims_reveal_no_key_and_have_plain_names() {
    let fixture = Fixture::new();
    granted(
        fixture
            .host("a")
            .claim(request("counter", "../secret key?", 1))
            .await,
    );
    let stored = fixture.store.of_kind("claim");
    assert!(
        stored[0]
            .name
            .chars()
            .all(|letter| letter.is_ascii_alphanumeric())
    );
    assert!(!stored[0].value.to_string().contains("secret"));
}

#[tokio::test]
async fn keys_outside_the_window_are_refused() {
    let fixture = Fixture::new();
    let now = fixture.timers.unix_millis();
    let key_at = |unix_ms: u64| {
        let seconds = unix_ms / 1_000;
        let stamp = uuid::Timestamp::from_unix(uuid::NoContext, seconds, 0);
        Uuid::new_v7(stamp).to_string()
    };
    let day = 24 * 3_600 * 1_000;
    for (created_unix_ms, in_window) in [
        (now, true),
        (now - day, true),
        (now - day - 1_000, false),
        (now + 301_000, false),
    ] {
        let verdict = fixture
            .host("a")
            .claim(request("counter", &key_at(created_unix_ms), 1))
            .await;
        let accepted = matches!(verdict, ClaimVerdict::Granted(_));
        let expired = matches!(verdict, ClaimVerdict::KeyExpired);
        assert_eq!(
            (accepted, expired),
            (in_window, !in_window),
            "{created_unix_ms}"
        );
    }
}

#[tokio::test]
async fn a_dead_holders_claim_stays_unknown_until_an_operator_resolves_it() {
    let resolutions = [
        ClaimResolution::NotRun {
            author: "ana".into(),
            reason: "no charge at the service".into(),
        },
        ClaimResolution::Ran(outcome(b"charged")),
    ];
    for resolution in resolutions {
        let fixture = Fixture::new();
        drop(granted(
            fixture.host("dead").claim(request("counter", "k", 1)).await,
        ));
        fixture.run_background_work().await;
        let resent = fixture.host("b").claim(request("counter", "k", 2)).await;
        assert!(matches!(resent, ClaimVerdict::InProgress), "{resent:?}");
        let may_run = matches!(resolution, ClaimResolution::NotRun { .. });
        let host = fixture.host("b");
        let workspace = "counter".into();
        let resolved = host.resolve(&workspace, "k", resolution.clone()).await;
        assert!(resolved.expect("the platform answers"));
        let again = host.resolve(&workspace, "k", resolution).await;
        assert!(!again.expect("the platform answers"), "resolved twice");
        let resent = host.claim(request("counter", "k", 3)).await;
        assert_eq!(
            matches!(resent, ClaimVerdict::Granted(_)),
            may_run,
            "{resent:?}"
        );
        assert_eq!(
            matches!(resent, ClaimVerdict::Settled(_)),
            !may_run,
            "{resent:?}"
        );
    }
}

#[tokio::test]
async fn a_paused_holder_may_not_dispatch_after_the_window() {
    let fixture = Fixture::new();
    let ticket = granted(fixture.host("a").claim(request("counter", "k", 1)).await);
    assert!(ticket.may_dispatch(fixture.timers.now()));
    fixture
        .clock
        .advance(ClaimSettings::default().dispatch_window);
    assert!(!ticket.may_dispatch(fixture.timers.now()));
    assert!(fixture.host("a").release(ticket).await);
    granted(fixture.host("b").claim(request("counter", "k", 2)).await);
}

#[tokio::test]
async fn retention_deletes_old_claims_in_bounded_pages() {
    let fixture = Fixture::new();
    let host = fixture.host("a");
    for number in 0..10 {
        let ticket = granted(
            host.claim(request("counter", &number.to_string(), number))
                .await,
        );
        if number != 9 {
            host.settle(ticket, outcome(b"charged")).await;
        }
    }
    let mut cleaner = ClaimCleaner::new(fixture.store.object_calls(), ClaimRetention::default());
    let kept = cleaner.clean_page(100, fixture.timers.unix_millis()).await;
    assert_eq!(kept.expect("the platform answers"), 0);
    fixture.clock.advance(DAY + Duration::from_secs(601));
    let mut deleted = 0;
    for _ in 0..4 {
        let before = fixture.store.calls();
        let page = cleaner.clean_page(4, fixture.timers.unix_millis()).await;
        deleted += page.expect("the platform answers");
        assert!(fixture.store.calls() - before <= 5);
    }
    assert_eq!(deleted, 9);
    assert_eq!(
        fixture.store.of_kind("claim").len(),
        1,
        "the unresolved claim stays"
    );
    fixture.clock.advance(DAY * 30);
    let last = cleaner.clean_page(4, fixture.timers.unix_millis()).await;
    assert_eq!(last.expect("the platform answers"), 1);
}

#[test]
fn bodies_over_the_size_limit_are_not_stored() {
    let cases = [(MAX_STORED_BODY, true), (MAX_STORED_BODY + 1, false)];
    for (length, kept) in cases {
        let stored = outcome(&vec![b'x'; length]);
        assert_eq!(stored.body_bytes().is_some(), kept);
    }
}

#[tokio::test]
async fn a_claim_whose_caller_is_cancelled_is_released() {
    let fixture = Fixture::new();
    let mut calls = fixture.store.object_calls();
    let (write, timers) = (calls.write, fixture.timers.clone());
    calls.write = std::sync::Arc::new(move |key, condition, value| {
        let (written, timers) = (write(key, condition, value), timers.clone());
        Box::pin(async move {
            timers.sleep(Duration::from_secs(1)).await;
            written.await
        })
    });
    let host = ClaimRunner::new(calls, fixture.timers.clone(), ClaimSettings::default());
    let abandoned = tokio::spawn(async move { host.claim(request("counter", "k", 1)).await });
    for _ in 0..5 {
        tokio::task::yield_now().await;
    }
    assert_eq!(fixture.store.of_kind("claim").len(), 1);
    abandoned.abort();
    fixture.run_background_work().await;
    assert!(
        abandoned.await.is_err(),
        "the caller must be cancelled before its claim completes"
    );
    granted(fixture.host("b").claim(request("counter", "k", 2)).await);
}

#[tokio::test]
async fn a_create_that_arrives_after_its_release_has_no_effect() {
    for claimed_before in [false, true] {
        let fixture = Fixture::new();
        if claimed_before {
            let ticket = granted(fixture.host("z").claim(request("counter", "k", 9)).await);
            fixture.host("z").release(ticket).await;
        }
        let late = std::sync::Arc::new(std::sync::Mutex::new(Vec::new()));
        let mut calls = fixture.store.object_calls();
        let (write, kept) = (calls.write, late.clone());
        // Writes of held claims are delayed; the platform is down for the call after such a write.
        let store = fixture.store.clone();
        calls.write = std::sync::Arc::new(move |key, condition, value| {
            if value["state"]["state"] != "held" {
                return write(key, condition, value);
            }
            let mut kept = kept.lock().expect("no holder of the lock panics");
            let conflicts = claimed_before && condition == WriteCondition::Absent;
            if !conflicts {
                kept.push((key, condition, value));
                store.fail_next([CallFault::Unreachable]);
            }
            let outcome = if conflicts {
                WriteOutcome::Conflict
            } else {
                WriteOutcome::Indeterminate
            };
            Box::pin(async move { Ok(outcome) })
        });
        let host = ClaimRunner::new(calls, fixture.timers.clone(), ClaimSettings::default());
        let refused = host.claim(request("counter", "k", 1)).await;
        assert!(matches!(refused, ClaimVerdict::Unavailable), "{refused:?}");
        fixture.run_background_work().await;
        let late = late.lock().expect("no holder of the lock panics").pop();
        let (key, condition, value) = late.expect("a write was delayed");
        let arrived = fixture.store.apply(&key, condition, Some(value));
        assert_eq!(
            arrived,
            WriteOutcome::Conflict,
            "claimed before: {claimed_before}"
        );
        granted(fixture.host("b").claim(request("counter", "k", 2)).await);
    }
}

#[tokio::test]
async fn claims_settlements_and_resends_take_few_calls() {
    let fixture = Fixture::new();
    let host = fixture.host("a");
    let ticket = granted(host.claim(request("counter", "k", 1)).await);
    host.settle(ticket, outcome(b"charged")).await;
    assert_eq!(
        fixture.store.calls(),
        2,
        "one write to claim, one to settle"
    );
    host.claim(request("counter", "k", 2)).await;
    assert_eq!(
        fixture.store.calls(),
        4,
        "a resend tries to create, and reads"
    );
}
