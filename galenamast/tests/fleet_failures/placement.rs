//! Placement in whole deployments.

use galenamast::coordination::ConfigObject;
use galenamast::state::{ConfigGeneration, VersionKey};
use galenamast_fakes::OrderOptions;
use galenamast_testbed::{Deployment, DeploymentOptions, Fleet, publish_config, wait_until};

use crate::ledger_check::check_answered;
use crate::support::{admit, three_domains};
use crate::traffic::{Call, CallKind, CallSite};

/// Describes one failure domain whose three engines serve nothing until they are ordered to.
fn ordered_engines() -> DeploymentOptions {
    let mut options = three_domains();
    options.domains.truncate(1);
    options.engines_per_domain = 3;
    options.engine.orders = Some(OrderOptions::default());
    options
}

/// Returns the names of the living engines that serve a version.
fn servers_of(deployment: &Deployment, version: &VersionKey) -> Vec<String> {
    let engines = deployment.engines.iter();
    let serving = engines.filter(|(_, engine)| {
        let orders = engine.orders().expect("the engine takes orders");
        let loaded = orders.state().loaded;
        let found = |loaded: &galenamast_fakes::OrderedVersion| {
            loaded.model == version.model.as_str() && loaded.version == version.version.as_str()
        };
        !engine.is_dead() && loaded.iter().any(found)
    });
    serving.map(|(name, _)| name.clone()).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lost_engine_is_replaced_by_placement() {
    let _admitted = admit().await;
    let deployment = Deployment::without_hosts(ordered_engines()).await;
    let deployment = deployment.expect("the stand-ins start");
    let mut documents = deployment.default_documents();
    for document in &mut documents {
        if let ConfigObject::Pool(pool) = document {
            pool.checks_fencing = true;
        }
    }
    publish_config(&deployment.objects, ConfigGeneration(1), &documents).expect("it encodes");
    let fleet = Fleet::start_on(deployment).await.expect("the hosts start");
    let large = VersionKey::new("advice", "large");
    fleet.wait_for_version(&large).await;
    let lost = servers_of(&fleet.deployment, &large);
    for name in &lost {
        fleet.deployment.engines[name].kill();
    }
    wait_until("another engine serves the version", || {
        !servers_of(&fleet.deployment, &large).is_empty()
    })
    .await;
    fleet.wait_for_version(&large).await;
    let site = CallSite::of(&fleet.deployment.options);
    let mut calls = Vec::new();
    for (index, host) in fleet.addresses().into_iter().enumerate() {
        calls.push(Call::make(&site, CallKind::Chat, &format!("call {index}"), host).await);
    }
    check_answered(&calls);
    assert!(!lost.is_empty());
    fleet.stop().await;
}
