//! A host that starts while the platform is down.

use galenamast_testbed::{Deployment, Fleet, wait_until};

use crate::ledger_check::{check_all, check_answered};
use crate::support::{fleet_permit, start_fleet, three_domains};
use crate::traffic::{Call, CallKind, CallSite};

#[tokio::test(flavor = "multi_thread")]
async fn a_new_host_with_live_peers_serves_while_the_platform_is_down() {
    let _permit = fleet_permit().await;
    let mut fleet = start_fleet().await;
    fleet.set_platform_faults(|plan| plan.refuse = true);
    fleet
        .add("rajkot-new", "rajkot")
        .await
        .expect("the host starts");
    fleet.wait_until_ready("rajkot-new").await;
    let site = CallSite::of(&fleet.deployment.options);
    let host = fleet.address("rajkot-new");
    let mut calls = Vec::new();
    for kind in [CallKind::Chat, CallKind::Stream] {
        calls.push(Call::make(&site, kind, "while down", host).await);
    }
    check_answered(&calls);
    let claim = Call::make(&site, CallKind::Claim, "entry", host).await;
    assert!(claim.is_refused(), "{claim:?}");
    calls.push(claim);
    fleet.set_platform_faults(|plan| plan.refuse = false);
    wait_until("the new host's configuration is younger than 5 s", || {
        let context = fleet.hosts["rajkot-new"].entry().context();
        context.tables.load().config_age < std::time::Duration::from_secs(5)
    })
    .await;
    check_all(fleet, &calls).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_new_host_without_peers_serves_nothing_until_the_platform_is_back() {
    let _permit = fleet_permit().await;
    let deployment = Deployment::without_hosts(three_domains()).await;
    let mut fleet = Fleet::without_hosts(deployment.expect("the deployment starts"));
    fleet.set_platform_faults(|plan| plan.refuse = true);
    fleet
        .add("rajkot-0", "rajkot")
        .await
        .expect("the host starts");
    let site = CallSite::of(&fleet.deployment.options);
    let host = fleet.address("rajkot-0");
    for kind in [CallKind::Chat, CallKind::Claim] {
        let call = Call::make(&site, kind, "too early", host).await;
        assert!(!call.is_answered(), "{call:?}");
    }
    assert!(!fleet.hosts["rajkot-0"].entry().context().is_ready());
    fleet.set_platform_faults(|plan| plan.refuse = false);
    fleet.wait_until_ready("rajkot-0").await;
    let call = Call::make(&site, CallKind::Chat, "served", host).await;
    check_answered(std::slice::from_ref(&call));
    assert_eq!(fleet.engine_runs().len(), 1);
    check_all(fleet, &[call]).await;
}
