//! The last new work of a withdrawn version, by the engines' own records.

use std::collections::BTreeSet;
use std::time::Duration;

use galenamast_testbed::{CutSide, Fleet};

use crate::ledger_check::{check_all, check_answered};
use crate::support::{admit, start_peer_tasks, start_trial_fleet, withdraw};
use crate::traffic::Traffic;

/// Time after an accepted withdrawal in which a version may still get new work.
const WITHDRAWAL_LIMIT: Duration = Duration::from_secs(8);
/// The same in a domain that is cut off, which waits for the bound on the configuration's age.
const ISOLATED_LIMIT: Duration = Duration::from_secs(10);

/// Returns the requests that engines ran by a version.
fn runs_of(fleet: &Fleet, version: &str) -> BTreeSet<String> {
    let version = format!("advice@{version}");
    let runs = fleet.engine_runs().into_iter();
    let runs = runs.filter(|run| run.version == version);
    runs.map(|run| run.request_id).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_withdrawn_version_gets_no_new_work_within_seconds() {
    let _admitted = admit().await;
    let fleet = start_peer_tasks().await;
    let traffic = Traffic::start(&fleet.deployment.options, "load", fleet.addresses());
    traffic.go_on(10).await;
    assert!(!runs_of(&fleet, "large").is_empty());
    let generation = withdraw(&fleet, "large").await;
    let accepted = std::time::Instant::now();
    fleet.wait_for_generation(generation).await;
    // Requests that were decided before the change arrive at the engines.
    traffic.go_on(10).await;
    let before = runs_of(&fleet, "large");
    traffic.go_on(10).await;
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
    let _admitted = admit().await;
    let mut fleet = start_trial_fleet(1_000).await;
    let traffic = Traffic::start(&fleet.deployment.options, "load", fleet.addresses());
    traffic.go_on(10).await;
    assert!(!runs_of(&fleet, "trial").is_empty());
    fleet.cut("bhavnagar", &[CutSide::Peers, CutSide::Platform]);
    let cut_at = std::time::Instant::now();
    withdraw(&fleet, "trial").await;
    tokio::time::sleep_until((cut_at + ISOLATED_LIMIT).into()).await;
    let before = runs_of(&fleet, "trial");
    traffic.go_on(10).await;
    assert_eq!(runs_of(&fleet, "trial"), before);
    fleet.heal();
    let calls = traffic.stop().await;
    check_all(fleet, &calls).await;
}
