//! Cheapest static mix of versions that meets the quality targets, computed in hindsight.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::replay::trace_format::{EventKind, Trace, TraceRequest};
use crate::state::{ConfigImage, TaskName, VersionKey, VersionStage, WorkspaceName};

/// Cost and quality of a static mix of versions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StaticMix {
    /// Price of all answers, in micro-units of currency.
    pub cost: f64,
    /// Mean quality of the answers, from 0 to 1.
    pub quality: f64,
}

/// Totals of a version over the requests of a task.
#[derive(Clone, Copy, Debug, Default)]
struct VersionTotals {
    count: f64,
    quality: f64,
    cost: f64,
}

/// Totals of the versions by workspace and, unless tasks are pooled, by task.
type GroupTotals = BTreeMap<(WorkspaceName, Option<TaskName>), BTreeMap<VersionKey, VersionTotals>>;

/// Computes the cheapest mix with fixed shares for each workspace and task.
///
/// The shares are chosen with knowledge of all answers after the warm-up, such that the mean
/// quality of each task meets the workspace's target for it.
pub fn cheapest_mix(trace: &Trace) -> StaticMix {
    mix_groups(trace, true)
}

/// Computes the cheapest mix with fixed shares for each workspace, regardless of the task.
///
/// Only the mean quality over all tasks meets the workspace's target. Single tasks may miss theirs.
pub fn cheapest_pooled_mix(trace: &Trace) -> StaticMix {
    mix_groups(trace, false)
}

/// Computes the cheapest mix of each group of requests and adds them up.
fn mix_groups(trace: &Trace, by_task: bool) -> StaticMix {
    let image = &trace.header.image;
    let mut groups = GroupTotals::new();
    for event in &trace.events {
        let EventKind::Request(request) = &event.kind else {
            continue;
        };
        if event.at_ms < trace.header.warm_up_ms {
            continue;
        }
        let task = by_task.then(|| request.task.clone());
        let group = groups.entry((request.workspace.clone(), task));
        add_request(group.or_default(), request, image);
    }
    let mut mix = StaticMix::default();
    let mut count = 0.0;
    for ((workspace, task), versions) in &groups {
        let target = image.workspaces.get(workspace).map_or(0.0, |spec| {
            task.as_ref()
                .map_or(spec.quality_target, |task| spec.target_for(task))
        });
        let totals: Vec<VersionTotals> = versions.values().copied().collect();
        let best = mix_of(&totals, target);
        mix.cost += best.cost;
        mix.quality += best.quality;
        count += totals.first().map_or(0.0, |total| total.count);
    }
    mix.quality /= f64::max(count, 1.0);
    mix
}

/// Adds the answers that the established versions would give to a request.
fn add_request(
    group: &mut BTreeMap<VersionKey, VersionTotals>,
    request: &TraceRequest,
    image: &ConfigImage,
) {
    for (name, answer) in &request.answers {
        let Some((model, version)) = name.split_once('@') else {
            continue;
        };
        let key = VersionKey::new(model, version);
        let Some(spec) = image.version(&key) else {
            continue;
        };
        if spec.stage != VersionStage::Established {
            continue;
        }
        let price = spec.price_of(
            u64::from(request.prompt_tokens),
            u64::from(request.output_tokens),
        );
        let totals = group.entry(key).or_default();
        totals.count += 1.0;
        totals.quality += answer.quality;
        totals.cost += price as f64;
    }
}

/// Finds the cheapest mix of at most two versions whose mean quality meets the target.
///
/// If there is none, the version with the highest quality is returned.
fn mix_of(totals: &[VersionTotals], target: f64) -> VersionTotals {
    let mut best: Option<VersionTotals> = None;
    for low in totals {
        for high in totals {
            let gap = target * low.count - low.quality;
            let share = if gap <= 0.0 {
                0.0
            } else {
                gap / (high.quality - low.quality)
            };
            if !(0.0..=1.0).contains(&share) {
                continue;
            }
            let mixed = VersionTotals {
                count: low.count,
                quality: low.quality + share * (high.quality - low.quality),
                cost: low.cost + share * (high.cost - low.cost),
            };
            if best.is_none_or(|best| mixed.cost < best.cost) {
                best = Some(mixed);
            }
        }
    }
    let highest = || {
        totals
            .iter()
            .copied()
            .max_by(|a, b| a.quality.total_cmp(&b.quality))
    };
    best.or_else(highest).unwrap_or_default()
}
