//! Applies and logs what backend servers ask of the hosts.

use std::sync::Arc;

use galenamast::state::TimePoint;
use log::Level;

use crate::coordination::permits::{HostShare, LimitChange};
use crate::protocol::{AnswerHead, GatewayRecord, PeerMessage};
use crate::state::ServerEntry;
use crate::transport::gateway_context::GatewayContext;
use crate::transport::record_log::log_record;

/// Records what a server asks of the hosts in the head of its answer to a request sent at
/// `sent_at`, and reports a change to the other hosts.
pub(crate) fn record_demand(
    context: &GatewayContext,
    server: &ServerEntry,
    head: &AnswerHead,
    sent_at: TimePoint,
) {
    // The answer is of another server, whose identifier is not known.
    if head.wrong_server {
        return;
    }
    if head.demand.malformed {
        context.metrics.increment("demands_malformed_total");
    }
    if head.demand.limit.is_some() {
        context.metrics.increment("answers_with_limit_total");
    }
    let now = context.now();
    let change = context
        .permits()
        .record_answer(&server.id, &head.demand, sent_at, now);
    if let Some(change) = change {
        send_due_reports(context);
        log_limit_change(context, &server.id, change, "answer");
    }
}

/// Reports to the other hosts what servers stated about their limits, as far as reports are due.
pub(crate) fn send_due_reports(context: &GatewayContext) {
    let due = context.permits().due_reports(context.now());
    for report in due {
        context.send_to_peers(PeerMessage::Limit(report));
    }
}

/// Logs that a server names another limit, or none any more, and this host's share of it.
pub(crate) fn log_limit_change(
    context: &GatewayContext,
    server: &Arc<str>,
    change: LimitChange,
    source: &'static str,
) {
    let entry = context.servers().get(server).cloned();
    let share = entry.and_then(|entry| context.permits().share(&entry));
    let share_requests = match share {
        Some(HostShare::Held { requests, .. }) => Some(requests),
        Some(HostShare::Slot { .. }) => Some(0),
        None => None,
    };
    let record = GatewayRecord::ServerLimited {
        server: server.clone(),
        from: change.from,
        to: change.to,
        share_requests,
        source,
    };
    log_record(Level::Info, &record);
}
