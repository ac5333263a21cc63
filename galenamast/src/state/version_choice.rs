//! The choice of the version to try next among the eligible ones.

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::state::cascade_choice::{CascadeEstimate, estimate_cascade};
use crate::state::route_decision::{ChoiceReason, VersionVerdict};
use crate::state::route_request::RouteRequest;
use crate::state::version_filter::VersionCandidate;
use crate::state::workspace_spec::WorkspaceSpec;

/// Fraction of requests that explore a version with few ratings, at equal objective weights.
const EXPLORATION_SHARE: f64 = 0.02;
/// Number of ratings from which a version is no longer explored.
const EXPLORATION_RATINGS: f64 = 60.0;
/// Shortfall against the quality target up to which a version is explored, in units of rating.
const EXPLORATION_SHORTFALL: f64 = 0.1;
/// Relative rise of a version's score per second of latency, at equal objective weights.
const LATENCY_PENALTY: f64 = 0.05;

/// A version to try, or a cascade that starts with it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct VersionChoice {
    /// Index of the candidate to try.
    pub(crate) index: usize,
    /// Why the candidate is tried.
    pub(crate) reason: ChoiceReason,
    /// Index of the escalation candidate and the estimate of the cascade; `None` without a cascade.
    pub(crate) cascade: Option<(usize, CascadeEstimate)>,
}

/// Chooses the version to try next among the candidates that are still eligible.
pub(crate) fn choose_version(
    candidates: &[VersionCandidate<'_>],
    request: &RouteRequest,
    workspace: &WorkspaceSpec,
    pinned: bool,
    generator: &mut ChaCha8Rng,
) -> Option<VersionChoice> {
    let eligible = || {
        let indexed = candidates.iter().enumerate();
        indexed.filter(|(_, candidate)| candidate.report.verdict == VersionVerdict::Outranked)
    };
    if pinned {
        let (index, _) = eligible().next()?;
        return Some(single_version(index, ChoiceReason::Pinned));
    }
    let target = workspace.target_for(&request.task);
    let established = || eligible().filter(|(_, candidate)| candidate.baseline.is_none());
    let adequate = established().filter(|(_, candidate)| candidate.report.quality_bound >= target);
    let cheapest = adequate
        .min_by(|(_, left), (_, right)| score(left, workspace).total_cmp(&score(right, workspace)));
    let best = cheapest.or_else(|| {
        established()
            .max_by(|(_, left), (_, right)| left.report.quality.total_cmp(&right.report.quality))
    });
    let Some((index, chosen)) = best else {
        // Only versions under roll-out are left, and they are eligible only within their share.
        let (index, _) = eligible().next()?;
        return Some(single_version(index, ChoiceReason::RolledOut));
    };
    let rolled_out = eligible()
        .find(|(_, candidate)| candidate.baseline.as_ref() == Some(&chosen.report.version));
    if let Some((index, _)) = rolled_out {
        return Some(single_version(index, ChoiceReason::RolledOut));
    }
    let explored =
        established().find(|(_, candidate)| is_worth_exploring(candidate, chosen, target));
    if let Some((index, _)) = explored {
        let share = EXPLORATION_SHARE / workspace.weights.exposure.max(1.0);
        if generator.random_bool(share) {
            return Some(single_version(index, ChoiceReason::Explored));
        }
    }
    if cheapest.is_none() {
        return Some(single_version(index, ChoiceReason::BestAvailable));
    }
    let chosen_score = score(chosen, workspace);
    let cascade = cheapest_cascade(candidates, index, request, workspace, target);
    // Mixing gives some answers below the target, so the caller must be able to ask again.
    let mixed = established()
        .filter(|_| request.idempotent)
        .filter_map(|(index, candidate)| {
            let mix = plan_mix(candidate, chosen, workspace, target)?;
            Some((index, mix))
        })
        .min_by(|(_, left), (_, right)| left.score.total_cmp(&right.score));
    let best_score = cascade.map_or(chosen_score, |(score, _)| score);
    if let Some((cheaper, mix)) = mixed.filter(|(_, mix)| mix.score < best_score) {
        if generator.random_bool(mix.share) {
            return Some(single_version(cheaper, ChoiceReason::Mixed));
        }
        return Some(single_version(index, ChoiceReason::CheapestAdequate));
    }
    let without_cascade = single_version(index, ChoiceReason::CheapestAdequate);
    Some(cascade.map_or(without_cascade, |(_, choice)| choice))
}

/// Returns the choice of one version without a cascade.
fn single_version(index: usize, reason: ChoiceReason) -> VersionChoice {
    VersionChoice {
        index,
        reason,
        cascade: None,
    }
}

/// Returns the price of a version, raised by its latency; lower is better.
fn score(candidate: &VersionCandidate<'_>, workspace: &WorkspaceSpec) -> f64 {
    let price = candidate.report.price as f64;
    price * latency_factor(candidate.estimate.latency_micros, workspace)
}

/// Returns the factor by which latency raises a price.
fn latency_factor(latency_micros: f64, workspace: &WorkspaceSpec) -> f64 {
    let weight = workspace.weights.latency / workspace.weights.cost.max(0.01);
    1.0 + LATENCY_PENALTY * weight * latency_micros / 1_000_000.0
}

/// A mix of two versions, of which the cheaper one takes a share of the requests.
#[derive(Clone, Copy, Debug)]
struct VersionMix {
    /// Share of requests that the cheaper version takes, from 0 to 1.
    share: f64,
    /// Mean score of the mix; lower is better.
    score: f64,
}

/// Plans to mix a cheaper version below the target with the chosen one above it.
///
/// The share is the greatest at which the mean quality bound stays on target. Returns `None` if the
/// shortfall of the cheaper version is too great or the mix would save nothing.
fn plan_mix(
    cheaper: &VersionCandidate<'_>,
    chosen: &VersionCandidate<'_>,
    workspace: &WorkspaceSpec,
    target: f64,
) -> Option<VersionMix> {
    let low = cheaper.report.quality_bound;
    let high = chosen.report.quality_bound;
    let cheaper_score = score(cheaper, workspace);
    let chosen_score = score(chosen, workspace);
    if low >= target
        || high <= target
        || target - low > workspace.mixing_shortfall
        || cheaper_score >= chosen_score
    {
        return None;
    }
    let share = (high - target) / (high - low);
    Some(VersionMix {
        share,
        score: share * cheaper_score + (1.0 - share) * chosen_score,
    })
}

/// Returns whether a version is cheaper than the chosen one, has few ratings, and may come close
/// enough to the target.
fn is_worth_exploring(
    candidate: &VersionCandidate<'_>,
    chosen: &VersionCandidate<'_>,
    target: f64,
) -> bool {
    candidate.report.price < chosen.report.price
        && candidate.estimate.ratings < EXPLORATION_RATINGS
        && candidate.estimate.mean + candidate.estimate.error > target - EXPLORATION_SHORTFALL
}

/// Finds the cascade into the chosen version with the lowest expected score, if any is below the
/// score of that version alone.
fn cheapest_cascade(
    candidates: &[VersionCandidate<'_>],
    second: usize,
    request: &RouteRequest,
    workspace: &WorkspaceSpec,
    target: f64,
) -> Option<(f64, VersionChoice)> {
    if !workspace.cascades || !request.idempotent || request.streamed {
        return None;
    }
    let chosen = &candidates[second];
    let mut best_score = score(chosen, workspace);
    let mut best = None;
    for (index, candidate) in candidates.iter().enumerate() {
        let takes_work = candidate.report.verdict == VersionVerdict::Outranked;
        let cheaper = candidate.report.price < chosen.report.price;
        if !takes_work || !cheaper || candidate.baseline.is_some() {
            continue;
        }
        let first = (&candidate.estimate, candidate.report.price);
        let last = (&chosen.estimate, chosen.report.price);
        let Some(estimate) = estimate_cascade(first, last, target, request.time_left) else {
            continue;
        };
        let score = estimate.price * latency_factor(estimate.latency_micros, workspace);
        if score < best_score {
            best_score = score;
            let choice = VersionChoice {
                index,
                reason: ChoiceReason::Cascaded,
                cascade: Some((second, estimate)),
            };
            best = Some((score, choice));
        }
    }
    best
}
