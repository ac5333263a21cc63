//! Running hosts share the load that they measure on backend servers.

use std::time::{Duration, Instant};

use galenamast::event_loop::EntryHost;
use galenamast::state::ServerLifecycle;
use galenamast::transport::host_statistics;
use galenamast_testbed::{Deployment, DeploymentOptions};

/// Hosts of each of the two failure domains.
const HOSTS_PER_DOMAIN: usize = 4;
/// Backend servers of each failure domain.
const SERVERS_PER_DOMAIN: usize = 2;

/// Waits until a condition holds; fails the test after 60 s.
async fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let waiting = async {
        while !holds() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let waited = tokio::time::timeout(Duration::from_secs(60), waiting).await;
    assert!(waited.is_ok(), "timed out waiting until {what}");
}

/// Returns the lifecycle state of a server in the tables of a host.
fn lifecycle(host: &EntryHost, server: &str) -> Option<ServerLifecycle> {
    let tables = host.context().tables.load();
    let mut servers = tables.servers.servers();
    let record = servers.find(|record| record.name == server.into())?;
    Some(record.lifecycle)
}

#[tokio::test]
async fn two_hosts_poll_each_server_and_all_hosts_learn_its_state() {
    let options = DeploymentOptions {
        domains: vec!["cumbre".into(), "bosque".into()],
        hosts_per_domain: HOSTS_PER_DOMAIN,
        engines_per_domain: SERVERS_PER_DOMAIN,
        services_per_domain: 0,
        ..DeploymentOptions::nieve_alta()
    };
    let period = options.load_period;
    let deployment = Deployment::start(options).await;
    let deployment = deployment.expect("the deployment starts");
    let hosts: Vec<&EntryHost> = deployment.hosts.values().collect();
    wait_until("all hosts know each other", || {
        let known = |host: &&EntryHost| host_statistics(host.context()).members;
        hosts
            .iter()
            .all(|host| known(host) == 2 * HOSTS_PER_DOMAIN as u64)
    })
    .await;
    let polls = || -> u64 {
        let statistics = hosts.iter().map(|host| host_statistics(host.context()));
        statistics.map(|statistics| statistics.load_polls).sum()
    };
    let (before, started) = (polls(), Instant::now());
    tokio::time::sleep(Duration::from_secs(4)).await;
    let rounds = started.elapsed().as_secs_f64() / period.as_secs_f64() + 1.0;
    let poll_count = (polls() - before) as f64;
    // Two hosts of its domain poll each server. If every host did, a server would get eight polls a
    // round.
    let expected_polls = rounds * (2 * 2 * SERVERS_PER_DOMAIN) as f64;
    assert!(
        poll_count <= 2.0 * expected_polls,
        "{poll_count} polls in {rounds} rounds"
    );
    let server = "bosque-engine-0";
    deployment.engines[server].set_draining(true);
    wait_until(
        "every host of the domain knows that the server is draining",
        || {
            let local_hosts = hosts
                .iter()
                .filter(|host| host.context().settings.host.domain == "bosque".into());
            local_hosts.clone().all(|host| {
                let lifecycle = lifecycle(host, server);
                lifecycle.is_none() || lifecycle == Some(ServerLifecycle::Draining)
            })
        },
    )
    .await;
    wait_until("no host takes the server for live", || {
        hosts
            .iter()
            .all(|host| lifecycle(host, server) != Some(ServerLifecycle::Live))
    })
    .await;
    let remote_hosts = hosts
        .iter()
        .filter(|host| host.context().settings.host.domain == "cumbre".into());
    for host in remote_hosts {
        assert_eq!(
            lifecycle(host, "bosque-engine-1"),
            Some(ServerLifecycle::Live)
        );
    }
    deployment.stop().await;
}
