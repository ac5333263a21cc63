//! Applies and logs what backend servers ask of the hosts.

use std::sync::Arc;

use galenamast::state::TimePoint;
use log::Level;

use crate::coordination::permits::{DemandChange, HostShare};
use crate::protocol::{AnswerHead, GatewayRecord, PeerMessage};
use crate::state::ServerEntry;
use crate::transport::cold_notices::record_cold_answer;
use crate::transport::gateway_context::GatewayContext;
use crate::transport::record_log::log_record;

/// Records what a server asks of the hosts in the head of its answer to a request sent at
/// `sent_at` or later, and reports a change to the other hosts.
pub(crate) fn record_demand(
    context: &GatewayContext,
    server: &ServerEntry,
    head: &AnswerHead,
    sent_at: TimePoint,
) {
    let (demand, now) = (&head.demand, context.now());
    if demand.malformed {
        context.metrics.increment("demands_malformed_total");
    }
    if demand.limit.is_some() {
        context.metrics.increment("answers_with_limit_total");
    }
    let changes = if !head.wrong_server {
        let mut permits = context.permits();
        permits.record_answer(&server.id, demand, sent_at, now)
    } else if demand.leaving {
        // The answer may be of another server, whose limit is not this one's. Either way this one
        // gets no new work.
        let change = context.permits().record_leaving(&server.id, now, now);
        change.into_iter().collect()
    } else {
        Vec::new()
    };
    if !head.wrong_server {
        record_cold_answer(context, server, head.cold_for, sent_at);
    }
    for change in changes {
        if change == DemandChange::Refused {
            let report = context.permits().refusal_report(&server.id, now);
            context.send_to_peers(PeerMessage::Demand(report));
        }
        send_due_reports(context);
        apply_demand_change(context, &server.id, change, "answer");
    }
}

/// Reports to the other hosts what servers stated, as far as reports are due.
pub(crate) fn send_due_reports(context: &GatewayContext) {
    let due = context.permits().due_reports(context.now());
    for report in due {
        context.send_to_peers(PeerMessage::Demand(report));
    }
}

/// Logs a change of a server's demands, which the host learned from `source`, and closes idle
/// connections to a server that leaves.
pub(crate) fn apply_demand_change(
    context: &GatewayContext,
    server: &Arc<str>,
    change: DemandChange,
    source: &'static str,
) {
    let entry = context.servers().get(server).cloned();
    let server = server.clone();
    let record = match change {
        DemandChange::Leaving => {
            context.metrics.increment("servers_leaving_total");
            if let Some(entry) = entry {
                context.pool.clear(entry.address);
            }
            GatewayRecord::ServerLeaving { server, source }
        }
        DemandChange::Paused(pause) => {
            context.metrics.increment("servers_paused_total");
            let pause_ms = u64::try_from(pause.as_millis()).unwrap_or(u64::MAX);
            GatewayRecord::ServerPaused { server, pause_ms }
        }
        DemandChange::Refused => {
            context.metrics.increment("brittle_refusals_total");
            return;
        }
        DemandChange::Brittle(tolerated) => GatewayRecord::ServerBrittle {
            server,
            tolerated,
            source,
        },
        DemandChange::Limit { from, to } => GatewayRecord::ServerLimited {
            share_requests: entry.and_then(|entry| share_requests(context, &entry)),
            server,
            from,
            to,
            source,
        },
    };
    log_record(Level::Info, &record);
}

/// Returns how many requests this host may send to a server in each window of its limit; `None` if
/// the server names none.
fn share_requests(context: &GatewayContext, server: &ServerEntry) -> Option<usize> {
    match context.permits().share(server)? {
        HostShare::Held { requests, .. } => Some(requests),
        HostShare::Slot { .. } => Some(0),
    }
}
