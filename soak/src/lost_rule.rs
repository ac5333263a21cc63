//! The rule LOST: requests around planned work end with a complete response.

use std::time::{Duration, Instant};

use crate::fault_driver::GRACE;
use crate::fault_event::FaultKind;
use crate::request_trace::RequestTrace;
use crate::rule_break::RuleBreak;
use crate::soak_record::SoakRecord;

/// Time after the last byte within which a connection may end.
const LOSS_SLACK: Duration = Duration::from_millis(200);
/// Time after a change within which its effects count.
pub(crate) const CONFIGURATION: Duration = Duration::from_secs(2);
/// Time after SIGTERM until which work that goes on until the last sixth of `GRACE` is excused.
const LATE_SENT: Duration = Duration::from_secs(3);
/// Slack for the measurement of time limits.
const LIMIT_SLACK: Duration = Duration::from_millis(50);
/// Cuts on kept connections that are allowed to machines in touch.
const ALLOWED_CUTS: usize = 3;

/// The planned work beside which a request was cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PlannedWork {
    Term,
    Hangup,
    Configuration,
}

/// Returns the breaks of LOST.
pub(crate) fn check(record: &SoakRecord) -> Vec<RuleBreak> {
    let mut breaks = Vec::new();
    let mut kept_cuts = Vec::new();
    let mut config_cuts = Vec::new();
    for (index, trace) in record.traces.iter().enumerate() {
        if !is_countable(record, trace) || record.was_impaired(trace) {
            continue;
        }
        let was_passed_on = !record.visits(&trace.id).is_empty();
        let is_sound = record.visits(&trace.id).iter().any(|visit| visit.ran);
        let has_answer = trace.status.is_some();
        if trace.was_kept && is_sound && !has_answer && !is_stopped(record, trace) {
            kept_cuts.push(index);
        }
        let Some(written) = trace.written else {
            continue;
        };
        let is_late = trace.ended.duration_since(written) > LOSS_SLACK;
        if !was_passed_on && !is_late {
            continue;
        }
        match planned_work(record, trace) {
            Some(PlannedWork::Configuration) => config_cuts.push(index),
            Some(work) => breaks.push(RuleBreak {
                rule: "LOST",
                text: format!("{work:?}: {}", describe(record, trace)),
                trace: Some(index),
            }),
            None => {}
        }
    }
    if kept_cuts.len() > ALLOWED_CUTS {
        breaks.extend(kept_cuts.iter().map(|index| RuleBreak {
            rule: "LOST",
            text: format!(
                "kept connection: {}",
                describe(record, &record.traces[*index])
            ),
            trace: Some(*index),
        }));
    }
    for index in config_cuts {
        let trace = &record.traces[index];
        let has_time = trace.lasted().as_secs_f64() < trace.plan.class.limit * 0.7;
        if has_time && cuts_more_beside_changes(record, trace.host) {
            breaks.push(RuleBreak {
                rule: "LOST",
                text: format!("Configuration: {}", describe(record, trace)),
                trace: Some(index),
            });
        }
    }
    breaks
}

/// Returns whether a request was cut and none of its own circumstances excuses that.
pub(crate) fn is_countable(record: &SoakRecord, trace: &RequestTrace) -> bool {
    trace.end.is_cut() && !is_excused(record, trace)
}

/// Returns the cause in words: how the request ended, how far it got, and whether the host stopped.
pub(crate) fn describe(record: &SoakRecord, trace: &RequestTrace) -> String {
    let visits = record.visits(&trace.id);
    let reached = if visits.iter().any(|visit| visit.broke_off) {
        "the server broke off"
    } else if visits.iter().any(|visit| visit.ran) {
        "ran"
    } else if visits.is_empty() {
        "not passed on"
    } else {
        "rejected by servers"
    };
    let sent = if trace.written.is_some() {
        "sent whole"
    } else {
        "not sent whole"
    };
    let phase = match record.term_before(trace.host, trace.ended) {
        Some(term) if record.is_stopping(trace) => {
            if trace.sent < term {
                "sent before SIGTERM"
            } else if trace.sent <= term + LATE_SENT {
                "sent up to 3 s after SIGTERM"
            } else {
                "sent over 3 s after SIGTERM"
            }
        }
        _ if record.was_impaired(trace) => "beside an unplanned fault",
        _ => "host not stopping",
    };
    let connection = if trace.was_kept { "kept" } else { "new" };
    format!(
        "{} | {sent} | {reached} | {phase} | {connection}",
        trace.end.words()
    )
}

/// Returns whether SIGTERM was sent to the host while the request was open or shortly before.
fn is_stopped(record: &SoakRecord, trace: &RequestTrace) -> bool {
    let term = record.term_before(trace.host, trace.ended);
    term.is_some_and(|term| trace.sent <= term + GRACE + Duration::from_secs(1))
}

/// Returns whether the rule doesn't count a cut.
fn is_excused(record: &SoakRecord, trace: &RequestTrace) -> bool {
    let limit = Duration::from_secs_f64(trace.plan.class.limit);
    let late_work = record.term_before(trace.host, trace.ended).map(|term| {
        let is_early = trace.sent <= term + LATE_SENT;
        (is_early, term + GRACE - GRACE / 6)
    });
    let at_work = |from: Instant, ended: Option<Instant>| ended.is_none_or(|ended| ended >= from);
    let visits = record.visits(&trace.id);
    let route_limits = record
        .plans_in_force(trace)
        .filter_map(|plan| plan.route(trace.plan.class));
    let route_limit = route_limits
        .map(|route| Duration::from_millis(route.timeout_ms))
        .min();
    trace.lasted() + LIMIT_SLACK >= limit.min(route_limit.unwrap_or(limit))
        || visits.iter().any(|visit| {
            let stopped = record.stop_of(&visit.server);
            let was_stopped = visit.was_cancelled
                && stopped.is_some_and(|at| visit.ended.is_some_and(|ended| ended >= at));
            let works_late = late_work.is_some_and(|(is_early, from)| {
                is_early && visit.ran && at_work(from, visit.ended)
            });
            visit.broke_off || was_stopped || works_late
        })
}

/// Returns the planned work beside which a request was cut.
fn planned_work(record: &SoakRecord, trace: &RequestTrace) -> Option<PlannedWork> {
    let term = record.term_before(trace.host, trace.ended);
    if term.is_some_and(|term| trace.ended <= term + GRACE + Duration::from_secs(1)) {
        return Some(PlannedWork::Term);
    }
    let hangup = record.faults_of(trace.host).any(|event| {
        event.kind == FaultKind::Hangup
            && trace.sent <= event.at + CONFIGURATION
            && trace.ended >= event.at
            && trace.ended <= event.at + Duration::from_secs(30)
    });
    if hangup {
        return Some(PlannedWork::Hangup);
    }
    is_beside_change(record, trace.ended).then_some(PlannedWork::Configuration)
}

/// Returns whether a configuration had been written shortly before a moment.
fn is_beside_change(record: &SoakRecord, at: Instant) -> bool {
    record.faults.iter().any(|event| {
        matches!(event.kind, FaultKind::Configuration(_))
            && event.at <= at
            && at <= event.at + CONFIGURATION + Duration::from_secs(1)
    })
}

/// Returns whether a host cuts requests over three times as often beside changes as at other times.
fn cuts_more_beside_changes(record: &SoakRecord, host: usize) -> bool {
    let of_host = record.traces.iter().filter(|trace| trace.host == host);
    let (mut beside, mut apart) = ([0.0; 2], [0.0; 2]);
    for trace in of_host {
        let counts = if is_beside_change(record, trace.ended) {
            &mut beside
        } else {
            &mut apart
        };
        counts[0] += 1.0;
        counts[1] += f64::from(u8::from(trace.end.is_cut()));
    }
    beside[1] * f64::max(apart[0], 1.0) > 3.0 * apart[1] * f64::max(beside[0], 1.0)
}
