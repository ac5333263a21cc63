//! Decides which versions are eligible for a request.

use crate::state::config_image::ConfigImage;
use crate::state::decision_inputs::DecisionInputs;
use crate::state::model_spec::{VersionSpec, VersionStage};
use crate::state::quality_digest::LengthBucket;
use crate::state::quality_estimate::QualityEstimate;
use crate::state::rollout_spec::RolloutPhase;
use crate::state::route_decision::{VersionReport, VersionVerdict};
use crate::state::route_request::RouteRequest;
use crate::state::server_choice::mix_hash;
use crate::state::version_key::VersionKey;
use crate::state::workspace_spec::{ObjectiveWeights, WithdrawnPolicy, WorkspaceSpec};

/// Standard errors that a quality bound lies below the mean, at equal objective weights.
const CONFIDENCE_Z: f64 = 1.0;
/// Maximum roll-out share of a version with some evidence against it, in thousandths.
const MAX_SUSPECT_SHARE: u32 = 50;
/// Salt that separates the random draw for a roll-out's share from other uses of the seed.
const SHARE_SALT: u64 = 0x7368_6172_6573_616c;

/// A version that the workspace may use, with its estimates and verdict.
#[derive(Clone, Debug)]
pub(crate) struct VersionCandidate<'a> {
    /// Configuration of the version.
    pub(crate) spec: &'a VersionSpec,
    /// Estimate of the version's quality and latency.
    pub(crate) estimate: QualityEstimate,
    /// Version that it is compared with, if it is under roll-out.
    pub(crate) baseline: Option<VersionKey>,
    /// Verdict and estimates that the decision reports.
    pub(crate) report: VersionReport,
}

/// Returns how many standard errors the quality bound lies below the mean.
///
/// A lower relative weight of exposure brings the bound closer to the mean.
pub(crate) fn confidence_z(weights: &ObjectiveWeights) -> f64 {
    let mean = (weights.cost + weights.latency + weights.exposure) / 3.0;
    if mean <= 0.0 {
        return CONFIDENCE_Z;
    }
    CONFIDENCE_Z * (weights.exposure / mean).clamp(0.85, 1.0)
}

/// Lists the versions that the workspace may use for the request.
pub(crate) fn allowed_versions(
    request: &RouteRequest,
    workspace: &WorkspaceSpec,
) -> Vec<VersionKey> {
    let mut keys = Vec::new();
    for (model, versions) in &workspace.allowed {
        if request.model.as_ref().is_some_and(|asked| asked != model) {
            continue;
        }
        for version in versions {
            keys.push(VersionKey {
                model: model.clone(),
                version: version.clone(),
            });
        }
    }
    keys
}

/// Returns whether the request's session stays bound to its version.
///
/// Under `WithdrawnPolicy::Move` a session is released once its version takes no new work or is no
/// longer allowed to the workspace.
pub(crate) fn keeps_pin(inputs: &DecisionInputs<'_>) -> bool {
    let Some(pinned) = &inputs.request.pinned else {
        return false;
    };
    if inputs.workspace.withdrawn_session == WithdrawnPolicy::Refuse {
        return true;
    }
    let Some(spec) = inputs.image.version(pinned) else {
        return false;
    };
    inputs.workspace.allows(pinned) && check_health(pinned, spec, inputs).is_none()
}

/// Evaluates a version for the request.
///
/// A candidate with the verdict `Outranked` is eligible. Returns the report as an error if the
/// configuration does not contain the version.
pub(crate) fn evaluate_version<'a>(
    key: VersionKey,
    inputs: &DecisionInputs<'a>,
) -> Result<VersionCandidate<'a>, VersionReport> {
    let DecisionInputs { request, image, .. } = *inputs;
    let Some(spec) = image.version(&key) else {
        return Err(VersionReport {
            version: key,
            verdict: VersionVerdict::Unknown,
            quality: 0.0,
            quality_bound: 0.0,
            price: 0,
        });
    };
    let length = LengthBucket::of_tokens(request.prompt_tokens);
    let quality = &inputs.tables.quality;
    let estimate = QualityEstimate::of(quality, &key, spec, &request.task, length, inputs.now);
    let verdict = match check_health(&key, spec, inputs) {
        Some(VersionVerdict::Withdrawn) => VersionVerdict::Withdrawn,
        _ if inputs.pinned && request.pinned.as_ref() != Some(&key) => VersionVerdict::NotPinned,
        Some(verdict) => verdict,
        None => check_share(&key, spec, inputs).unwrap_or(VersionVerdict::Outranked),
    };
    let tokens = u64::from(request.max_output_tokens);
    let z = confidence_z(&inputs.workspace.weights);
    Ok(VersionCandidate {
        spec,
        estimate,
        baseline: baseline_of(&key, spec, image),
        report: VersionReport {
            quality: estimate.mean,
            quality_bound: estimate.lower_bound(z),
            price: spec.price_of(u64::from(request.prompt_tokens), tokens),
            version: key,
            verdict,
        },
    })
}

/// Returns why a version takes no new work from any workspace, or `None` if it does.
fn check_health(
    key: &VersionKey,
    spec: &VersionSpec,
    inputs: &DecisionInputs<'_>,
) -> Option<VersionVerdict> {
    if spec.stage == VersionStage::Withdrawn {
        return Some(VersionVerdict::Withdrawn);
    }
    if inputs
        .tables
        .brakes
        .get(key)
        .is_some_and(|expiry| *expiry > inputs.now)
    {
        return Some(VersionVerdict::Braked);
    }
    if spec.stage == VersionStage::RollingOut {
        let rollout = inputs.image.rollout_of(&key.model, &key.version);
        let stopped = rollout.is_some_and(|rollout| {
            matches!(rollout.phase, RolloutPhase::Braked | RolloutPhase::Aborted)
        });
        if stopped {
            return Some(VersionVerdict::Braked);
        }
    }
    let limit = spec.freshness_limit();
    if limit.is_some_and(|limit| inputs.tables.config_age > limit) {
        return Some(VersionVerdict::Stale);
    }
    None
}

/// Returns `OutsideShare` if the request falls outside the share of a version under roll-out.
fn check_share(
    key: &VersionKey,
    spec: &VersionSpec,
    inputs: &DecisionInputs<'_>,
) -> Option<VersionVerdict> {
    if spec.stage != VersionStage::RollingOut || inputs.pinned {
        return None;
    }
    let rollout = inputs.image.rollout_of(&key.model, &key.version);
    let mut share = rollout.map_or(0, |rollout| rollout.current_share());
    if inputs.tables.suspects.contains(key) {
        share = share.min(MAX_SUSPECT_SHARE);
    }
    let draw = mix_hash(inputs.seed ^ SHARE_SALT) % 1_000;
    (draw >= u64::from(share)).then_some(VersionVerdict::OutsideShare)
}

/// Returns the version that a version under roll-out is compared with.
fn baseline_of(key: &VersionKey, spec: &VersionSpec, image: &ConfigImage) -> Option<VersionKey> {
    if spec.stage != VersionStage::RollingOut {
        return None;
    }
    let rollout = image.rollout_of(&key.model, &key.version)?;
    Some(VersionKey {
        model: rollout.model.clone(),
        version: rollout.baseline.clone(),
    })
}
