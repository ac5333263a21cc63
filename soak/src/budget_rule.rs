//! The rule BUDGET: attempts of a request and repeats of a service.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use crate::platform_config::attempts;
use crate::request_trace::RequestTrace;
use crate::rule_break::RuleBreak;
use crate::soak_record::SoakRecord;

/// Repeats that are allowed per request.
const RATIO: f64 = 0.9;
/// Repeats that are allowed beside these.
const SLACK: f64 = 58.0;
/// Length of the window in which repeats are counted.
const WINDOW: Duration = Duration::from_secs(10);
/// Number of requests that may run on more servers than their route's attempts.
const ALLOWED_EXCESS: usize = 3;

/// Returns the breaks of BUDGET.
pub(crate) fn check(record: &SoakRecord) -> Vec<RuleBreak> {
    let mut breaks = check_attempts(record);
    for is_stream in [false, true] {
        breaks.extend(check_repeats(record, is_stream));
    }
    breaks
}

/// Returns the requests that ran on more servers than their route allows, if there are too many.
fn check_attempts(record: &SoakRecord) -> Vec<RuleBreak> {
    let numbered = record.traces.iter().enumerate();
    let excess: Vec<_> = numbered
        .filter_map(|(index, trace)| {
            let runs = servers_that_ran(record, trace);
            (runs > attempts(trace.plan.class)).then(|| RuleBreak {
                rule: "BUDGET",
                text: format!("ran on {runs} servers"),
                trace: Some(index),
            })
        })
        .collect();
    if excess.len() > ALLOWED_EXCESS {
        excess
    } else {
        Vec::new()
    }
}

/// Returns the number of servers that ran a request; those that ended meanwhile don't count.
fn servers_that_ran(record: &SoakRecord, trace: &RequestTrace) -> usize {
    let visits = record.visits(&trace.id).iter();
    let counted = visits.filter(|visit| {
        let stopped = record.stop_of(&visit.server);
        visit.ran && !visit.broke_off && stopped.is_none_or(|at| at > trace.ended)
    });
    let servers: BTreeSet<&str> = counted.map(|visit| visit.server.as_str()).collect();
    servers.len()
}

/// Returns the window of a service with too many repeats.
fn check_repeats(record: &SoakRecord, is_stream: bool) -> Option<RuleBreak> {
    let of_service = record
        .traces
        .iter()
        .filter(|trace| trace.plan.class.is_stream() == is_stream);
    let (mut requests, mut repeats) = (Vec::new(), Vec::new());
    for trace in of_service {
        requests.push(trace.sent);
        let arrivals = record.visits(&trace.id).iter().skip(1);
        repeats.extend(arrivals.map(|visit| visit.at));
    }
    requests.sort();
    repeats.sort();
    let count = |times: &[Instant], after: Instant, until: Instant| {
        times.partition_point(|at| *at <= until) - times.partition_point(|at| *at <= after)
    };
    repeats.iter().find_map(|end| {
        let start = end.checked_sub(WINDOW)?;
        let found = count(&repeats, start, *end);
        // The window, the one before it and the one half a window before it.
        let shifts = [Duration::ZERO, WINDOW / 2, WINDOW];
        let most = shifts
            .iter()
            .filter_map(|shift| {
                let start = start.checked_sub(*shift)?;
                Some(count(&requests, start, *end - *shift))
            })
            .max()?;
        let allowed = RATIO * most as f64 + SLACK;
        (found as f64 > allowed).then(|| RuleBreak {
            rule: "BUDGET",
            text: format!(
                "{found} repeats where {allowed:.0} are allowed, in the window that ends at {:.3} s",
                record.seconds(*end)
            ),
            trace: None,
        })
    })
}
