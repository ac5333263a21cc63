//! Two failures at the same time.

use std::collections::BTreeMap;
use std::time::Duration;

use galenamast::coordination::ConfigObject;
use galenamast::state::PoolSpec;
use galenamast_testbed::{CutSide, Fleet, wait_until};

use crate::backends::{deaths, poison_engines, resend_poison};
use crate::ledger_check::{check_all, check_answered};
use crate::platform::resend;
use crate::replacement::replace_all;
use crate::support::{
    change, fleet_permit, start_fleet, start_trial_fleet, start_with, three_domains, withdraw,
};
use crate::traffic::{Call, CallKind, CallSite, Traffic};

/// Failure domain that is cut off.
const CUT_DOMAIN: &str = "bhavnagar";
/// Cuts the domain off from its peers and from the platform.
const BOTH_SIDES: [CutSide; 2] = [CutSide::Peers, CutSide::Platform];

/// Starts callers of all hosts and waits for their first calls.
async fn start_load(fleet: &Fleet) -> Traffic {
    let traffic = Traffic::start(&fleet.deployment.options, "load", fleet.addresses());
    traffic.wait_for_calls(3).await;
    traffic
}

/// Stops the traffic, resends unanswered claims, and checks all calls against runs and billing.
///
/// Every chat and stream must have been answered. A claim may have been refused if it did not run.
async fn finish(fleet: Fleet, traffic: Traffic) {
    let mut calls = traffic.stop().await;
    let idempotent = calls.iter().filter(|call| call.kind != CallKind::Claim);
    check_answered(&idempotent.cloned().collect::<Vec<Call>>());
    calls.extend(resend(&fleet, &calls).await);
    check_all(fleet, &calls).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn the_platform_loses_answers_while_hosts_are_replaced() {
    let _permit = fleet_permit().await;
    let mut fleet = start_fleet().await;
    let traffic = start_load(&fleet).await;
    fleet.set_platform_faults(|plan| plan.lose_answers = 2);
    replace_all(&mut fleet, &traffic).await;
    fleet.set_platform_faults(|plan| plan.lose_answers = 0);
    finish(fleet, traffic).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_candidate_turns_bad_while_a_domain_is_cut_off() {
    let _permit = fleet_permit().await;
    let mut fleet = start_trial_fleet(500).await;
    let traffic = start_load(&fleet).await;
    traffic.wait_for_calls(100).await;
    fleet.cut(CUT_DOMAIN, &BOTH_SIDES);
    for engine in fleet.deployment.engines.values() {
        engine.change(|options| {
            options.versions.insert("advice@trial".into(), 0.05);
        });
    }
    let trial_runs = |fleet: &Fleet| {
        let runs = fleet.engine_runs().into_iter();
        runs.filter(|run| run.version == "advice@trial").count()
    };
    let mut seen = trial_runs(&fleet);
    // The version counts as stopped after three rounds of calls to all hosts without a run of it.
    let mut quiet_rounds = 0;
    for _ in 0..200 {
        traffic.wait_for_calls(10).await;
        let now = trial_runs(&fleet);
        quiet_rounds = if now == seen { quiet_rounds + 1 } else { 0 };
        seen = now;
        if quiet_rounds == 3 {
            break;
        }
    }
    assert_eq!(
        quiet_rounds, 3,
        "the bad version still gets work: {seen} requests"
    );
    fleet.heal();
    traffic.wait_for_calls(10).await;
    assert_eq!(
        trial_runs(&fleet),
        seen,
        "the bad version got work after the cut healed"
    );
    finish(fleet, traffic).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_changes_agree_on_all_hosts_after_a_domain_heals() {
    let _permit = fleet_permit().await;
    let mut fleet = start_fleet().await;
    let traffic = start_load(&fleet).await;
    fleet.cut(CUT_DOMAIN, &BOTH_SIDES);
    traffic.wait_for_calls(10).await;
    let pool = |name: &str, slots| {
        ConfigObject::Pool(PoolSpec {
            name: name.into(),
            slots_per_server: slots,
            ..Default::default()
        })
    };
    fleet.heal();
    let (first, second, other) = tokio::join!(
        change(&fleet, "first", vec![pool("contested", 1)]),
        change(&fleet, "second", vec![pool("contested", 2)]),
        change(&fleet, "other", vec![pool("own", 3)]),
    );
    let other = other.expect("no other change touches the entry");
    let accepted: BTreeMap<_, _> = [(1, first), (2, second)]
        .into_iter()
        .filter_map(|(slots, result)| Some((result.ok()?.generation, slots)))
        .collect();
    let (last, slots) = accepted
        .last_key_value()
        .expect("one of the changes is accepted");
    fleet.wait_for_generation(other.generation.max(*last)).await;
    for host in fleet.hosts.values() {
        let image = host.entry().context().image.load();
        assert_eq!(image.pools[&"contested".into()].slots_per_server, *slots);
        assert_eq!(image.pools[&"own".into()].slots_per_server, 3);
    }
    finish(fleet, traffic).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_host_is_killed_while_the_platform_is_down() {
    let _permit = fleet_permit().await;
    let mut fleet = start_fleet().await;
    let traffic = start_load(&fleet).await;
    fleet.set_platform_faults(|plan| plan.refuse = true);
    traffic.wait_for_calls(10).await;
    // Callers stop calling the host before it is killed, so none of its answers is cut off.
    let killed = fleet.address("rajkot-0");
    let others = fleet.addresses().into_iter().filter(|host| *host != killed);
    traffic.retarget(others.collect());
    traffic.wait_for_calls(3).await;
    fleet.kill("rajkot-0");
    wait_until("its peers no longer list the killed host as live", || {
        fleet.hosts_in_domain("rajkot").all(|host| {
            let members = host.mesh().members();
            members
                .live()
                .all(|member| member.name.as_str() != "rajkot-0")
        })
    })
    .await;
    fleet.set_platform_faults(|plan| plan.refuse = false);
    traffic.wait_for_calls(5).await;
    finish(fleet, traffic).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_poison_request_is_resent_while_hosts_are_replaced() {
    let _permit = fleet_permit().await;
    let mut options = three_domains();
    options.engines_per_domain = 3;
    let mut fleet = start_with(options).await;
    let traffic = start_load(&fleet).await;
    poison_engines(&fleet);
    let site = CallSite::of(&fleet.deployment.options);
    let first = fleet.address("rajkot-0");
    let first = Call::make(&site, CallKind::Chat, "venom", first).await;
    assert!(!first.is_answered(), "{first:?}");
    replace_all(&mut fleet, &traffic).await;
    resend_poison(&fleet).await;
    assert_eq!(deaths(&fleet), 2);
    let calls = traffic.stop().await;
    assert!(calls.len() > 10);
    let deployment = fleet.stop().await;
    crate::ledger_check::check_claims(&deployment, &calls);
    crate::ledger_check::check_billing(&deployment, &calls).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_version_is_withdrawn_over_a_slow_platform_while_an_engine_dies() {
    let _permit = fleet_permit().await;
    let fleet = start_fleet().await;
    let traffic = start_load(&fleet).await;
    fleet.set_platform_faults(|plan| plan.delay = Duration::from_millis(500));
    let engine = fleet.deployment.engines.values().next();
    engine
        .expect("the deployment has an engine")
        .set_draining(true);
    let generation = withdraw(&fleet, "large").await;
    fleet.wait_for_generation(generation).await;
    traffic.wait_for_calls(3).await;
    let runs = |fleet: &Fleet| {
        let runs = fleet.engine_runs().into_iter();
        runs.filter(|run| run.version == "advice@large").count()
    };
    let before = runs(&fleet);
    traffic.wait_for_calls(5).await;
    assert_eq!(runs(&fleet), before);
    fleet.set_platform_faults(|plan| plan.delay = Duration::ZERO);
    finish(fleet, traffic).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn the_host_list_is_down_while_a_domain_is_cut_off_from_the_platform() {
    let _permit = fleet_permit().await;
    let mut fleet = start_fleet().await;
    let traffic = start_load(&fleet).await;
    fleet
        .deployment
        .host_list
        .faults()
        .set(|plan| plan.hang = true);
    fleet.cut(CUT_DOMAIN, &[CutSide::Platform]);
    traffic.wait_for_calls(20).await;
    fleet.heal();
    fleet
        .deployment
        .host_list
        .faults()
        .set(|plan| plan.hang = false);
    finish(fleet, traffic).await;
}
