//! Requests whose first server was sound and late, and was replaced.

use std::time::Duration;

use crate::attempt_end::AttemptEnd;
use crate::request_trace::RequestTrace;
use crate::soak_record::SoakRecord;

/// Slack for the measurement of time limits.
const LIMIT_SLACK: Duration = Duration::from_millis(100);

/// Counts requests whose first server would have answered in time, and was given up before.
#[derive(Clone, Debug, Default)]
pub(crate) struct LateServers {
    /// Requests with such a server for which another server was asked.
    pub(crate) replaced: usize,
    /// Indices of those of them whose callers got a failure.
    pub(crate) failed: Vec<usize>,
}

impl LateServers {
    /// Counts the requests of a run.
    pub(crate) fn count(record: &SoakRecord) -> Self {
        let mut count = Self::default();
        for (index, trace) in record.traces.iter().enumerate() {
            if record.visits(&trace.id).len() < 2 || !had_late_server(record, trace) {
                continue;
            }
            count.replaced += 1;
            if !trace.is_success() {
                count.failed.push(index);
            }
        }
        count
    }
}

/// Returns whether the first server of a request would have answered it in time. Requests that the caller
/// gave up don't count, nor those beside other faults or stops.
fn had_late_server(record: &SoakRecord, trace: &RequestTrace) -> bool {
    let Some(first) = record.visits(&trace.id).first() else {
        return false;
    };
    let Some(pace) = first
        .pace
        .filter(|pace| pace.failure.is_none() && pace.break_after.is_none())
    else {
        return false;
    };
    let limit = Duration::from_secs_f64(trace.plan.class.limit);
    let has_time = first.at + pace.duration() + LIMIT_SLACK < trace.sent + limit;
    let is_excused = trace.end == AttemptEnd::Left
        || record.was_impaired(trace)
        || record.is_stopping(trace)
        || record.stop_of(&first.server).is_some();
    has_time && !is_excused
}
