//! The order in which the eligible versions are tried.

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::state::cascade_choice::{CascadeEstimate, estimate_cascade};
use crate::state::route_decision::{ChoiceReason, VersionVerdict};
use crate::state::route_request::RouteRequest;
use crate::state::version_filter::VersionCandidate;
use crate::state::workspace_spec::WorkspaceSpec;

/// Share of requests that explore a version of which little is known, at equal weights.
const EXPLORATION_SHARE: f64 = 0.02;
/// Ratings below which little is known of a version.
const THIN_RATINGS: f64 = 60.0;
/// Shortfall against the target up to which a version is explored.
const EXPLORATION_SHORTFALL: f64 = 0.1;
/// Shortfall against the target up to which a cheaper version is mixed in, at equal weights.
const MIX_SHORTFALL: f64 = 0.25;
/// Quality above the target that a mix aims at.
const MIX_MARGIN: f64 = 0.006;
/// Weight of relative latency against relative price, at equal weights.
const LATENCY_TRADE: f64 = 0.05;

/// A version to try, or a cascade that starts with it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct VersionChoice {
    /// Index of the candidate.
    pub(crate) index: usize,
    /// Why it is tried.
    pub(crate) reason: ChoiceReason,
    /// Escalation and its estimate, for a cascade.
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
        return Some(single(index, ChoiceReason::Pinned));
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
        // Only a version under roll-out is left: it takes what its share grants.
        let (index, _) = eligible().next()?;
        return Some(single(index, ChoiceReason::RolledOut));
    };
    let rolled_out = eligible()
        .find(|(_, candidate)| candidate.baseline.as_ref() == Some(&chosen.report.version));
    if let Some((index, _)) = rolled_out {
        return Some(single(index, ChoiceReason::RolledOut));
    }
    let explored =
        established().find(|(_, candidate)| is_worth_exploring(candidate, chosen, target));
    if let Some((index, _)) = explored {
        let share = EXPLORATION_SHARE / workspace.weights.exposure.max(1.0);
        if generator.random_bool(share) {
            return Some(single(index, ChoiceReason::Explored));
        }
    }
    if cheapest.is_none() {
        return Some(single(index, ChoiceReason::BestAvailable));
    }
    let alone = score(chosen, workspace);
    let cascade = cheapest_cascade(candidates, index, request, workspace, target);
    let mixed = established()
        .filter_map(|(index, candidate)| {
            let mix = mix_with(candidate, chosen, workspace, target)?;
            Some((index, mix))
        })
        .min_by(|(_, left), (_, right)| left.score.total_cmp(&right.score));
    let cascade_score = cascade.map_or(alone, |(score, _)| score);
    if let Some((cheaper, mix)) = mixed.filter(|(_, mix)| mix.score < cascade_score) {
        if generator.random_bool(mix.share) {
            return Some(single(cheaper, ChoiceReason::Mixed));
        }
        return Some(single(index, ChoiceReason::CheapestAdequate));
    }
    let alone = single(index, ChoiceReason::CheapestAdequate);
    Some(cascade.map_or(alone, |(_, choice)| choice))
}

/// Describes the choice of a single version.
fn single(index: usize, reason: ChoiceReason) -> VersionChoice {
    VersionChoice {
        index,
        reason,
        cascade: None,
    }
}

/// Returns the price of a version with its latency weighed in; lower is better.
fn score(candidate: &VersionCandidate<'_>, workspace: &WorkspaceSpec) -> f64 {
    let price = candidate.report.price as f64;
    price * latency_factor(candidate.estimate.latency_micros, workspace)
}

/// Returns the factor by which latency raises a price.
fn latency_factor(latency_micros: f64, workspace: &WorkspaceSpec) -> f64 {
    let weight = workspace.weights.latency / workspace.weights.cost.max(0.01);
    1.0 + LATENCY_TRADE * weight * latency_micros / 1_000_000.0
}

/// A share of requests that a cheaper version takes.
#[derive(Clone, Copy, Debug)]
struct VersionMix {
    /// Share of the cheaper version.
    share: f64,
    /// Price of the mix with latency weighed in.
    score: f64,
}

/// Mixes a cheaper version below the target with the chosen one, if their mean stays above it.
fn mix_with(
    cheaper: &VersionCandidate<'_>,
    chosen: &VersionCandidate<'_>,
    workspace: &WorkspaceSpec,
    target: f64,
) -> Option<VersionMix> {
    let low = cheaper.report.quality_bound;
    let high = chosen.report.quality_bound;
    let goal = target + MIX_MARGIN;
    let shortfall = MIX_SHORTFALL / workspace.weights.exposure.max(1.0);
    let cheaper_score = score(cheaper, workspace);
    let chosen_score = score(chosen, workspace);
    if low >= goal || high <= goal || target - low > shortfall || cheaper_score >= chosen_score {
        return None;
    }
    let share = (high - goal) / (high - low);
    Some(VersionMix {
        share,
        score: share * cheaper_score + (1.0 - share) * chosen_score,
    })
}

/// Returns whether an answer of a cheaper version would tell enough to be worth its risk.
fn is_worth_exploring(
    candidate: &VersionCandidate<'_>,
    chosen: &VersionCandidate<'_>,
    target: f64,
) -> bool {
    candidate.report.price < chosen.report.price
        && candidate.estimate.ratings < THIN_RATINGS
        && candidate.estimate.mean + candidate.estimate.error > target - EXPLORATION_SHORTFALL
}

/// Finds a cascade into the chosen version that is expected to be cheaper than it alone.
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
