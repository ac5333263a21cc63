//! Claims and usage through the real client of the object API.

use std::sync::Arc;
use std::time::Duration;

use uuid::Uuid;

use galenamast::coordination::{BodyDigest, CallPriority, StoredOutcome, UsageOrigin};
use galenamast::state::{AttemptId, RequestId};
use galenamast::transport::{
    ClaimRequest, ClaimRunner, ClaimSettings, ClaimVerdict, ExportRange, HttpClient,
    LedgerSettings, ObjectCalls, ObjectClient, TimerService, UsageDurability, UsageLedger,
    export_usage,
};
use galenamast_fakes::FakeObjects;

use crate::usage::record;

fn client(objects: &FakeObjects, priority: CallPriority) -> ObjectCalls {
    let timeout = Duration::from_millis(300);
    let client = ObjectClient::new(HttpClient::new(), objects.address(), timeout);
    ObjectCalls::from_client(&client.with_priority(priority))
}

fn runner(objects: &FakeObjects) -> ClaimRunner {
    let settings = ClaimSettings {
        timeout: Duration::from_secs(20),
        ..Default::default()
    };
    let calls = client(objects, CallPriority::Claim);
    ClaimRunner::new(calls, TimerService::system(), settings)
}

fn request(number: u128) -> ClaimRequest {
    let request = RequestId(Uuid::from_u128(number));
    ClaimRequest {
        workspace: "counter".into(),
        key: "deposit-7".into(),
        body_digest: BodyDigest::of(b"charge"),
        attempt: AttemptId { request, number: 0 },
        request,
    }
}

#[tokio::test]
async fn a_claim_whose_answer_is_lost_is_not_granted_twice() {
    let objects = FakeObjects::start().await;
    objects.faults().set(|plan| plan.lose_answers = 1);
    let verdict = runner(&objects).claim(request(1)).await;
    let ClaimVerdict::Granted(ticket) = verdict else {
        panic!("not granted: {verdict:?}");
    };
    let other = runner(&objects).claim(request(2)).await;
    assert!(matches!(other, ClaimVerdict::InProgress), "{other:?}");
    let outcome = StoredOutcome::of_answer(200, None, "text/plain", b"charged");
    assert!(runner(&objects).settle(ticket, outcome.clone()).await);
    let resent = runner(&objects).claim(request(3)).await;
    assert!(matches!(resent, ClaimVerdict::Settled(found) if found == outcome));
}

#[tokio::test]
async fn a_refusing_platform_grants_no_claim() {
    let objects = FakeObjects::start().await;
    objects.faults().set(|plan| plan.refuse = true);
    let verdict = runner(&objects).claim(request(1)).await;
    assert!(matches!(verdict, ClaimVerdict::Unavailable), "{verdict:?}");
}

#[tokio::test]
async fn usage_reaches_the_platform_once() {
    let objects = FakeObjects::start().await;
    let calls = client(&objects, CallPriority::Usage);
    let settings = LedgerSettings {
        origin: UsageOrigin {
            host: "entry.1".into(),
            incarnation: 9,
        },
        retry_wait: Duration::from_millis(5),
        durability_timeout: Duration::from_secs(20),
        ..Default::default()
    };
    let no_peer = Arc::new(|_| Box::pin(async { Ok(false) }) as _);
    let ledger = UsageLedger::new(calls.clone(), no_peer, TimerService::system(), settings);
    let writer = tokio::spawn(ledger.clone().run());
    objects.faults().set(|plan| plan.lose_answers = 1);
    for number in 1..=3 {
        assert_eq!(
            ledger.record(record(number)).await,
            UsageDurability::Durable
        );
    }
    let range = ExportRange {
        page_batches: 1,
        ..Default::default()
    };
    let export = export_usage(&calls, range)
        .await
        .expect("the platform answers");
    assert_eq!(export.records, [record(1), record(2), record(3)]);
    writer.abort();
}
