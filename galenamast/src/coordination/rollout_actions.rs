//! Configuration changes that operators make to roll-outs and versions.

use crate::coordination::config_documents::ConfigObject;
use crate::coordination::coordination_error::CoordinationError;
use crate::state::{
    ConfigImage, ModelName, ModelSpec, RolloutName, RolloutPhase, RolloutSpec, VersionKey,
    VersionName, VersionStage,
};

/// An operator's action on a roll-out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OperatorAction {
    /// Advances to the next step, or completes the roll-out after the last one.
    Advance,
    /// Keeps the current share of requests.
    Pause,
    /// Continues after a pause or a brake.
    Resume,
    /// Ends the roll-out and withdraws the candidate.
    Abort,
}

/// Returns the objects that start a roll-out: the roll-out and its model.
///
/// # Errors
///
/// Returns an error if the roll-out is already active, the candidate equals the baseline, or either
/// version does not exist.
pub fn start_rollout(
    image: &ConfigImage,
    rollout: &RolloutSpec,
) -> Result<Vec<ConfigObject>, CoordinationError> {
    let is_active = image.rollouts.get(&rollout.name).is_some_and(|known| {
        !matches!(known.phase, RolloutPhase::Aborted | RolloutPhase::Completed)
    });
    if is_active {
        let reason = format!("roll-out `{}` already goes on", rollout.name);
        return Err(invalid(reason));
    }
    if rollout.candidate == rollout.baseline {
        let reason = "candidate and baseline must be different versions".into();
        return Err(invalid(reason));
    }
    find_version(image, &rollout.model, &rollout.baseline)?;
    let rollout = RolloutSpec {
        step: 0,
        phase: RolloutPhase::Running,
        ..rollout.clone()
    };
    with_model(image, rollout, VersionStage::RollingOut)
}

/// Returns the objects that an operator's action changes.
///
/// ```
/// use galenamast::coordination::rollout_actions::{OperatorAction, steer_rollout};
/// use galenamast::state::ConfigImage;
///
/// let error = steer_rollout(&ConfigImage::default(), &"fit".into(), OperatorAction::Pause);
/// assert!(error.unwrap_err().to_string().contains("no roll-out `fit`"));
/// ```
///
/// # Errors
///
/// Returns an error if the roll-out does not exist or its phase does not allow the action.
pub fn steer_rollout(
    image: &ConfigImage,
    name: &RolloutName,
    action: OperatorAction,
) -> Result<Vec<ConfigObject>, CoordinationError> {
    let Some(known) = image.rollouts.get(name) else {
        return Err(invalid(format!("no roll-out `{name}` exists")));
    };
    let mut rollout = known.as_ref().clone();
    match (action, rollout.phase) {
        (OperatorAction::Advance, RolloutPhase::Running | RolloutPhase::Paused) => {
            return advance(image, rollout);
        }
        (OperatorAction::Pause, RolloutPhase::Running) => rollout.phase = RolloutPhase::Paused,
        (OperatorAction::Resume, RolloutPhase::Paused | RolloutPhase::Braked) => {
            rollout.phase = RolloutPhase::Running;
            let stage = VersionStage::RollingOut;
            return with_model(image, rollout, stage);
        }
        (
            OperatorAction::Abort,
            RolloutPhase::Running | RolloutPhase::Paused | RolloutPhase::Braked,
        ) => {
            rollout.phase = RolloutPhase::Aborted;
            return with_model(image, rollout, VersionStage::Withdrawn);
        }
        (_, phase) => {
            let reason = format!("roll-out `{name}` is {phase:?}, which does not allow {action:?}");
            return Err(invalid(reason.to_lowercase()));
        }
    }
    Ok(vec![ConfigObject::Rollout(rollout)])
}

/// Advances a roll-out to its next step, or completes it after the last one.
fn advance(
    image: &ConfigImage,
    mut rollout: RolloutSpec,
) -> Result<Vec<ConfigObject>, CoordinationError> {
    let last = rollout.step_shares.len().saturating_sub(1);
    if (rollout.step as usize) < last {
        rollout.step += 1;
        return Ok(vec![ConfigObject::Rollout(rollout)]);
    }
    rollout.phase = RolloutPhase::Completed;
    with_model(image, rollout, VersionStage::Established)
}

/// Returns a roll-out and its model, with the candidate moved to `stage`.
fn with_model(
    image: &ConfigImage,
    rollout: RolloutSpec,
    stage: VersionStage,
) -> Result<Vec<ConfigObject>, CoordinationError> {
    let model = with_stage(image, &rollout.model, &rollout.candidate, stage)?;
    Ok(vec![
        ConfigObject::Model(model),
        ConfigObject::Rollout(rollout),
    ])
}

/// Returns the objects that withdraw a version: its model, and its active roll-outs, aborted.
///
/// # Errors
///
/// Returns an error if the version does not exist.
pub fn withdraw_version(
    image: &ConfigImage,
    key: &VersionKey,
) -> Result<Vec<ConfigObject>, CoordinationError> {
    let stage = VersionStage::Withdrawn;
    let model = with_stage(image, &key.model, &key.version, stage)?;
    let mut objects = vec![ConfigObject::Model(model)];
    for rollout in image.rollouts.values() {
        let candidate = rollout.model == key.model && rollout.candidate == key.version;
        let ended = matches!(
            rollout.phase,
            RolloutPhase::Aborted | RolloutPhase::Completed
        );
        if candidate && !ended {
            objects.push(ConfigObject::Rollout(RolloutSpec {
                phase: RolloutPhase::Aborted,
                ..rollout.as_ref().clone()
            }));
        }
    }
    Ok(objects)
}

/// Returns a model with one version moved to `stage`.
fn with_stage(
    image: &ConfigImage,
    model: &ModelName,
    version: &VersionName,
    stage: VersionStage,
) -> Result<ModelSpec, CoordinationError> {
    let mut spec = find_version(image, model, version)?.clone();
    if let Some(version) = spec.versions.get_mut(version) {
        version.stage = stage;
    }
    Ok(spec)
}

/// Finds the model that holds a version.
fn find_version<'a>(
    image: &'a ConfigImage,
    model: &ModelName,
    version: &VersionName,
) -> Result<&'a ModelSpec, CoordinationError> {
    let found = image
        .models
        .get(model)
        .filter(|spec| spec.versions.contains_key(version));
    found
        .map(AsRef::as_ref)
        .ok_or_else(|| invalid(format!("no version `{model}@{version}` exists")))
}

fn invalid(reason: String) -> CoordinationError {
    CoordinationError::Invalid {
        what: "roll-out step",
        reason,
    }
}
