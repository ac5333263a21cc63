//! Whether a server that broke a connection was crashed by the request that it had.

use std::sync::Arc;

use log::Level;

use crate::coordination::requests::pick_probe_targets;
use crate::protocol::{GatewayRecord, PeerMessage};
use crate::state::{CrashReport, ServerEntry};
use crate::transport::connection_pool::accepts_connections;
use crate::transport::gateway_context::GatewayContext;
use crate::transport::record_log::log_record;

/// Crashes from which on other hosts are told of a request.
const MIN_ANNOUNCED_CRASHES: u32 = 2;

/// A server whose connection broke while it had a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LostServer<'a> {
    /// The server.
    pub(crate) server: &'a ServerEntry,
    /// Servers that the request was sent to.
    pub(crate) tried: &'a [Arc<str>],
    /// Fingerprint of the request.
    pub(crate) fingerprint: u64,
}

/// Finds out whether a server crashed alone, and notes the request if so.
pub(crate) async fn check_crash(context: &GatewayContext, lost: LostServer<'_>) {
    if accepts_connections(lost.server.address).await {
        return;
    }
    context
        .loads()
        .record_connect_failure(&lost.server.id, context.now());
    if is_domain_cut_off(context, lost).await {
        context.metrics.increment("cuts_seen_total");
        let record = GatewayRecord::CutSeen {
            server: lost.server.id.clone(),
            domain: lost.server.domain.clone(),
        };
        log_record(Level::Warn, &record);
        return;
    }
    let (fingerprint, server) = (lost.fingerprint, &lost.server.id);
    let now = context.now();
    let crashes = context.crashes().record_crash(fingerprint, server, now);
    log_record(
        Level::Warn,
        &GatewayRecord::CrashNoted {
            fingerprint: format!("{fingerprint:016x}"),
            crashes,
        },
    );
    if crashes >= MIN_ANNOUNCED_CRASHES {
        let note = CrashReport {
            fingerprint,
            crashes,
        };
        context.send_to_peers(PeerMessage::Crash(note));
    }
}

/// Returns whether a lost server's neighbours are lost too.
async fn is_domain_cut_off(context: &GatewayContext, lost: LostServer<'_>) -> bool {
    let witnesses = pick_probe_targets(context.servers().listed(), lost.server, lost.tried);
    for witness in &witnesses {
        if accepts_connections(witness.address).await {
            return false;
        }
    }
    !witnesses.is_empty()
}
