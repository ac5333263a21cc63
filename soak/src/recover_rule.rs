//! The rule RECOVER: hosts that are partitioned from all servers serve through the others.

use std::time::Instant;

use crate::attempt_end::AttemptEnd;
use crate::fault_event::FaultKind;
use crate::host_link::HostLink;
use crate::request_trace::RequestTrace;
use crate::rule_break::RuleBreak;
use crate::soak_record::{CONTACT, SoakRecord};

/// Failures that are allowed beside the share of all first tries.
const ALLOWED_FAILURES: usize = 10;
/// First tries of which one may fail.
const TRIES_PER_FAILURE: usize = 50;

/// First tries and how many of them were served.
#[derive(Clone, Copy, Debug, Default)]
struct TryCount {
    sent: usize,
    served: usize,
}

/// Returns the break of RECOVER.
pub(crate) fn check(record: &SoakRecord) -> Option<RuleBreak> {
    let [cut, others] = counts(record);
    let failed = cut.sent - cut.served;
    let allowed = ALLOWED_FAILURES + (cut.sent + others.sent) / TRIES_PER_FAILURE;
    // Less than two thirds as often: 3 * served / sent < 2 * served / sent of the others.
    let is_rare = 3 * cut.served * others.sent < 2 * others.served * cut.sent;
    (is_rare && failed > allowed).then(|| RuleBreak {
        rule: "RECOVER",
        text: describe(record).unwrap_or_default(),
        trace: None,
    })
}

/// Returns the counts in words; `None` if no request counts.
pub(crate) fn describe(record: &SoakRecord) -> Option<String> {
    let [cut, others] = counts(record);
    let text = format!(
        "first tries served at hosts partitioned from all servers: {} of {}, at the others: {} of {}",
        cut.served, cut.sent, others.served, others.sent
    );
    (cut.sent > 0).then_some(text)
}

/// Counts first tries at partitioned hosts and at the others, from `CONTACT` after a partition began. Only
/// hosts in touch count, and no request that its caller gave up.
fn counts(record: &SoakRecord) -> [TryCount; 2] {
    let mut counts = [TryCount::default(); 2];
    for trace in record.traces.iter().filter(|trace| is_first_try(trace)) {
        let partitions = || {
            record
                .hosts()
                .map(|host| partition_of(record, host, trace.sent))
        };
        let is_time = |began: Instant| began + CONTACT <= trace.sent;
        let index = match partition_of(record, trace.host, trace.sent) {
            Some(began) if is_time(began) => 0,
            None if partitions().flatten().any(is_time) => 1,
            _ => continue,
        };
        if is_in_touch(record, trace) {
            counts[index].sent += 1;
            counts[index].served += usize::from(trace.is_success());
        }
    }
    counts
}

/// Returns whether a request was a caller's first and wasn't given up.
fn is_first_try(trace: &RequestTrace) -> bool {
    let is_first = trace.id.starts_with('q') && trace.id.ends_with('0');
    is_first && trace.end != AttemptEnd::Left
}

/// Returns when the partition of a host from all servers began that lasts at a moment.
fn partition_of(record: &SoakRecord, host: usize, at: Instant) -> Option<Instant> {
    let events = record.faults_of(host).filter(|event| event.at <= at);
    let changes = events.filter_map(|event| match event.kind {
        FaultKind::LinkFails(HostLink::Servers, fault) if fault.is_partition() => {
            Some(Some(event.at))
        }
        FaultKind::LinkHeals(HostLink::Servers) => Some(None),
        _ => None,
    });
    changes.last().flatten()
}

/// Returns whether a request's host and the store were without other impairment from `CONTACT` before the
/// request to its end.
fn is_in_touch(record: &SoakRecord, trace: &RequestTrace) -> bool {
    let stopped = record.term_before(trace.host, trace.ended);
    let is_stopped =
        record.is_stopping(trace) || stopped.is_some_and(|at| at + CONTACT > trace.sent);
    let is_disturbed = record.impairments(trace).any(|event| {
        let breaks_touch = match event.kind {
            FaultKind::LinkFails(HostLink::Servers, fault) => !fault.is_partition(),
            // The end of a fault counts with its begin.
            FaultKind::LinkHeals(_) | FaultKind::OwnEnd => false,
            _ => true,
        };
        breaks_touch && event.host.is_none_or(|host| host == trace.host)
    });
    let was_started = record.faults_of(trace.host).any(|event| {
        event.kind == FaultKind::Start && event.at <= trace.ended && event.at + CONTACT > trace.sent
    });
    !is_stopped && !is_disturbed && !was_started
}
