//! A non-idempotent request runs at most once: the runner over a store that fails.

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

struct Bench {
    store: MemoryObjects,
    clock: ManualClock,
    timers: TimerService,
}

impl Bench {
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

    /// Lets the background work of the runners go on until nothing more happens.
    async fn settle(&self) {
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
    let bench = Bench::new();
    let ticket = granted(bench.host("a").claim(request("counter", "k", 1)).await);
    let during = bench.host("b").claim(request("counter", "k", 2)).await;
    assert!(matches!(during, ClaimVerdict::InProgress), "{during:?}");
    assert!(bench.host("a").settle(ticket, outcome(b"charged")).await);
    let after = bench.host("b").claim(request("counter", "k", 3)).await;
    let ClaimVerdict::Settled(stored) = after else {
        panic!("not settled: {after:?}");
    };
    assert_eq!(stored.body_bytes().as_deref(), Some(&b"charged"[..]));
    assert_eq!(stored.run, RunState::Run);
}

#[tokio::test]
async fn lost_answers_of_the_create_are_read_back() {
    for fault in [CallFault::LoseAnswer, CallFault::LoseCall] {
        let bench = Bench::new();
        bench.store.fail_next([fault]);
        granted(bench.host("a").claim(request("counter", "k", 1)).await);
        let other = bench.host("b").claim(request("counter", "k", 2)).await;
        assert!(
            matches!(other, ClaimVerdict::InProgress),
            "{fault:?}: {other:?}"
        );
    }
}

#[tokio::test]
async fn a_claim_refused_while_unsure_is_released_later() {
    for fault in [CallFault::LoseAnswer, CallFault::LoseCall] {
        let bench = Bench::new();
        bench
            .store
            .fail_next([fault, CallFault::Unreachable, CallFault::Unreachable]);
        let refused = bench.host("a").claim(request("counter", "k", 1)).await;
        assert!(matches!(refused, ClaimVerdict::Unavailable), "{refused:?}");
        bench.settle().await;
        granted(bench.host("b").claim(request("counter", "k", 2)).await);
    }
}

#[tokio::test]
async fn a_platform_that_is_down_or_silent_refuses() {
    let bench = Bench::new();
    bench.store.set_down(true);
    let refused = bench.host("a").claim(request("counter", "k", 1)).await;
    assert!(matches!(refused, ClaimVerdict::Unavailable), "{refused:?}");
    bench.store.set_down(false);
    let mut calls = bench.store.object_calls();
    calls.write = std::sync::Arc::new(|_, _, _| Box::pin(std::future::pending()));
    let silent = ClaimRunner::new(calls, bench.timers.clone(), ClaimSettings::default());
    let claim = tokio::spawn(async move { silent.claim(request("counter", "k", 2)).await });
    bench.settle().await;
    let refused = claim.await.expect("the claim ends at its deadline");
    assert!(matches!(refused, ClaimVerdict::Unavailable), "{refused:?}");
}

#[tokio::test]
async fn lost_answers_of_the_settlement_are_repaired() {
    for fault in [
        CallFault::LoseAnswer,
        CallFault::LoseCall,
        CallFault::Unreachable,
    ] {
        let bench = Bench::new();
        let ticket = granted(bench.host("a").claim(request("counter", "k", 1)).await);
        bench.store.fail_next([fault, CallFault::Unreachable]);
        let host = bench.host("a");
        host.settle(ticket, outcome(b"charged")).await;
        assert!(
            !host.drain(Duration::ZERO).await,
            "the claim is still being closed"
        );
        bench.settle().await;
        assert!(host.drain(Duration::ZERO).await);
        let resent = bench.host("b").claim(request("counter", "k", 2)).await;
        assert!(
            matches!(resent, ClaimVerdict::Settled(_)),
            "{fault:?}: {resent:?}"
        );
    }
}

#[tokio::test]
async fn a_key_is_bound_to_its_body_and_workspace() {
    let bench = Bench::new();
    let host = bench.host("a");
    granted(host.claim(request("counter", "k", 1)).await);
    let mut other_body = request("counter", "k", 2);
    other_body.body_digest = BodyDigest::of(b"charge twice");
    let refused = host.claim(other_body).await;
    assert!(matches!(refused, ClaimVerdict::KeyReused), "{refused:?}");
    granted(host.claim(request("advice", "k", 3)).await);
    // The joined text of these two is the same.
    granted(host.claim(request("ab", "c", 4)).await);
    granted(host.claim(request("a", "bc", 5)).await);
}

#[tokio::test]
async fn stored_claims_reveal_no_key_and_have_plain_names() {
    let bench = Bench::new();
    granted(
        bench
            .host("a")
            .claim(request("counter", "../secret key?", 1))
            .await,
    );
    let stored = bench.store.of_kind("claim");
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
    let bench = Bench::new();
    let now = bench.timers.unix_millis();
    let key_at = |unix_ms: u64| {
        let seconds = unix_ms / 1_000;
        let stamp = uuid::Timestamp::from_unix(uuid::NoContext, seconds, 0);
        Uuid::new_v7(stamp).to_string()
    };
    let day = 24 * 3_600 * 1_000;
    for (made, inside) in [
        (now, true),
        (now - day, true),
        (now - day - 1_000, false),
        (now + 301_000, false),
    ] {
        let verdict = bench
            .host("a")
            .claim(request("counter", &key_at(made), 1))
            .await;
        let accepted = matches!(verdict, ClaimVerdict::Granted(_));
        let expired = matches!(verdict, ClaimVerdict::KeyExpired);
        assert_eq!((accepted, expired), (inside, !inside), "{made}");
    }
}

#[tokio::test]
async fn a_dead_holders_claim_stays_unknown_until_an_operator_resolves_it() {
    let operator_says = [
        ClaimResolution::NotRun {
            author: "ana".into(),
            reason: "no charge at the service".into(),
        },
        ClaimResolution::Ran(outcome(b"charged")),
    ];
    for resolution in operator_says {
        let bench = Bench::new();
        drop(granted(
            bench.host("dead").claim(request("counter", "k", 1)).await,
        ));
        bench.settle().await;
        let resent = bench.host("b").claim(request("counter", "k", 2)).await;
        assert!(matches!(resent, ClaimVerdict::InProgress), "{resent:?}");
        let may_run = matches!(resolution, ClaimResolution::NotRun { .. });
        let host = bench.host("b");
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
async fn a_paused_holder_may_not_dispatch_late() {
    let bench = Bench::new();
    let ticket = granted(bench.host("a").claim(request("counter", "k", 1)).await);
    assert!(ticket.may_dispatch(bench.timers.now()));
    bench
        .clock
        .advance(ClaimSettings::default().dispatch_window);
    assert!(!ticket.may_dispatch(bench.timers.now()));
    assert!(bench.host("a").release(ticket).await);
    granted(bench.host("b").claim(request("counter", "k", 2)).await);
}

#[tokio::test]
async fn retention_deletes_old_claims_in_bounded_pages() {
    let bench = Bench::new();
    let host = bench.host("a");
    for number in 0..10 {
        let ticket = granted(
            host.claim(request("counter", &number.to_string(), number))
                .await,
        );
        if number != 9 {
            host.settle(ticket, outcome(b"charged")).await;
        }
    }
    let mut cleaner = ClaimCleaner::new(bench.store.object_calls(), ClaimRetention::default());
    let kept = cleaner.clean_page(100, bench.timers.unix_millis()).await;
    assert_eq!(kept.expect("the platform answers"), 0);
    bench.clock.advance(DAY + Duration::from_secs(601));
    let mut deleted = 0;
    for _ in 0..4 {
        let before = bench.store.calls();
        let page = cleaner.clean_page(4, bench.timers.unix_millis()).await;
        deleted += page.expect("the platform answers");
        assert!(bench.store.calls() - before <= 5);
    }
    assert_eq!(deleted, 9);
    assert_eq!(
        bench.store.of_kind("claim").len(),
        1,
        "the unresolved claim stays"
    );
    bench.clock.advance(DAY * 30);
    let last = cleaner.clean_page(4, bench.timers.unix_millis()).await;
    assert_eq!(last.expect("the platform answers"), 1);
}

#[test]
fn bodies_over_the_bound_are_left_out() {
    let cases = [(MAX_STORED_BODY, true), (MAX_STORED_BODY + 1, false)];
    for (length, kept) in cases {
        let stored = outcome(&vec![b'x'; length]);
        assert_eq!(stored.body_bytes().is_some(), kept);
    }
}

#[tokio::test]
async fn a_claim_whose_caller_went_away_is_released() {
    let bench = Bench::new();
    let mut calls = bench.store.object_calls();
    let (write, timers) = (calls.write, bench.timers.clone());
    calls.write = std::sync::Arc::new(move |key, condition, value| {
        let (written, timers) = (write(key, condition, value), timers.clone());
        Box::pin(async move {
            timers.sleep(Duration::from_secs(1)).await;
            written.await
        })
    });
    let host = ClaimRunner::new(calls, bench.timers.clone(), ClaimSettings::default());
    let abandoned = tokio::spawn(async move { host.claim(request("counter", "k", 1)).await });
    for _ in 0..5 {
        tokio::task::yield_now().await;
    }
    assert_eq!(bench.store.of_kind("claim").len(), 1);
    abandoned.abort();
    bench.settle().await;
    assert!(
        abandoned.await.is_err(),
        "the caller was to be cut off before its claim was made"
    );
    granted(bench.host("b").claim(request("counter", "k", 2)).await);
}

#[tokio::test]
async fn a_create_that_arrives_after_its_release_has_no_effect() {
    for taken_before in [false, true] {
        let bench = Bench::new();
        if taken_before {
            let ticket = granted(bench.host("z").claim(request("counter", "k", 9)).await);
            bench.host("z").release(ticket).await;
        }
        let late = std::sync::Arc::new(std::sync::Mutex::new(Vec::new()));
        let mut calls = bench.store.object_calls();
        let (write, kept) = (calls.write, late.clone());
        // Writes of a claim that is held are delayed; the platform is down after the last one.
        let store = bench.store.clone();
        calls.write = std::sync::Arc::new(move |key, condition, value| {
            if value["state"]["state"] != "held" {
                return write(key, condition, value);
            }
            let mut kept = kept.lock().expect("no holder panics");
            let conflicts = taken_before && condition == WriteCondition::Absent;
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
        let host = ClaimRunner::new(calls, bench.timers.clone(), ClaimSettings::default());
        let refused = host.claim(request("counter", "k", 1)).await;
        assert!(matches!(refused, ClaimVerdict::Unavailable), "{refused:?}");
        bench.settle().await;
        let late = late.lock().expect("no holder panics").pop();
        let (key, condition, value) = late.expect("a write was delayed");
        let arrived = bench.store.apply(&key, condition, Some(value));
        assert_eq!(
            arrived,
            WriteOutcome::Conflict,
            "taken before: {taken_before}"
        );
        granted(bench.host("b").claim(request("counter", "k", 2)).await);
    }
}

#[tokio::test]
async fn a_claim_its_outcome_and_each_resend_take_few_calls() {
    let bench = Bench::new();
    let host = bench.host("a");
    let ticket = granted(host.claim(request("counter", "k", 1)).await);
    host.settle(ticket, outcome(b"charged")).await;
    assert_eq!(bench.store.calls(), 2, "one write to claim, one to settle");
    host.claim(request("counter", "k", 2)).await;
    assert_eq!(
        bench.store.calls(),
        4,
        "a resend tries to create, and reads"
    );
}
