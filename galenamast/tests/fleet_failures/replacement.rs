//! Replacement of every host by one with another name and port, under load.

use galenamast_testbed::Fleet;

use crate::ledger_check::{check_all, check_answered};
use crate::support::{fleet_permit, start_fleet};
use crate::traffic::Traffic;

/// Replaces every host in turn: starts its successor, takes it off the callers' list, stops it.
pub(crate) async fn replace_all(fleet: &mut Fleet, traffic: &Traffic) {
    let names: Vec<String> = fleet.hosts.keys().cloned().collect();
    for name in names {
        fleet
            .start_successor(&name)
            .await
            .expect("the successor starts");
        let remaining = fleet.hosts.keys().filter(|host| **host != name);
        traffic.retarget(remaining.map(|host| fleet.address(host)).collect());
        fleet.stop_host(&name).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn every_host_is_replaced_and_no_request_is_cut_or_billed_wrongly() {
    let _permit = fleet_permit().await;
    let mut fleet = start_fleet().await;
    let traffic = Traffic::start(&fleet.deployment.options, "load", fleet.addresses());
    traffic.wait_for_calls(5).await;
    replace_all(&mut fleet, &traffic).await;
    traffic.wait_for_calls(5).await;
    let calls = traffic.stop().await;
    check_answered(&calls);
    check_all(fleet, &calls).await;
}
