//! Shares crashes of servers, and what is refused for them, with the other hosts.

use std::sync::Arc;
use std::time::Duration;

use log::Level;
use rand::Rng;

use crate::coordination::crashes::CrashVerdict;
use crate::protocol::{GatewayRecord, PeerMessage};
use crate::state::{CrashReport, CrashSuspect, PartReport, RequestReport};
use crate::transport::gateway_context::GatewayContext;
use crate::transport::record_log::log_record;
use crate::transport::server_watch::record_evidence;

/// Interval at which a host reports the parts that it refuses and the requests that it suspects.
pub(crate) const REFUSAL_REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Mean number of hosts that report that a suspect part was answered, where more could.
const ANSWER_REPORTERS: f64 = 12.0;

/// Records a crash that this host saw, and reports it; returns the crashes that are held against the
/// request.
pub(crate) fn record_crash(
    context: &GatewayContext,
    server: &Arc<str>,
    suspect: &CrashSuspect,
) -> usize {
    let now = context.now();
    let verdict = context.crashes().record_crash(server, suspect, now);
    context.send_to_peers(PeerMessage::Crash(CrashReport {
        server: server.clone(),
        suspect: suspect.clone(),
    }));
    let crashes = verdict.crashes;
    apply_verdict(context, verdict, "crash");
    crashes
}

/// Records a crash that another host saw.
pub(crate) fn apply_crash_report(context: &GatewayContext, report: &CrashReport) {
    let now = context.now();
    context.permits().cold().record_failure(&report.server, now);
    record_evidence(context, &report.server);
    let verdict = context.crashes().record_report(report, now);
    apply_verdict(context, verdict, "host");
}

/// Records that a server answered a request of this host.
pub(crate) fn record_answer(context: &GatewayContext, suspect: &CrashSuspect) {
    let now = context.now();
    let verdict = context.crashes().record_answer(suspect, now);
    apply_verdict(context, verdict, "answer");
}

/// Records parts that another host saw answered.
pub(crate) fn apply_answer_reports(context: &GatewayContext, reports: &[PartReport]) {
    let now = context.now();
    let verdict = context.crashes().record_answer_reports(reports, now);
    apply_verdict(context, verdict, "host");
}

/// Records parts that another host refuses.
pub(crate) fn apply_refusal_reports(context: &GatewayContext, reports: &[PartReport]) {
    let now = context.now();
    let verdict = context.crashes().record_refusal_reports(reports, now);
    apply_verdict(context, verdict, "host");
}

/// Records crashes that another host holds against requests.
pub(crate) fn apply_request_reports(context: &GatewayContext, reports: &[RequestReport]) {
    let now = context.now();
    if context.crashes().record_request_reports(reports, now) > 0 {
        context.metrics.increment("crash_reports_learned_total");
    }
}

/// Logs the parts that are refused from now on or no longer, and reports those that were answered.
fn apply_verdict(context: &GatewayContext, verdict: CrashVerdict, source: &'static str) {
    for part in &verdict.refused {
        context.metrics.increment("parts_refused_total");
        log_part(context, *part, true, source);
    }
    for part in &verdict.released {
        context.metrics.increment("parts_released_total");
        log_part(context, *part, false, source);
    }
    if !verdict.refused.is_empty() {
        context.parts_refused.send_modify(|count| *count += 1);
    }
    if verdict.answered.is_empty() {
        return;
    }
    let hosts = context.peers().len().max(1) as f64;
    let is_chosen = rand::rng().random::<f64>() < ANSWER_REPORTERS / hosts;
    if is_chosen || !verdict.released.is_empty() {
        context.send_to_peers(PeerMessage::AnsweredParts(verdict.answered));
    }
}

/// Logs whether a part is refused from now on.
fn log_part(context: &GatewayContext, part: u64, refused: bool, source: &'static str) {
    let record = GatewayRecord::PartChanged {
        part: format!("{part:x}"),
        refused,
        crashes: context.crashes().crashes_of(part),
        source,
    };
    log_record(Level::Warn, &record);
}
