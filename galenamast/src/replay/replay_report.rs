//! What a replay shows, and whether it meets the trace's stated outcomes.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::replay::static_mix::{StaticMix, cheapest_mix, cheapest_pooled_mix};
use crate::replay::trace_format::Trace;
use crate::state::{TaskName, TimePoint, VersionKey, WorkspaceName};

/// Greatest latency that is told apart, in milliseconds.
const MAX_LATENCY_MS: u64 = 3_600_000;

/// An answered request of a replay.
#[derive(Clone, Debug, PartialEq)]
pub struct AnswerRecord {
    /// When the request arrived, in milliseconds.
    pub at_ms: u64,
    /// Workspace of the request.
    pub workspace: WorkspaceName,
    /// Task of the request.
    pub task: TaskName,
    /// Version whose answer the caller got.
    pub version: VersionKey,
    /// Quality of the answer.
    pub quality: f64,
    /// Price of all steps, with ratings of a cascade.
    pub cost: u64,
    /// Time until the whole answer.
    pub latency_ms: u64,
}

/// A brake of a replay.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct BrakeRecord {
    /// When the first host braked, in milliseconds.
    pub at_ms: u64,
    /// Version that was braked.
    pub version: VersionKey,
    /// Whether the version had not turned bad.
    pub is_false: bool,
}

/// Raw results of a replay.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ReplayLog {
    /// Answers.
    pub answers: Vec<AnswerRecord>,
    /// Times of attempts on versions after they turned bad, in milliseconds.
    pub exposures: Vec<u64>,
    /// Brakes.
    pub brakes: Vec<BrakeRecord>,
    /// Requests that got no answer.
    pub refused: u64,
    /// Cascades, and those that escalated.
    pub cascades: (u64, u64),
}

/// Figures of a replay.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ReplayReport {
    /// Policy that was replayed.
    pub policy: String,
    /// Answered requests.
    pub answered: u64,
    /// Requests that got no answer.
    pub refused: u64,
    /// Mean quality after the warm-up.
    pub quality: f64,
    /// Least mean quality of a workspace's task above its target, over windows after the warm-up.
    pub worst_margin: f64,
    /// Cost after the warm-up, in micro-units of currency.
    pub cost: f64,
    /// Cost relative to the cheapest static mix in hindsight that is adequate for each task.
    pub cost_ratio: f64,
    /// Cost relative to the cheapest static mix in hindsight whose mean over all tasks is adequate.
    pub pooled_cost_ratio: f64,
    /// 50th percentile of latency, in milliseconds.
    pub p50_ms: u64,
    /// 95th percentile of latency, in milliseconds.
    pub p95_ms: u64,
    /// 99th percentile of latency, in milliseconds.
    pub p99_ms: u64,
    /// Attempts on versions after they turned bad.
    pub exposure: u64,
    /// Brakes.
    pub brakes: Vec<BrakeRecord>,
    /// Cascades.
    pub cascades: u64,
    /// Cascades that escalated.
    pub escalations: u64,
    /// Mean quality above the target in each window after the warm-up.
    pub window_margins: Vec<f64>,
    /// Times of attempts on versions after they turned bad, in milliseconds.
    #[serde(skip)]
    pub exposure_times: Vec<u64>,
}

impl ReplayReport {
    /// Computes the figures of a replay.
    pub fn new(policy: &str, trace: &Trace, log: &ReplayLog) -> Self {
        let header = &trace.header;
        let warm = log
            .answers
            .iter()
            .filter(|answer| answer.at_ms >= header.warm_up_ms);
        let warm: Vec<&AnswerRecord> = warm.collect();
        let mut latencies = Histogram::<u64>::new_with_max(MAX_LATENCY_MS, 3)
            .expect("the bounds of the histogram are valid");
        for answer in &warm {
            latencies.saturating_record(answer.latency_ms);
        }
        let cost = warm.iter().map(|answer| answer.cost as f64).sum();
        let StaticMix { cost: mix_cost, .. } = cheapest_mix(trace);
        let pooled_cost = cheapest_pooled_mix(trace).cost;
        let window_margins = window_margins(trace, &warm);
        let total = |f: fn(&AnswerRecord) -> f64| warm.iter().map(|answer| f(answer)).sum::<f64>();
        Self {
            policy: policy.into(),
            answered: log.answers.len() as u64,
            refused: log.refused,
            quality: total(|answer| answer.quality) / (warm.len() as f64).max(1.0),
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

/// Returns the least margin of a workspace's and task's mean quality over its target, by window.
fn window_margins(trace: &Trace, warm: &[&AnswerRecord]) -> Vec<f64> {
    type TaskSums<'a> = BTreeMap<(&'a WorkspaceName, &'a TaskName), (f64, f64)>;
    let header = &trace.header;
    let mut windows: BTreeMap<u64, TaskSums<'_>> = BTreeMap::new();
    for answer in warm {
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

/// Returns the stated outcomes that a report misses.
pub fn check_outcomes(trace: &Trace, report: &ReplayReport) -> Vec<String> {
    let stated = &trace.header.outcomes;
    let mut missed = Vec::new();
    if stated.quality_in_every_window == Some(true) && report.worst_margin < 0.0 {
        missed.push(format!(
            "quality_in_every_window: worst window is {:.4} below the target",
            -report.worst_margin
        ));
    }
    let false_brakes = report.brakes.iter().filter(|brake| brake.is_false).count() as u64;
    let bounds = [
        ("max_exposure", stated.max_exposure, report.exposure),
        ("max_false_brakes", stated.max_false_brakes, false_brakes),
        ("max_p99_ms", stated.max_p99_ms, report.p99_ms),
        ("max_refused", stated.max_refused, report.refused),
    ];
    for (name, bound, found) in bounds {
        if let Some(bound) = bound.filter(|bound| found > *bound) {
            missed.push(format!("{name}: found {found}, stated {bound}"));
        }
    }
    if let Some(bound) = stated
        .max_cost_ratio
        .filter(|bound| report.cost_ratio > *bound)
    {
        let found = report.cost_ratio;
        missed.push(format!("max_cost_ratio: found {found:.3}, stated {bound}"));
    }
    missed
}

/// Returns the point of virtual time at a number of milliseconds.
pub(crate) const fn virtual_time(ms: u64) -> TimePoint {
    TimePoint::from_millis(ms)
}
