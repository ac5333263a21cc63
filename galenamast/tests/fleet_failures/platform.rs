//! The platform is slow, down, or loses answers after their effect, in the middle of traffic.

use std::time::Duration;

use galenamast_testbed::{Fleet, wait_until};

use crate::ledger_check::{check_all, check_answered};
use crate::support::{admit, start_peer_tasks, withdraw};
use crate::traffic::{Call, CallKind, CallSite, Traffic};

/// Time that each call of a slow platform takes.
const SLOW_CALL: Duration = Duration::from_millis(500);

/// Returns the chats and streams among some calls.
fn idempotent(calls: &[Call]) -> Vec<Call> {
    let idempotent = calls.iter().filter(|call| call.kind != CallKind::Claim);
    idempotent.cloned().collect()
}

/// Sends the claims that were not answered again, as their callers do; returns the answers.
pub(crate) async fn resend(fleet: &Fleet, calls: &[Call]) -> Vec<Call> {
    let site = CallSite::of(&fleet.deployment.options);
    let addresses = fleet.addresses();
    let mut resent = Vec::new();
    for (index, call) in calls.iter().enumerate() {
        if call.kind == CallKind::Claim && !call.is_answered() {
            let host = addresses[index % addresses.len()];
            resent.push(Call::make(&site, CallKind::Claim, &call.key, host).await);
        }
    }
    resent
}

#[tokio::test(flavor = "multi_thread")]
async fn a_slow_platform_changes_nothing_but_the_time_of_claims() {
    let _admitted = admit().await;
    let fleet = start_peer_tasks().await;
    let traffic = Traffic::start(&fleet.deployment.options, "load", fleet.addresses());
    traffic.go_on(3).await;
    fleet.set_platform_faults(|plan| plan.delay = SLOW_CALL);
    let generation = withdraw(&fleet, "small").await;
    traffic.go_on(5).await;
    fleet.wait_for_generation(generation).await;
    fleet.set_platform_faults(|plan| plan.delay = Duration::ZERO);
    let calls = traffic.stop().await;
    check_answered(&calls);
    check_all(fleet, &calls).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn usage_of_a_long_outage_is_buffered_and_billed_once() {
    let _admitted = admit().await;
    let fleet = start_peer_tasks().await;
    let traffic = Traffic::start(&fleet.deployment.options, "load", fleet.addresses());
    traffic.go_on(3).await;
    fleet.set_platform_faults(|plan| plan.refuse = true);
    traffic.go_on(100).await;
    wait_until("usage waits for the platform", || {
        let hosts = fleet.hosts.values();
        let mut ledgers = hosts.filter_map(|host| host.entry().context().ledger.as_ref());
        ledgers.all(|ledger| ledger.status().held_bytes > 0)
    })
    .await;
    fleet.set_platform_faults(|plan| plan.refuse = false);
    traffic.go_on(3).await;
    let mut calls = traffic.stop().await;
    check_answered(&idempotent(&calls));
    calls.extend(resend(&fleet, &calls).await);
    check_all(fleet, &calls).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn answers_lost_after_their_effect_run_and_bill_nothing_twice() {
    let _admitted = admit().await;
    let fleet = start_peer_tasks().await;
    let traffic = Traffic::start(&fleet.deployment.options, "load", fleet.addresses());
    traffic.go_on(3).await;
    for _ in 0..3 {
        fleet.set_platform_faults(|plan| plan.lose_answers = 1);
        traffic.go_on(3).await;
    }
    fleet.set_platform_faults(|plan| plan.lose_answers = 0);
    let mut calls = traffic.stop().await;
    check_answered(&idempotent(&calls));
    calls.extend(resend(&fleet, &calls).await);
    check_all(fleet, &calls).await;
}
