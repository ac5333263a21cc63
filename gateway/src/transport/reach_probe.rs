//! Probes the servers of services of which this host seems to reach none.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use galenamast::state::TimePoint;
use log::Level;
use rand::Rng;
use rand::seq::IteratorRandom;

use crate::coordination::liveness::ProbeResult;
use crate::coordination::reach::ReachChange;
use crate::protocol::{GatewayRecord, PeerMessage};
use crate::state::ServerEntry;
use crate::transport::connection_pool::{probe_connection, probe_server};
use crate::transport::gateway_context::GatewayContext;
use crate::transport::record_log::log_record;

/// Longest time to wait for a probe of a service; one ends far sooner.
const PATH_CHECK_TIMEOUT: Duration = Duration::from_millis(500);

/// Records that a server of a service accepted no connection, and starts a probe of others if the whole
/// service may be out of reach.
pub(crate) fn record_unreachable(context: &GatewayContext, server: &ServerEntry) {
    let now = context.now();
    let listed = probed_servers(context, &server.service, now).len();
    let mut reach = context.reach();
    if reach.record_unreachable(&server.service, &server.id, listed) {
        context.reach_suspected.notify_one();
    }
}

/// Probes services that are suspect at once, and lost ones periodically, and checks the other hosts then.
pub(crate) async fn watch_reach(context: Arc<GatewayContext>) {
    let pause = context.settings.reach.probe_pause;
    let mut reported_at = TimePoint::ZERO;
    loop {
        let jitter = rand::rng().random_range(0.75..1.25);
        let is_idle = context.reach().to_probe().is_empty();
        tokio::select! {
            () = context.reach_suspected.notified() => {}
            () = context.timers.sleep(pause.mul_f64(jitter)), if !is_idle => {}
        }
        let services = context.reach().to_probe();
        let probes = services
            .iter()
            .map(|service| probe_service(&context, service));
        let (changes, ()) = tokio::join!(join_all(probes), check_peers(&context));
        context.paths_probed.send_modify(|count| *count += 1);
        let changed = changes.into_iter().any(|changed| changed);
        let lost = context.reach().lost_services();
        let now = context.now();
        let interval = context.settings.reach.report_interval;
        if changed || (!lost.is_empty() && now.since(reported_at) >= interval) {
            reported_at = now;
            context.send_to_peers(PeerMessage::LostPaths(lost));
        }
    }
}

/// Returns whether no server of a service is reached, which is probed if it is not known.
pub(crate) async fn check_path(context: &GatewayContext, service: &Arc<str>) -> bool {
    let mut probed = context.paths_probed.subscribe();
    context.reach().suspect(service);
    context.reach_suspected.notify_one();
    let probing = async {
        while context.reach().is_suspect(service) {
            if probed.changed().await.is_err() {
                return;
            }
        }
    };
    let _ = tokio::time::timeout(PATH_CHECK_TIMEOUT, probing).await;
    context.reach().is_lost(service)
}

/// Returns whether neither a server is reached nor any other one of its service.
pub(crate) async fn check_server_path(context: &GatewayContext, server: &ServerEntry) -> bool {
    if context.reach().is_lost(&server.service) {
        return true;
    }
    match probe_server(server.address).await {
        ProbeResult::Accepted | ProbeResult::NotTried => false,
        ProbeResult::Refused | ProbeResult::TimedOut => {
            record_unreachable(context, server);
            check_path(context, &server.service).await
        }
    }
}

/// Checks which other hosts accept connections, as requests may be passed on to them.
async fn check_peers(context: &GatewayContext) {
    let due = {
        let peers = context.peers();
        let Some(own) = peers.get(&context.settings.host) else {
            return;
        };
        let (draw, now) = (rand::rng().random(), context.now());
        let mut reach = context.peer_reach();
        reach.due_checks(peers.values(), own, draw, now)
    };
    let timeout = context.settings.peers.connect_timeout;
    let checks = due.into_iter().map(|peer| async move {
        let result = probe_connection(peer, timeout).await;
        if result != ProbeResult::NotTried {
            record_peer(context, peer, result == ProbeResult::Accepted);
        }
    });
    join_all(checks).await;
}

/// Records whether another host was reached, and drops the connections to one that was not.
pub(crate) fn record_peer(context: &GatewayContext, peer: SocketAddr, reached: bool) {
    let now = context.now();
    if reached {
        context.peer_reach().record_reached(peer, now);
        return;
    }
    context.peer_reach().record_failure(peer, now);
    context.pool.clear(peer);
    context.metrics.increment("peers_unreached_total");
}

/// Probes some servers of a service, and records and logs what changed; returns whether anything did.
async fn probe_service(context: &GatewayContext, service: &Arc<str>) -> bool {
    let now = context.now();
    let targets: Vec<ServerEntry> = {
        let serving = probed_servers(context, service, now).into_iter();
        serving.choose_multiple(&mut rand::rng(), context.settings.reach.probed_servers)
    };
    if targets.is_empty() && is_service_evacuated(context, service) {
        // Nothing can be sent there, whether or not there is a path.
        return false;
    }
    let probes = targets.iter().map(|target| probe_server(target.address));
    let results = join_all(probes).await;
    let reached = results.contains(&ProbeResult::Accepted);
    if !reached && results.contains(&ProbeResult::NotTried) {
        // The next probe decides.
        return false;
    }
    let change = context
        .reach()
        .record_probe(service, reached, context.now());
    let Some(change) = change else {
        return false;
    };
    let lost_for = match change {
        ReachChange::Lost => None,
        ReachChange::Restored(lost_for) => Some(lost_for),
    };
    if lost_for.is_none() {
        context.metrics.increment("paths_lost_total");
        suspect_all_services(context);
    }
    let record = GatewayRecord::PathChanged {
        service: service.clone(),
        lost: lost_for.is_none(),
        probed: targets.len(),
        lost_ms: lost_for.map(|time| u64::try_from(time.as_millis()).unwrap_or(u64::MAX)),
    };
    log_record(Level::Warn, &record);
    true
}

/// Returns the servers by which the path to a service is judged: those that requests may be sent to.
fn probed_servers(context: &GatewayContext, service: &str, now: TimePoint) -> Vec<ServerEntry> {
    let servers = context.servers();
    let mut serving = servers.serving(service, now);
    serving.retain(|entry| !context.is_evacuated(entry));
    serving.into_iter().cloned().collect()
}

/// Returns whether a service has servers, all of them in evacuated failure domains.
pub(crate) fn is_service_evacuated(context: &GatewayContext, service: &str) -> bool {
    let servers = context.servers();
    let serving = servers.serving(service, context.now());
    let mut entries = serving.iter();
    !serving.is_empty() && entries.all(|entry| context.is_evacuated(entry))
}

/// Has all services probed, since a lost path is seldom one service's alone.
fn suspect_all_services(context: &GatewayContext) {
    let services: BTreeSet<Arc<str>> = {
        let servers = context.servers();
        servers
            .listed()
            .map(|entry| entry.service.clone())
            .collect()
    };
    context.reach().suspect_all(services.into_iter());
    context.reach_suspected.notify_one();
}
