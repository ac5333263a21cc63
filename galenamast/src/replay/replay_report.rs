//! Report of a replay, and the check of the outcomes that the trace expects.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::replay::static_mix::{StaticMix, cheapest_mix, cheapest_pooled_mix};
use crate::replay::trace_format::Trace;
use crate::state::{TaskName, TimePoint, VersionKey, WorkspaceName};

/// Largest latency that the histogram distinguishes, in milliseconds.
const MAX_LATENCY_MS: u64 = 3_600_000;

/// An answered request.
#[derive(Clone, Debug, PartialEq)]
pub struct AnswerRecord {
    /// Time at which the request arrived, in milliseconds from the start of the trace.
    pub at_ms: u64,
    /// Workspace of the request.
    pub workspace: WorkspaceName,
    /// Task of the request.
    pub task: TaskName,
    /// Version whose answer the caller received.
    pub version: VersionKey,
    /// Quality of the answer, from 0 to 1.
    pub quality: f64,
    /// Price of all attempts and of the ratings of a cascade, in micro-units of currency.
    pub cost: u64,
    /// Time until the whole answer, in milliseconds.
    pub latency_ms: u64,
}

/// First brake on a version.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct BrakeRecord {
    /// Time of the brake, in milliseconds from the start of the trace.
    pub at_ms: u64,
    /// The braked version.
    pub version: VersionKey,
    /// Whether the version had not turned bad.
    pub is_false: bool,
}

/// Raw results of a replay.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ReplayLog {
    /// Answered requests, in the order of completion.
    pub answers: Vec<AnswerRecord>,
    /// Times of attempts on versions after they turned bad, in milliseconds.
    pub exposures: Vec<u64>,
    /// First brake on each version.
    pub brakes: Vec<BrakeRecord>,
    /// Number of requests without an answer.
    pub refused: u64,
    /// Number of cascades, and number of those that escalated.
    pub cascades: (u64, u64),
}

/// Results of a replay.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ReplayReport {
    /// Name of the policy on the command line.
    pub policy: String,
    /// Number of answered requests.
    pub answered: u64,
    /// Number of requests without an answer.
    pub refused: u64,
    /// Mean quality after the warm-up, from 0 to 1.
    pub quality: f64,
    /// Least of `window_margins`; negative if a target was missed.
    pub worst_margin: f64,
    /// Cost after the warm-up, in micro-units of currency.
    pub cost: f64,
    /// Cost relative to the cheapest static mix, chosen in hindsight, that meets the target of each
    /// task.
    pub cost_ratio: f64,
    /// Cost relative to the cheapest static mix, chosen in hindsight, that meets the target on
    /// average over all tasks.
    pub pooled_cost_ratio: f64,
    /// 50th percentile of latency after the warm-up, in milliseconds.
    pub p50_ms: u64,
    /// 95th percentile of latency after the warm-up, in milliseconds.
    pub p95_ms: u64,
    /// 99th percentile of latency after the warm-up, in milliseconds.
    pub p99_ms: u64,
    /// Number of attempts on versions after they turned bad.
    pub exposure: u64,
    /// First brake on each version.
    pub brakes: Vec<BrakeRecord>,
    /// Number of cascades.
    pub cascades: u64,
    /// Number of cascades that escalated.
    pub escalations: u64,
    /// Least margin in each window after the warm-up: mean quality of a workspace's task minus its
    /// target.
    pub window_margins: Vec<f64>,
    /// Times of attempts on versions after they turned bad, in milliseconds.
    #[serde(skip)]
    pub exposure_times: Vec<u64>,
}

impl ReplayReport {
    /// Computes the report of a replay from its log.
    pub fn new(policy: &str, trace: &Trace, log: &ReplayLog) -> Self {
        let header = &trace.header;
        let measured = log
            .answers
            .iter()
            .filter(|answer| answer.at_ms >= header.warm_up_ms);
        let measured: Vec<&AnswerRecord> = measured.collect();
        let mut latencies = Histogram::<u64>::new_with_max(MAX_LATENCY_MS, 3)
            .expect("the bounds of the histogram are valid");
        for answer in &measured {
            latencies.saturating_record(answer.latency_ms);
        }
        let cost = measured.iter().map(|answer| answer.cost as f64).sum();
        let StaticMix { cost: mix_cost, .. } = cheapest_mix(trace);
        let pooled_cost = cheapest_pooled_mix(trace).cost;
        let window_margins = window_margins(trace, &measured);
        let total =
            |f: fn(&AnswerRecord) -> f64| measured.iter().map(|answer| f(answer)).sum::<f64>();
        Self {
            policy: policy.into(),
            answered: log.answers.len() as u64,
            refused: log.refused,
            quality: total(|answer| answer.quality) / (measured.len() as f64).max(1.0),
            worst_margin: window_margins.iter().copied().fold(f64::INFINITY, f64::min),
            cost,
            cost_ratio: cost / mix_cost.max(1.0),
            pooled_cost_ratio: cost / pooled_cost.max(1.0),
            p50_ms: latencies.value_at_quantile(0.5),
            p95_ms: latencies.value_at_quantile(0.95),
            p99_ms: latencies.value_at_quantile(0.99),
            exposure: log.exposures.len() as u64,
            brakes: log.brakes.clone(),
            cascades: log.cascades.0,
            escalations: log.cascades.1,
            window_margins,
            exposure_times: log.exposures.clone(),
        }
    }
}

/// Returns, for each window, the least margin of a workspace's task: its mean quality minus its
/// target.
fn window_margins(trace: &Trace, answers: &[&AnswerRecord]) -> Vec<f64> {
    type TaskSums<'a> = BTreeMap<(&'a WorkspaceName, &'a TaskName), (f64, f64)>;
    let header = &trace.header;
    let mut windows: BTreeMap<u64, TaskSums<'_>> = BTreeMap::new();
    for answer in answers {
        let window = windows.entry(answer.at_ms / header.window_ms).or_default();
        let sums = window.entry((&answer.workspace, &answer.task)).or_default();
        sums.0 += 1.0;
        sums.1 += answer.quality;
    }
    let margin = |((workspace, task), sums): (&(&WorkspaceName, &TaskName), &(f64, f64))| {
        let spec = header.image.workspaces.get(*workspace);
        sums.1 / sums.0 - spec.map_or(0.0, |spec| spec.target_for(task))
    };
    let windows = windows.values();
    windows
        .map(|window| window.iter().map(margin).fold(f64::INFINITY, f64::min))
        .collect()
}

/// Describes the expected outcomes of the trace that a report misses; empty if it meets all.
pub fn check_outcomes(trace: &Trace, report: &ReplayReport) -> Vec<String> {
    let expected = &trace.header.outcomes;
    let mut missed = Vec::new();
    if expected.quality_in_every_window == Some(true) && report.worst_margin < 0.0 {
        missed.push(format!(
            "quality_in_every_window: worst window is {:.4} below the target",
            -report.worst_margin
        ));
    }
    let false_brakes = report.brakes.iter().filter(|brake| brake.is_false).count() as u64;
    let bounds = [
        ("max_exposure", expected.max_exposure, report.exposure),
        ("max_false_brakes", expected.max_false_brakes, false_brakes),
        ("max_p99_ms", expected.max_p99_ms, report.p99_ms),
        ("max_refused", expected.max_refused, report.refused),
    ];
    for (name, bound, found) in bounds {
        if let Some(bound) = bound.filter(|bound| found > *bound) {
            missed.push(format!("{name}: found {found}, expected at most {bound}"));
        }
    }
    if let Some(bound) = expected
        .max_cost_ratio
        .filter(|bound| report.cost_ratio > *bound)
    {
        let found = report.cost_ratio;
        missed.push(format!(
            "max_cost_ratio: found {found:.3}, expected at most {bound}"
        ));
    }
    missed
}

/// Converts milliseconds from the start of the trace to a point in virtual time.
pub(crate) const fn virtual_time(ms: u64) -> TimePoint {
    TimePoint::from_millis(ms)
}
