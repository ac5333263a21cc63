//! Probes the servers of services of which this host seems to reach none.

use std::sync::Arc;

use futures_util::future::join_all;
use log::Level;
use rand::Rng;
use rand::seq::IteratorRandom;

use crate::coordination::reach::ReachChange;
use crate::protocol::GatewayRecord;
use crate::state::ServerEntry;
use crate::transport::connection_pool::accepts_connections;
use crate::transport::gateway_context::GatewayContext;
use crate::transport::record_log::log_record;

/// Records that a server of a service accepted no connection, and starts a probe of others if the whole
/// service may be out of reach.
pub(crate) fn record_unreachable(context: &GatewayContext, server: &ServerEntry) {
    let now = context.now();
    let listed = context.servers().serving(&server.service, now).len();
    let mut reach = context.reach();
    if reach.record_unreachable(&server.service, &server.id, listed) {
        context.reach_suspected.notify_one();
    }
}

/// Probes services that are suspect at once, and lost ones periodically.
pub(crate) async fn watch_reach(context: Arc<GatewayContext>) {
    let pause = context.settings.reach.probe_pause;
    loop {
        let jitter = rand::rng().random_range(0.75..1.25);
        let is_idle = context.reach().to_probe().is_empty();
        tokio::select! {
            () = context.reach_suspected.notified() => {}
            () = context.timers.sleep(pause.mul_f64(jitter)), if !is_idle => {}
        }
        let services = context.reach().to_probe();
        join_all(
            services
                .iter()
                .map(|service| probe_service(&context, service)),
        )
        .await;
    }
}

/// Probes some servers of a service, and records and logs what changed.
async fn probe_service(context: &GatewayContext, service: &Arc<str>) {
    let now = context.now();
    let targets: Vec<ServerEntry> = {
        let servers = context.servers();
        let serving = servers.serving(service, now).into_iter().cloned();
        serving.choose_multiple(&mut rand::rng(), context.settings.reach.probed_servers)
    };
    let probes = targets
        .iter()
        .map(|target| accepts_connections(target.address));
    let reached = join_all(probes).await.into_iter().any(|accepted| accepted);
    let change = context
        .reach()
        .record_probe(service, reached, context.now());
    let Some(change) = change else {
        return;
    };
    let lost_for = match change {
        ReachChange::Lost => None,
        ReachChange::Restored(lost_for) => Some(lost_for),
    };
    if lost_for.is_none() {
        context.metrics.increment("paths_lost_total");
    }
    let record = GatewayRecord::PathChanged {
        service: service.clone(),
        lost: lost_for.is_none(),
        probed: targets.len(),
        lost_ms: lost_for.map(|time| u64::try_from(time.as_millis()).unwrap_or(u64::MAX)),
    };
    log_record(Level::Warn, &record);
}
