//! Shared parts of the tests of the fleet.

use std::net::SocketAddr;
use std::time::Duration;

use galenamast::config::Settings;
use galenamast::coordination::{CallPriority, ConfigChange, ConfigObject};
use galenamast::event_loop::EntryHost;
use galenamast::state::PoolSpec;
use galenamast::transport::{
    CallLimits, ConfigWriter, HttpClient, ObjectClient, PeerMesh, TimerService,
};

/// Creates a client with a short timeout and a budget that never binds.
pub(crate) fn client_at(address: SocketAddr) -> ObjectClient {
    let limits = CallLimits {
        call_timeout: Duration::from_millis(400),
        calls_per_second: 10_000,
        ..Default::default()
    };
    let client =
        ObjectClient::with_limits(HttpClient::new(), address, limits, TimerService::system());
    client.with_priority(CallPriority::Claim)
}

/// Creates a configuration writer at an address.
pub(crate) fn writer_at(address: SocketAddr) -> ConfigWriter {
    ConfigWriter::new(&client_at(address), TimerService::system())
}

/// Builds a change that puts one pool.
pub(crate) fn pool_change(change_id: &str, pool: &str, slots: u32) -> ConfigChange {
    ConfigChange {
        change_id: change_id.into(),
        author: format!("author of {change_id}"),
        reason: "test".into(),
        puts: vec![ConfigObject::Pool(PoolSpec {
            name: pool.into(),
            slots_per_server: slots,
            ..Default::default()
        })],
        ..Default::default()
    }
}

/// Returns the settings of a host in a failure domain, which probes often.
pub(crate) fn host_settings(name: &str, domain: &str) -> Settings {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let mut settings = Settings::default();
    settings.host.name = name.into();
    settings.host.domain = domain.into();
    settings.callers.listen = any_port;
    settings.operators.listen = any_port;
    settings.peers.listen = any_port;
    settings.peers.probe_period = Duration::from_millis(200);
    settings.peers.suspicion_time = Duration::from_millis(1_500);
    settings.peers.bytes_per_second = 1_000_000;
    settings.shutdown.balancer_lag = Duration::ZERO;
    settings.platform.call_timeout = Duration::from_millis(500);
    settings
}

/// Starts a host that reaches the platform at an address and a seed.
pub(crate) async fn start_host(
    name: &str,
    domain: &str,
    objects: Option<SocketAddr>,
    seeds: &[SocketAddr],
) -> EntryHost {
    let mut settings = host_settings(name, domain);
    settings.platform.objects = objects;
    settings.peers.seeds = seeds.to_vec();
    EntryHost::start(settings).await.expect("the host starts")
}

/// Returns the mesh of a host.
pub(crate) fn mesh_of(host: &EntryHost) -> &PeerMesh {
    host.context().peers.get().expect("the host has started")
}

/// Waits until something holds.
pub(crate) async fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let waiting = async {
        while !holds() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let waited = tokio::time::timeout(Duration::from_secs(60), waiting).await;
    assert!(waited.is_ok(), "never came about: {what}");
}

/// Waits until every host serves by a generation.
pub(crate) async fn wait_for_generation(hosts: &[EntryHost], generation: u64) {
    wait_until(&format!("generation {generation}"), || {
        let reached = |host: &EntryHost| host.context().image.load().generation.0 == generation;
        hosts.iter().all(reached)
    })
    .await;
}
