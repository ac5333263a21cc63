//! Requests that kill engines, outdated server lists, and wrong or missing load reports.

use std::time::Duration;

use galenamast_fakes::ListedHost;
use galenamast_testbed::{Fleet, wait_until};

use crate::ledger_check::{check_all, check_answered};
use crate::support::{fleet_permit, start_fleet, start_with, three_domains};
use crate::traffic::{Call, CallKind, CallSite, Traffic};

/// Engines that a request may kill before every host refuses it.
const MAX_DEATHS: usize = 2;
/// Time after which the caller resends a request that killed an engine.
const RESEND_WAIT: Duration = Duration::from_secs(3);
/// Prompt that kills the engine that runs it.
const POISON: &str = "venom";

/// Returns the number of engines that have died.
pub(crate) fn deaths(fleet: &Fleet) -> usize {
    let engines = fleet.deployment.engines.values();
    engines.filter(|engine| engine.is_dead()).count()
}

/// Makes every engine die when it runs `POISON`.
pub(crate) fn poison_engines(fleet: &Fleet) {
    for engine in fleet.deployment.engines.values() {
        engine.set_faults(|faults| faults.poison = Some(POISON.into()));
    }
}

/// Sends `POISON` to every host, one after another; returns the calls.
pub(crate) async fn resend_poison(fleet: &Fleet) -> Vec<Call> {
    let site = CallSite::of(&fleet.deployment.options);
    let mut calls = Vec::new();
    for host in fleet.addresses() {
        calls.push(Call::make(&site, CallKind::Chat, POISON, host).await);
    }
    calls
}

#[tokio::test(flavor = "multi_thread")]
async fn a_poison_request_resent_to_every_host_kills_two_engines_and_no_other_request() {
    let _permit = fleet_permit().await;
    let mut options = three_domains();
    options.engines_per_domain = 3;
    let fleet = start_with(options).await;
    poison_engines(&fleet);
    let site = CallSite::of(&fleet.deployment.options);
    let first = fleet.address("rajkot-0");
    let first = Call::make(&site, CallKind::Chat, POISON, first).await;
    assert!(!first.is_answered() && !first.is_refused(), "{first:?}");
    tokio::time::sleep(RESEND_WAIT).await;
    let again = resend_poison(&fleet).await;
    assert!(again.iter().all(Call::is_refused), "{again:?}");
    assert_eq!(deaths(&fleet), MAX_DEATHS);
    let traffic = Traffic::start(&fleet.deployment.options, "others", fleet.addresses());
    traffic.wait_for_calls(10).await;
    let others = traffic.stop().await;
    check_answered(&others);
    check_all(fleet, &others).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_outdated_host_list_cuts_no_request() {
    let _permit = fleet_permit().await;
    let fleet = start_fleet().await;
    let traffic = Traffic::start(&fleet.deployment.options, "load", fleet.addresses());
    traffic.wait_for_calls(3).await;
    // The list contains a draining server and one that never existed, and lacks a running one.
    let names: Vec<String> = fleet.deployment.engines.keys().cloned().collect();
    let gone = &fleet.deployment.engines[&names[0]];
    gone.set_draining(true);
    fleet.deployment.host_list.publish(|list| {
        list.retain(|listed| listed.name != names[1]);
        list.push(ListedHost {
            name: "never-there".into(),
            address: "127.0.0.1:9".into(),
            domain: "rajkot".into(),
            pool: fleet.deployment.options.engine_pool.clone(),
            incarnation: 1,
            state: "live".into(),
        });
    });
    traffic.wait_for_calls(20).await;
    wait_until("the engine's last request ends", || gone.running() == 0).await;
    let runs = gone.runs().len();
    gone.kill();
    traffic.wait_for_calls(20).await;
    assert_eq!(gone.runs().len(), runs);
    let calls = traffic.stop().await;
    check_answered(&calls);
    check_all(fleet, &calls).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn wrong_or_missing_load_reports_cut_no_request() {
    let _permit = fleet_permit().await;
    let fleet = start_fleet().await;
    let traffic = Traffic::start(&fleet.deployment.options, "load", fleet.addresses());
    let mut engines = fleet.deployment.engines.values();
    let (stale, silent) = (engines.next(), engines.next());
    let stale = stale.expect("the deployment has an engine");
    stale.set_faults(|faults| faults.false_load = Some(0));
    stale.change(|options| options.first_token = Duration::from_millis(300));
    let silent = silent.expect("the deployment has a second engine");
    silent.set_faults(|faults| faults.hang_load = true);
    traffic.wait_for_calls(20).await;
    let calls = traffic.stop().await;
    check_answered(&calls);
    check_all(fleet, &calls).await;
}
