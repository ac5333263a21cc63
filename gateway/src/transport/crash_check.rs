//! Decides whether a server that closed a connection was crashed by the request it was running.

use std::sync::Arc;

use log::Level;

use crate::coordination::crashes::pick_probe_targets;
use crate::coordination::liveness::ProbeResult;
use crate::protocol::GatewayRecord;
use crate::state::{CrashSuspect, ServerEntry};
use crate::transport::connection_pool::probe_server;
use crate::transport::crash_reports::record_crash;
use crate::transport::gateway_context::GatewayContext;
use crate::transport::record_log::log_record;

/// A server whose connection closed while it was running a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LostServer<'a> {
    /// Server whose connection closed.
    pub(crate) server: &'a ServerEntry,
    /// Identifiers of the servers that the request was sent to, without those that rejected it.
    pub(crate) tried: &'a [Arc<str>],
    /// Identifier of the request.
    pub(crate) request: &'a Arc<str>,
    /// What is held against the request.
    pub(crate) suspect: &'a CrashSuspect,
    /// Number of events that the server had sent in answer to the request.
    pub(crate) events: u64,
    /// Whether a server has begun to answer the request without crashing.
    pub(crate) is_answered: bool,
}

/// Probes a server whose connection closed, and other servers if it does not accept connections.
/// Records a crash against the request unless the other servers are unreachable too, which means
/// that the network was cut, or the request is one that servers can answer.
pub(crate) async fn check_crash(context: &GatewayContext, lost: LostServer<'_>) {
    if !is_unreachable(lost.server).await {
        return;
    }
    context
        .loads()
        .record_connect_failure(&lost.server.id, context.now());
    context
        .permits()
        .cold()
        .record_failure(&lost.server.id, context.now());
    if is_domain_cut_off(context, lost).await {
        context.metrics.increment("cuts_seen_total");
        let record = GatewayRecord::CutSeen {
            server: lost.server.id.clone(),
            domain: lost.server.domain.clone(),
        };
        log_record(Level::Warn, &record);
        return;
    }
    if lost.is_answered {
        return;
    }
    let server = &lost.server.id;
    let crashes = record_crash(context, server, lost.suspect);
    let digests = lost.suspect.parts.iter();
    let record = GatewayRecord::CrashNoted {
        request: lost.request.clone(),
        server: server.clone(),
        fingerprint: format!("{:016x}", lost.suspect.fingerprint),
        parts: digests.map(|digest| format!("{digest:x}")).collect(),
        events: lost.events,
        crashes,
    };
    log_record(Level::Warn, &record);
}

/// Returns whether all other probed servers are unreachable too; false if there is none to probe.
async fn is_domain_cut_off(context: &GatewayContext, lost: LostServer<'_>) -> bool {
    let probe_targets = {
        let (servers, crashes, now) = (context.servers(), context.crashes(), context.now());
        let has_crashed = |server: &str| crashes.has_crashed_before(server, now);
        let was_lost = |server: &str| crashes.was_lost_recently(server, now);
        let listed = servers.listed();
        pick_probe_targets(listed, lost.server, lost.tried, has_crashed, was_lost)
    };
    for target in &probe_targets {
        if !is_unreachable(target).await {
            return false;
        }
    }
    !probe_targets.is_empty()
}

/// Returns whether a server accepts no connection, as far as this host could try.
async fn is_unreachable(server: &ServerEntry) -> bool {
    match probe_server(server.address).await {
        ProbeResult::Accepted | ProbeResult::NotTried => false,
        ProbeResult::Refused | ProbeResult::TimedOut => true,
    }
}
