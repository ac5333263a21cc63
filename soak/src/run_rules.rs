//! The rules TWICE, REFUSED, MIXED, ORDER, DRAIN, CONFIG, the ends of processes and their memory.

use std::time::Duration;

use crate::attempt_end::AttemptEnd;
use crate::config_plan::ConfigPlan;
use crate::fault_driver::DRAIN;
use crate::fault_event::FaultKind;
use crate::request_class::RequestKind;
use crate::request_trace::RequestTrace;
use crate::rule_break::RuleBreak;
use crate::server_pool::ServerVisit;
use crate::soak_record::SoakRecord;

/// Longest time for which a server may work on a stream that another one goes on with.
const OVERLAP: Duration = Duration::from_millis(400);
/// Slack for the measurement of arrivals.
const ARRIVAL_SLACK: Duration = Duration::from_millis(20);

/// Returns the breaks of all rules but LOST and BUDGET.
pub(crate) fn check(record: &SoakRecord) -> Vec<RuleBreak> {
    let mut breaks = Vec::new();
    for (index, trace) in record.traces.iter().enumerate() {
        let checks = [
            ("TWICE", check_twice(record, trace)),
            ("REFUSED", check_refused(record, trace)),
            ("MIXED", check_mixed(record, trace)),
            ("ORDER", check_order(trace)),
            ("DRAIN", check_drain(record, trace)),
            ("CONFIG", check_config(record, trace)),
        ];
        breaks.extend(checks.into_iter().filter_map(|(rule, text)| {
            text.map(|text| RuleBreak {
                rule,
                text,
                trace: Some(index),
            })
        }));
    }
    let own_ends = record
        .faults
        .iter()
        .filter(|event| event.kind == FaultKind::OwnEnd);
    breaks.extend(own_ends.map(|event| RuleBreak {
        rule: "ENDS",
        text: format!(
            "host {:?} ended by itself at {:.3} s",
            event.host,
            record.seconds(event.at)
        ),
        trace: None,
    }));
    breaks.extend(check_memory(record));
    breaks
}

/// A host uses more memory than it has.
fn check_memory(record: &SoakRecord) -> impl Iterator<Item = RuleBreak> {
    let peaks = record.peak_memory.iter().enumerate();
    let over = peaks.filter(|(_, peak)| **peak > record.memory_limit);
    over.map(|(host, peak)| RuleBreak {
        rule: "MEMORY",
        text: format!("host {host} used {} MB", peak / 1_000_000),
        trace: None,
    })
}

/// A request that isn't idempotent runs more than once, or a stream goes on at another server while the one
/// before still works on it.
fn check_twice(record: &SoakRecord, trace: &RequestTrace) -> Option<String> {
    let visits = record.visits(&trace.id);
    let runs: Vec<_> = visits.iter().filter(|visit| visit.ran).collect();
    match trace.plan.class.kind {
        RequestKind::Unsafe => (runs.len() > 1).then(|| format!("ran {} times", runs.len())),
        RequestKind::Safe => None,
        RequestKind::Stream if record.was_impaired(trace) => None,
        RequestKind::Stream => runs.windows(2).find_map(|pair| {
            let limit = pair[1].at + OVERLAP;
            let works_on = |visit: &ServerVisit| visit.ended.is_none_or(|ended| ended > limit);
            let overlaps = works_on(pair[0]) && works_on(pair[1]);
            overlaps.then(|| format!("{} and {} work on it", pair[0].server, pair[1].server))
        }),
    }
}

/// A request that isn't idempotent is refused as not run, and has run or runs later.
fn check_refused(record: &SoakRecord, trace: &RequestTrace) -> Option<String> {
    let is_promise = matches!(trace.status, Some(408 | 421 | 429 | 503));
    let has_run = record.visits(&trace.id).iter().any(|visit| visit.ran);
    let is_unsafe = trace.plan.class.kind == RequestKind::Unsafe;
    (is_unsafe && is_promise && has_run).then(|| format!("{:?} though it ran", trace.status))
}

/// A success isn't the server's whole response to this request, or other bytes arrive.
fn check_mixed(record: &SoakRecord, trace: &RequestTrace) -> Option<String> {
    if trace.surplus > 0 {
        return Some(format!("{} bytes after the response", trace.surplus));
    }
    if trace.end == AttemptEnd::NoResponse {
        return Some("bytes that are no response".to_owned());
    }
    if !trace.is_success() {
        return None;
    }
    let signature = trace.header("x-response-signature");
    let signed_by = |server: &str| signature == format!("{server}.{}", trace.id);
    let visits = record.visits(&trace.id);
    let is_own = visits
        .iter()
        .any(|visit| visit.ran && signed_by(&visit.server));
    if !is_own {
        return Some(format!(
            "signature {signature:?} is of no run of the request"
        ));
    }
    let is_whole = trace.plan.class.is_stream() || trace.body == b"whole answer";
    (!is_whole).then(|| format!("a body of {} bytes isn't the server's", trace.body.len()))
}

/// A piece is missing, comes twice or out of order, or a stream ends as complete before its last.
fn check_order(trace: &RequestTrace) -> Option<String> {
    if !trace.plan.class.is_stream() || trace.status != Some(200) {
        return None;
    }
    let ids = trace.event_ids();
    let last = ids.len() as u64;
    if !ids.iter().copied().eq(1..=last) {
        return Some(format!("events {ids:?}"));
    }
    let events = trace.plan.class.events;
    let is_short = trace.is_success() && last != events;
    (is_short).then(|| format!("complete after {last} of {events} events"))
}

/// A request reaches a server later than `drain_ms` after its leaving was acknowledged.
fn check_drain(record: &SoakRecord, trace: &RequestTrace) -> Option<String> {
    if record.was_impaired(trace) {
        return None;
    }
    record.visits(&trace.id).iter().find_map(|visit| {
        let leaves = record.faults.iter().find(|event| match &event.kind {
            FaultKind::ServerDrains(id) | FaultKind::ServerRemoved(id) => *id == visit.server,
            _ => false,
        });
        let late = visit.at.checked_duration_since(leaves?.at)?;
        (visit.ran && late > DRAIN + ARRIVAL_SLACK).then(|| {
            let late = late.as_secs_f64();
            format!(
                "reaches {} {late:.2} s after it began to leave",
                visit.server
            )
        })
    })
}

/// A request sent later than `configuration_ms` after the ack of a version is handled as only an
/// older version allows.
fn check_config(record: &SoakRecord, trace: &RequestTrace) -> Option<String> {
    if trace.end != AttemptEnd::Answered || record.was_impaired(trace) {
        return None;
    }
    let plans: Vec<_> = record.plans_in_force(trace).collect();
    let class = trace.plan.class;
    let is_there =
        |plan: &&ConfigPlan| plan.route(class).is_some() && plan.keys.contains_key(trace.plan.key);
    let (is_allowed, is_denied) = (plans.iter().any(is_there), !plans.iter().all(is_there));
    let visits = record.visits(&trace.id);
    let old = visits
        .iter()
        .find(|visit| visit.ran && !plans.iter().any(|plan| plan.allows(class, &visit.service)));
    let has_run = visits.iter().any(|visit| visit.ran);
    match trace.status {
        Some(status @ (401 | 403 | 404)) if !is_denied => Some(format!("denied with {status}")),
        _ if has_run && !is_allowed => Some("ran with a route or key that was removed".to_owned()),
        _ => old.map(|visit| format!("ran at {} of the old service", visit.server)),
    }
}
