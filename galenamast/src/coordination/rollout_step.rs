//! Steps that the controller takes on a roll-out, and the configuration changes they make.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::coordination::config_change::ConfigChange;
use crate::coordination::config_documents::ConfigObject;
use crate::state::{
    ConfigImage, HostName, RolloutName, RolloutPhase, RolloutSpec, VersionName, VersionStage,
};

/// A step that the controller takes on a roll-out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RolloutStep {
    /// Move to the step with this index.
    Advance(u32),
    /// Make the candidate an established version.
    Complete,
    /// Withdraw the candidate because the evidence is against it.
    Brake,
    /// Pause, because the baseline was withdrawn and there is nothing to compare with.
    PauseWithoutBaseline,
    /// Abort, because an operator withdrew the candidate.
    AbortWithdrawn,
    /// Abort, because a newer roll-out of the model replaces this one.
    AbortSuperseded,
}

/// Builds the configuration change for a step, based on the generation of `image`.
///
/// Returns `None` if the roll-out or its model does not exist.
///
/// The change always includes the model, so it is refused if the model changed in the meantime. Its
/// identifier depends only on the roll-out, the step and the generation, so repeating it is
/// harmless.
///
/// ```
/// use galenamast::coordination::rollout_step::{RolloutStep, step_change};
/// use galenamast::state::ConfigImage;
///
/// let image = ConfigImage::default();
/// assert!(step_change(&image, &"none".into(), RolloutStep::Brake, &"entry-1".into()).is_none());
/// ```
pub fn step_change(
    image: &ConfigImage,
    name: &RolloutName,
    step: RolloutStep,
    author: &HostName,
) -> Option<ConfigChange> {
    let mut rollout = RolloutSpec::clone(image.rollouts.get(name)?);
    let mut model = Arc::unwrap_or_clone(image.models.get(&rollout.model)?.clone());
    let mut set_stage = |version: &VersionName, stage| {
        if let Some(spec) = model.versions.get_mut(version) {
            spec.stage = stage;
        }
    };
    match step {
        RolloutStep::Advance(index) => rollout.step = index,
        RolloutStep::Complete => {
            rollout.phase = RolloutPhase::Completed;
            set_stage(&rollout.candidate, VersionStage::Established);
        }
        RolloutStep::Brake => {
            rollout.phase = RolloutPhase::Braked;
            set_stage(&rollout.candidate, VersionStage::Withdrawn);
        }
        RolloutStep::PauseWithoutBaseline => rollout.phase = RolloutPhase::Paused,
        RolloutStep::AbortWithdrawn => rollout.phase = RolloutPhase::Aborted,
        RolloutStep::AbortSuperseded => {
            rollout.phase = RolloutPhase::Aborted;
            if !is_used_elsewhere(image, &rollout) {
                set_stage(&rollout.candidate, VersionStage::Withdrawn);
            }
        }
    }
    Some(ConfigChange {
        change_id: format!("rollout-{name}-{step:?}-after-{}", image.generation),
        author: author.to_string(),
        reason: format!("roll-out {name}: {step:?}"),
        based_on: Some(image.generation),
        puts: vec![ConfigObject::Rollout(rollout), ConfigObject::Model(model)],
        removals: Vec::new(),
    })
}

/// Returns whether another active roll-out needs the candidate.
fn is_used_elsewhere(image: &ConfigImage, rollout: &RolloutSpec) -> bool {
    image.rollouts.values().any(|other| {
        let needs = other.candidate == rollout.candidate || other.baseline == rollout.candidate;
        other.name != rollout.name
            && other.model == rollout.model
            && matches!(other.phase, RolloutPhase::Running | RolloutPhase::Paused)
            && needs
    })
}
