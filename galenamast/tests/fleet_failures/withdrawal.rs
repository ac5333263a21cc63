//! How soon a withdrawn version stops getting new work, according to the engines' run records.

use std::collections::BTreeSet;
use std::time::Duration;

use galenamast_testbed::{CutSide, Fleet};

use crate::ledger_check::{check_all, check_answered};
use crate::support::{fleet_permit, start_fleet, start_trial_fleet, withdraw};
use crate::traffic::Traffic;

/// Time after an accepted withdrawal during which the version may still get new work.
const WITHDRAWAL_LIMIT: Duration = Duration::from_secs(8);
/// Time after a cut during which a candidate may still get new work in the domain that is cut off.
/// The domain stops using it when the configuration's age reaches the freshness bound.
const ISOLATED_LIMIT: Duration = Duration::from_secs(10);

/// Returns the identifiers of the requests that engines ran with a version.
fn runs_of(fleet: &Fleet, version: &str) -> BTreeSet<String> {
    let version = format!("advice@{version}");
    let runs = fleet.engine_runs().into_iter();
    let runs = runs.filter(|run| run.version == version);
    runs.map(|run| run.request_id).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_withdrawn_version_gets_no_new_work_within_seconds() {
    let _permit = fleet_permit().await;
    let fleet = start_fleet().await;
    let traffic = Traffic::start(&fleet.deployment.options, "load", fleet.addresses());
    traffic.wait_for_calls(10).await;
    assert!(!runs_of(&fleet, "large").is_empty());
    let generation = withdraw(&fleet, "large").await;
    let accepted = std::time::Instant::now();
    fleet.wait_for_generation(generation).await;
    // Requests routed before the change may still arrive at the engines.
    traffic.wait_for_calls(10).await;
    let before = runs_of(&fleet, "large");
    traffic.wait_for_calls(10).await;
    assert_eq!(runs_of(&fleet, "large"), before);
    let calls = traffic.stop().await;
    let late = calls
        .iter()
        .filter(|call| call.sent > accepted + WITHDRAWAL_LIMIT);
    assert!(late.into_iter().all(|call| call.version() != Some("large")));
    check_answered(&calls);
    check_all(fleet, &calls).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_withdrawn_candidate_gets_no_new_work_in_a_domain_that_is_cut_off() {
    let _permit = fleet_permit().await;
    let mut fleet = start_trial_fleet(1_000).await;
    let traffic = Traffic::start(&fleet.deployment.options, "load", fleet.addresses());
    traffic.wait_for_calls(10).await;
    assert!(!runs_of(&fleet, "trial").is_empty());
    fleet.cut("bhavnagar", &[CutSide::Peers, CutSide::Platform]);
    let cut_at = std::time::Instant::now();
    withdraw(&fleet, "trial").await;
    tokio::time::sleep_until((cut_at + ISOLATED_LIMIT).into()).await;
    let before = runs_of(&fleet, "trial");
    traffic.wait_for_calls(10).await;
    assert_eq!(runs_of(&fleet, "trial"), before);
    fleet.heal();
    let calls = traffic.stop().await;
    check_all(fleet, &calls).await;
}
