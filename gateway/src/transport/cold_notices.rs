//! Learns which servers are cold, tells the other hosts, and logs it.

use std::time::Duration;

use galenamast::state::TimePoint;
use log::Level;

use crate::coordination::permits::ColdChange;
use crate::coordination::placement::HostLoad;
use crate::protocol::{GatewayRecord, PeerMessage};
use crate::state::{ColdReport, ConfigSnapshot, ServerEntry};
use crate::transport::gateway_context::GatewayContext;
use crate::transport::record_log::log_record;

/// Longest time before the latest report of load for which a server that was sent a request counts as
/// in use.
const RECENT_USE: Duration = Duration::from_secs(1);

/// Most servers in a report of those that are used in a failure domain.
const MAX_USED_SERVERS: usize = 150;

/// Adopts what the servers of each service tolerate while they are cold.
pub(crate) fn adopt_cold_specs(context: &GatewayContext, snapshot: &ConfigSnapshot) {
    let specs = snapshot
        .services
        .iter()
        .filter_map(|(name, service)| service.cold.map(|spec| (name.clone(), spec)))
        .collect();
    context.permits().cold().set_specs(specs);
    // The list may have been read before the configuration.
    let listed: Vec<ServerEntry> = context.servers().listed().cloned().collect();
    record_cold_entries(context, &listed, false);
}

/// Records the entries of servers, read in a change of the store (`is_change`) or in a list.
pub(crate) fn record_cold_entries(
    context: &GatewayContext,
    entries: &[ServerEntry],
    is_change: bool,
) {
    for entry in entries {
        let now = context.now();
        let change = context.permits().cold().record_entry(entry, is_change, now);
        if !entry.cold_for.is_zero() {
            context.cold_learned.notify_one();
        }
        apply_cold_change(context, change);
    }
}

/// Records an answer of a server to a request sent at `sent_at`.
pub(crate) fn record_cold_answer(
    context: &GatewayContext,
    server: &ServerEntry,
    cold_for: Option<Duration>,
    sent_at: TimePoint,
) {
    let now = context.now();
    let change = context
        .permits()
        .cold()
        .record_answer(server, cold_for, sent_at, now);
    if cold_for.is_some_and(|cold_for| !cold_for.is_zero()) {
        context.cold_learned.notify_one();
    }
    apply_cold_change(context, change);
}

/// Applies the reports of another host.
pub(crate) fn apply_cold_reports(context: &GatewayContext, reports: &[ColdReport]) {
    for report in reports {
        let now = context.now();
        let change = context.permits().cold().record_report(report, now);
        apply_cold_change(context, change);
    }
}

/// Records the servers, by short identifier, that other hosts use.
pub(crate) fn record_peer_use(context: &GatewayContext, used: impl Iterator<Item = u32>) {
    if context.settings.cold.is_some() {
        let now = context.now();
        context.permits().cold().record_peer_use(used, now);
    }
}

/// Returns the servers of this host's failure domain that any host has used a moment ago, at most as
/// many as a datagram should hold.
pub(crate) fn used_in_domain(context: &GatewayContext) -> Vec<u32> {
    let since = context.now() - RECENT_USE;
    let domain = &context.settings.domain;
    let mut used = context.permits().cold().used_since(domain, since);
    used.truncate(MAX_USED_SERVERS);
    used
}

/// Records the load that this host puts on servers, and adds those that it sent a request since its
/// last report at `reported_at` and that hold none now.
pub(crate) fn add_recent_use(
    context: &GatewayContext,
    loads: &mut Vec<HostLoad>,
    reported_at: TimePoint,
) {
    if context.settings.cold.is_none() {
        return;
    }
    let now = context.now();
    let mut permits = context.permits();
    let cold = permits.cold();
    cold.record_own_use(loads.iter().map(|load| load.server), now);
    for server in cold.sent_since(reported_at.max(now - RECENT_USE)) {
        if !loads.iter().any(|load| load.server == server) {
            loads.push(HostLoad {
                server,
                ..HostLoad::default()
            });
        }
    }
}

/// Logs a server that has become cold, and has it reported.
fn apply_cold_change(context: &GatewayContext, change: Option<ColdChange>) {
    let Some(change) = change else {
        return;
    };
    context.metrics.increment("servers_cold_total");
    let record = GatewayRecord::ServerCold {
        server: change.server,
        remaining_ms: u64::try_from(change.remaining.as_millis()).unwrap_or(u64::MAX),
        share_requests: change.share_requests,
        source: change.source.name(),
    };
    log_record(Level::Info, &record);
    context.cold_learned.notify_one();
}

/// Reports cold servers to the other hosts when the reports are due, and logs servers that are open to
/// all hosts again.
pub(crate) async fn run_cold_notices(context: &GatewayContext) {
    if context.settings.cold.is_none() {
        return;
    }
    loop {
        let now = context.now();
        let (due, warm, next_at) = {
            let mut permits = context.permits();
            let cold = permits.cold();
            (
                cold.due_reports(now),
                cold.newly_warm(now),
                cold.next_event_at(),
            )
        };
        if !due.is_empty() {
            context.send_to_peers(PeerMessage::ColdServers(due));
        }
        for server in warm {
            log_record(Level::Info, &GatewayRecord::ServerWarm { server });
        }
        let waiting = async {
            match next_at {
                Some(at) => tokio::time::sleep(at.since(now)).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            () = waiting => {}
            () = context.cold_learned.notified() => {}
        }
    }
}
