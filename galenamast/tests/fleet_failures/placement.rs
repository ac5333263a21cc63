//! Placement of versions on engines when engines or the placing host fail.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use galenamast::coordination::ConfigObject;
use galenamast::state::{ConfigGeneration, VersionKey};
use galenamast_fakes::OrderOptions;
use galenamast_testbed::{Deployment, DeploymentOptions, Fleet, publish_config, wait_until};

use crate::ledger_check::check_answered;
use crate::support::{fleet_permit, three_domains};
use crate::traffic::{Call, CallKind, CallSite};

/// Time for which the holder of a lease is paused, longer than the lease.
const PAUSE: Duration = Duration::from_secs(30);
/// Time after the pause in which the former holder could still give orders.
const AFTER_PAUSE: Duration = Duration::from_secs(2);

/// Returns options for one failure domain with three engines that load versions only when ordered.
fn ordered_engines() -> DeploymentOptions {
    let mut options = three_domains();
    options.domains.truncate(1);
    options.engines_per_domain = 3;
    options.engine.orders = Some(OrderOptions::default());
    options
}

/// Returns the names of the running engines that have a version loaded.
fn servers_of(deployment: &Deployment, version: &VersionKey) -> Vec<String> {
    let engines = deployment.engines.iter();
    let serving = engines.filter(|(_, engine)| {
        let orders = engine.orders().expect("the engine takes orders");
        let loaded = orders.state().loaded;
        let is_version = |loaded: &galenamast_fakes::OrderedVersion| {
            loaded.model == version.model.as_str() && loaded.version == version.version.as_str()
        };
        !engine.is_dead() && loaded.iter().any(is_version)
    });
    serving.map(|(name, _)| name.clone()).collect()
}

/// Starts a fleet whose hosts place versions on engines.
async fn start_placing() -> Fleet {
    let deployment = Deployment::without_hosts(ordered_engines()).await;
    let deployment = deployment.expect("the deployment starts");
    let mut documents = deployment.default_documents();
    for document in &mut documents {
        if let ConfigObject::Pool(pool) = document {
            pool.checks_fencing = true;
        }
    }
    publish_config(&deployment.objects, ConfigGeneration(1), &documents).expect("it encodes");
    Fleet::start_on(deployment).await.expect("the hosts start")
}

/// Kills the engines that serve a version and waits until another engine serves it.
async fn kill_engines(fleet: &Fleet, version: &VersionKey) {
    let killed = servers_of(&fleet.deployment, version);
    assert!(!killed.is_empty());
    for name in &killed {
        fleet.deployment.engines[name].kill();
    }
    wait_until("another engine serves the version", || {
        !servers_of(&fleet.deployment, version).is_empty()
    })
    .await;
}

/// Returns the host that holds the placement lease of the failure domain.
fn holder_of(fleet: &Fleet) -> Option<String> {
    let domain = &fleet.deployment.options.domains[0];
    let lease = fleet
        .deployment
        .objects
        .get("lease", &format!("placement-{domain}"))?;
    Some(lease["owner"]["host"].as_str()?.to_owned())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_paused_holder_gives_no_order_after_its_successor() {
    let _permit = fleet_permit().await;
    let fleet = start_placing().await;
    let large = VersionKey::new("advice", "large");
    fleet.wait_for_version(&large).await;
    let holder = holder_of(&fleet).expect("a host places versions");
    fleet.hosts[&holder].pause(PAUSE);
    let paused = Instant::now();
    kill_engines(&fleet, &large).await;
    let successor = holder_of(&fleet).expect("a host places versions");
    assert_ne!(successor, holder);
    tokio::time::sleep_until((paused + PAUSE + AFTER_PAUSE).into()).await;
    for engine in fleet.deployment.engines.values() {
        let taken = engine.orders().expect("the engine takes orders").taken();
        assert!(taken.is_sorted_by_key(|order| order.term), "{taken:?}");
        let last = taken.last().map(|order| order.term);
        let last_term_orders = taken.iter().filter(|order| Some(order.term) == last);
        let holders: BTreeSet<_> = last_term_orders.map(|order| &order.holder).collect();
        assert!(
            holders.len() <= 1,
            "several hosts gave orders in one term: {holders:?}"
        );
    }
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lost_engine_is_replaced_by_placement() {
    let _permit = fleet_permit().await;
    let fleet = start_placing().await;
    let large = VersionKey::new("advice", "large");
    fleet.wait_for_version(&large).await;
    kill_engines(&fleet, &large).await;
    fleet.wait_for_version(&large).await;
    let site = CallSite::of(&fleet.deployment.options);
    let mut calls = Vec::new();
    for (index, host) in fleet.addresses().into_iter().enumerate() {
        calls.push(Call::make(&site, CallKind::Chat, &format!("call {index}"), host).await);
    }
    check_answered(&calls);
    fleet.stop().await;
}
