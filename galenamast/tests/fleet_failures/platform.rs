//! The platform is slow, down, or loses answers to calls that took effect, under traffic.

use std::time::Duration;

use galenamast_testbed::{Fleet, wait_until};

use crate::ledger_check::{check_all, check_answered};
use crate::support::{fleet_permit, start_fleet, withdraw};
use crate::traffic::{Call, CallKind, CallSite, Traffic};

/// Delay of each call to a slow platform.
const SLOW_CALL: Duration = Duration::from_millis(500);

/// Returns the chats and streams among the calls.
fn idempotent(calls: &[Call]) -> Vec<Call> {
    let idempotent = calls.iter().filter(|call| call.kind != CallKind::Claim);
    idempotent.cloned().collect()
}

/// Resends unanswered claims, as their callers would; returns the new calls.
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
async fn every_call_is_answered_while_the_platform_is_slow() {
    let _permit = fleet_permit().await;
    let fleet = start_fleet().await;
    let traffic = Traffic::start(&fleet.deployment.options, "load", fleet.addresses());
    traffic.wait_for_calls(3).await;
    fleet.set_platform_faults(|plan| plan.delay = SLOW_CALL);
    let generation = withdraw(&fleet, "small").await;
    traffic.wait_for_calls(5).await;
    fleet.wait_for_generation(generation).await;
    fleet.set_platform_faults(|plan| plan.delay = Duration::ZERO);
    let calls = traffic.stop().await;
    check_answered(&calls);
    check_all(fleet, &calls).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn usage_is_buffered_during_a_long_outage_and_billed_once() {
    let _permit = fleet_permit().await;
    let fleet = start_fleet().await;
    let traffic = Traffic::start(&fleet.deployment.options, "load", fleet.addresses());
    traffic.wait_for_calls(3).await;
    fleet.set_platform_faults(|plan| plan.refuse = true);
    traffic.wait_for_calls(100).await;
    wait_until("every host buffers usage", || {
        let hosts = fleet.hosts.values();
        let mut ledgers = hosts.filter_map(|host| host.entry().context().ledger.as_ref());
        ledgers.all(|ledger| ledger.status().held_bytes > 0)
    })
    .await;
    fleet.set_platform_faults(|plan| plan.refuse = false);
    traffic.wait_for_calls(3).await;
    let mut calls = traffic.stop().await;
    check_answered(&idempotent(&calls));
    calls.extend(resend(&fleet, &calls).await);
    check_all(fleet, &calls).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_platform_answers_cause_no_second_run_and_no_second_billing() {
    let _permit = fleet_permit().await;
    let fleet = start_fleet().await;
    let traffic = Traffic::start(&fleet.deployment.options, "load", fleet.addresses());
    traffic.wait_for_calls(3).await;
    for _ in 0..3 {
        fleet.set_platform_faults(|plan| plan.lose_answers = 1);
        traffic.wait_for_calls(3).await;
    }
    fleet.set_platform_faults(|plan| plan.lose_answers = 0);
    let mut calls = traffic.stop().await;
    check_answered(&idempotent(&calls));
    calls.extend(resend(&fleet, &calls).await);
    check_all(fleet, &calls).await;
}
