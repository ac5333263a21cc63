//! Every host is replaced by one of another name and port, under load.

use galenamast_testbed::Fleet;

use crate::ledger_check::{check_all, check_answered};
use crate::support::{admit, start_peer_tasks};
use crate::traffic::Traffic;

/// Replaces every host, one after another, as an operator behind a balancer does.
pub(crate) async fn replace_all(fleet: &mut Fleet, traffic: &Traffic) {
    let names: Vec<String> = fleet.hosts.keys().cloned().collect();
    for name in names {
        fleet.start_successor(&name).await.expect("it starts");
        let staying = fleet.hosts.keys().filter(|host| **host != name);
        traffic.retarget(staying.map(|host| fleet.address(host)).collect());
        fleet.stop_host(&name).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn every_host_is_replaced_and_no_request_is_cut_or_billed_wrongly() {
    let _admitted = admit().await;
    let mut fleet = start_peer_tasks().await;
    let traffic = Traffic::start(&fleet.deployment.options, "load", fleet.addresses());
    traffic.go_on(5).await;
    replace_all(&mut fleet, &traffic).await;
    traffic.go_on(5).await;
    let calls = traffic.stop().await;
    check_answered(&calls);
    check_all(fleet, &calls).await;
}
