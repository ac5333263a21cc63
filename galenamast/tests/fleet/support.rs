//! Helpers shared by the fleet tests.

use std::net::SocketAddr;
use std::time::Duration;

use galenamast::config::Settings;
use galenamast::coordination::{CallPriority, ConfigChange, ConfigObject};
use galenamast::event_loop::EntryHost;
use galenamast::state::PoolSpec;
use galenamast::transport::{
    CallLimits, ConfigWriter, HttpClient, ObjectClient, PeerMesh, TimerService,
};

/// Creates an object API client with a 400 ms timeout and a call budget that no test reaches.
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

/// Creates a configuration writer that uses the object API at an address.
pub(crate) fn writer_at(address: SocketAddr) -> ConfigWriter {
    ConfigWriter::new(&client_at(address), TimerService::system())
}

/// Builds a change that creates or replaces one pool.
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

/// Returns settings for a host on free loopback ports that probes its peers every 200 ms.
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

/// Starts a host with the given object API address, if any, and peer seeds.
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

/// Returns the peer mesh of a started host.
pub(crate) fn mesh_of(host: &EntryHost) -> &PeerMesh {
    host.context().peers.get().expect("the host has started")
}

/// Polls a condition every 20 ms and panics if it does not hold within 60 seconds.
pub(crate) async fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let waiting = async {
        while !holds() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let waited = tokio::time::timeout(Duration::from_secs(60), waiting).await;
    assert!(waited.is_ok(), "timed out after 60 s waiting for: {what}");
}

/// Waits until every host has adopted a configuration generation.
pub(crate) async fn wait_for_generation(hosts: &[EntryHost], generation: u64) {
    wait_until(&format!("generation {generation}"), || {
        let has_adopted = |host: &EntryHost| host.context().image.load().generation.0 == generation;
        hosts.iter().all(has_adopted)
    })
    .await;
}
