//! Watches servers at which attempts wait for their first byte, and probes those that fall silent.

use std::sync::Arc;
use std::time::Duration;

use log::Level;

use crate::coordination::liveness::{LivenessChange, ProbeResult, WaitStep, WaitTicket};
use crate::protocol::GatewayRecord;
use crate::state::ServerEntry;
use crate::transport::connection_pool::probe_connection;
use crate::transport::gateway_context::GatewayContext;
use crate::transport::reach_probe::record_unreachable;
use crate::transport::record_log::log_record;

/// Shortest time from one probe of a server to the next.
const MIN_PROBE_INTERVAL: Duration = Duration::from_millis(50);

/// An attempt that waits for its first byte; it waits no longer when this is dropped.
#[derive(Debug)]
pub(crate) struct ServerWatch {
    context: Arc<GatewayContext>,
    server: ServerEntry,
    ticket: WaitTicket,
}

impl ServerWatch {
    /// Starts to watch the server of an attempt whose first byte is expected after `expected`.
    pub(crate) fn new(
        context: &Arc<GatewayContext>,
        server: &ServerEntry,
        expected: Duration,
    ) -> Self {
        let now = context.now();
        let ticket = context.liveness().record_sent(&server.id, expected, now);
        Self {
            context: context.clone(),
            server: server.clone(),
            ticket,
        }
    }

    /// Waits until the server is judged lost, and has it probed meanwhile.
    pub(crate) async fn wait_until_lost(&self) {
        let context = &self.context;
        let mut changes = context.liveness_changed.subscribe();
        loop {
            changes.borrow_and_update();
            let now = context.now();
            let step = context
                .liveness()
                .next_step(&self.server.id, self.ticket, now);
            let pause = match step {
                WaitStep::Lost => return,
                WaitStep::Probe => {
                    // The probe goes on for other attempts if this one ends.
                    tokio::spawn(probe_server(context.clone(), self.server.clone()));
                    context.settings.liveness.probe_timeout
                }
                WaitStep::Wait(pause) => pause,
            };
            let _ = tokio::time::timeout(pause, changes.changed()).await;
        }
    }
}

impl Drop for ServerWatch {
    fn drop(&mut self) {
        let mut liveness = self.context.liveness();
        liveness.record_ended(&self.server.id, self.ticket);
    }
}

/// Probes a server until it accepts a connection, is lost, or no attempt waits there any more.
async fn probe_server(context: Arc<GatewayContext>, server: ServerEntry) {
    let timeout = context.settings.liveness.probe_timeout;
    loop {
        context.metrics.increment("liveness_probes_total");
        let started_at = context.now();
        let result = probe_connection(server.address, timeout).await;
        let now = context.now();
        let (goes_on, change) = context.liveness().record_probe(&server.id, result, now);
        apply_change(&context, &server, change);
        if !goes_on {
            return;
        }
        // A connection that fails at once must not be tried without a pause.
        let pause = MIN_PROBE_INTERVAL.saturating_sub(now.since(started_at));
        context.timers.sleep(pause).await;
    }
}

/// Records how a connection to a server ended that an attempt opened.
pub(crate) fn record_connection(
    context: &GatewayContext,
    server: &ServerEntry,
    result: ProbeResult,
) {
    let now = context.now();
    let change = context
        .liveness()
        .record_connection(&server.id, result, now);
    apply_change(context, server, change);
}

/// Records that a byte of a server arrived.
pub(crate) fn record_byte(context: &GatewayContext, server: &ServerEntry) {
    let now = context.now();
    let change = context.liveness().record_byte(&server.id, now);
    apply_change(context, server, change);
}

/// Records evidence that a server is gone, which has it probed if attempts wait there.
pub(crate) fn record_evidence(context: &GatewayContext, server: &str) {
    let now = context.now();
    context.liveness().record_evidence(server, now);
    context.liveness_changed.send_modify(|count| *count += 1);
}

/// Records that the list removed a server, which has it probed if attempts wait there.
pub(crate) fn record_removal(context: &GatewayContext, server: &str) {
    let now = context.now();
    context.liveness().record_removal(server, now);
    context.liveness_changed.send_modify(|count| *count += 1);
}

/// Logs a change, and has the other parts of the host avoid a lost server.
fn apply_change(context: &GatewayContext, server: &ServerEntry, change: Option<LivenessChange>) {
    let millis = |time: Duration| u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
    match change {
        None => return,
        Some(LivenessChange::Lost {
            waiting,
            silent_for,
            failures,
        }) => {
            let now = context.now();
            context.pool.clear(server.address);
            record_unreachable(context, server);
            // It may be cold when it returns.
            context.permits().cold().record_failure(&server.id, now);
            {
                let mut loads = context.loads();
                loads.record_connect_failure(&server.id, now);
                let reach = loads.domain_reach_mut();
                reach.record_unreachable(&server.domain, &server.id, now);
            }
            context.metrics.increment("servers_lost_total");
            let record = GatewayRecord::ServerLost {
                server: server.id.clone(),
                waiting,
                silent_ms: millis(silent_for),
                failures,
            };
            log_record(Level::Warn, &record);
        }
        Some(LivenessChange::Returned(lost_for)) => {
            context.metrics.increment("servers_returned_total");
            let record = GatewayRecord::ServerReturned {
                server: server.id.clone(),
                lost_ms: millis(lost_for),
            };
            log_record(Level::Info, &record);
        }
    }
    context.liveness_changed.send_modify(|count| *count += 1);
}
