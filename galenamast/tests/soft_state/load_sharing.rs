//! Running hosts share what they measure of backend servers.

use std::time::{Duration, Instant};

use galenamast::event_loop::EntryHost;
use galenamast::state::ServerLifecycle;
use galenamast::transport::host_statistics;
use galenamast_testbed::{Deployment, DeploymentOptions};

/// Hosts of each of the two failure domains.
const HOSTS: usize = 4;
/// Backend servers of each failure domain.
const SERVERS: usize = 2;

/// Waits until something holds.
async fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let waiting = async {
        while !holds() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let waited = tokio::time::timeout(Duration::from_secs(60), waiting).await;
    assert!(waited.is_ok(), "never came about: {what}");
}

/// Returns the life of a server as a host sees it.
fn lifecycle(host: &EntryHost, server: &str) -> Option<ServerLifecycle> {
    let tables = host.context().tables.load();
    let mut servers = tables.servers.servers();
    let record = servers.find(|record| record.name == server.into())?;
    Some(record.lifecycle)
}

#[tokio::test]
async fn few_hosts_ask_and_all_know() {
    let options = DeploymentOptions {
        domains: vec!["cumbre".into(), "bosque".into()],
        hosts_per_domain: HOSTS,
        engines_per_domain: SERVERS,
        services_per_domain: 0,
        ..DeploymentOptions::nieve_alta()
    };
    let period = options.load_period;
    let deployment = Deployment::start(options).await;
    let deployment = deployment.expect("the deployment starts");
    let hosts: Vec<&EntryHost> = deployment.hosts.values().collect();
    wait_until("all hosts know each other", || {
        let known = |host: &&EntryHost| host_statistics(host.context()).members;
        hosts.iter().all(|host| known(host) == 2 * HOSTS as u64)
    })
    .await;
    let polls = || -> u64 {
        let statistics = hosts.iter().map(|host| host_statistics(host.context()));
        statistics.map(|statistics| statistics.load_polls).sum()
    };
    let (before, started) = (polls(), Instant::now());
    tokio::time::sleep(Duration::from_secs(4)).await;
    let rounds = started.elapsed().as_secs_f64() / period.as_secs_f64() + 1.0;
    let asked = (polls() - before) as f64;
    // Two hosts of its domain ask each server; every host asking would be eight a round.
    let watched = rounds * (2 * 2 * SERVERS) as f64;
    assert!(asked <= 2.0 * watched, "{asked} polls in {rounds} rounds");
    let server = "bosque-engine-0";
    deployment.engines[server].set_draining(true);
    wait_until("every host of the domain knows that it leaves", || {
        let near = hosts
            .iter()
            .filter(|host| host.context().settings.host.domain == "bosque".into());
        near.clone().all(|host| {
            let lifecycle = lifecycle(host, server);
            lifecycle.is_none() || lifecycle == Some(ServerLifecycle::Draining)
        })
    })
    .await;
    wait_until("no host elsewhere takes it for live", || {
        hosts
            .iter()
            .all(|host| lifecycle(host, server) != Some(ServerLifecycle::Live))
    })
    .await;
    let elsewhere = hosts
        .iter()
        .filter(|host| host.context().settings.host.domain == "cumbre".into());
    for host in elsewhere {
        assert_eq!(
            lifecycle(host, "bosque-engine-1"),
            Some(ServerLifecycle::Live)
        );
    }
    deployment.stop().await;
}
