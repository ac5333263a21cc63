//! Conversion of roll-outs between the operator protocol and the state layer.

use std::time::Duration;

use crate::generated::operator as wire;
use crate::protocol::operator_objects::{checked_name, milliseconds};
use crate::protocol::protocol_error::ProtocolError;
use crate::state::{RolloutPhase, RolloutSpec};

/// Converts a roll-out for the wire.
pub fn rollout_to_wire(spec: &RolloutSpec) -> wire::Rollout {
    let phase = match spec.phase {
        RolloutPhase::Running => wire::RolloutPhase::Running,
        RolloutPhase::Paused => wire::RolloutPhase::Paused,
        RolloutPhase::Braked => wire::RolloutPhase::Braked,
        RolloutPhase::Aborted => wire::RolloutPhase::Aborted,
        RolloutPhase::Completed => wire::RolloutPhase::Completed,
    };
    wire::Rollout {
        name: spec.name.to_string(),
        model: spec.model.to_string(),
        candidate: spec.candidate.to_string(),
        baseline: spec.baseline.to_string(),
        step_share_permille: spec.step_shares.clone(),
        step: spec.step,
        phase: phase.into(),
        min_ratings: spec.min_ratings,
        min_step_time_ms: milliseconds(spec.min_step_time),
        tolerated_loss_ratio: spec.tolerated_loss,
        false_alarm_ratio: spec.false_alarm_rate,
        supersedes: spec
            .supersedes
            .as_ref()
            .map(ToString::to_string)
            .unwrap_or_default(),
    }
}

/// Converts a roll-out from the wire.
///
/// # Errors
///
/// Returns an error if a name is malformed.
pub fn rollout_from_wire(rollout: &wire::Rollout) -> Result<RolloutSpec, ProtocolError> {
    let phase = match rollout.phase() {
        wire::RolloutPhase::Unspecified | wire::RolloutPhase::Running => RolloutPhase::Running,
        wire::RolloutPhase::Paused => RolloutPhase::Paused,
        wire::RolloutPhase::Braked => RolloutPhase::Braked,
        wire::RolloutPhase::Aborted => RolloutPhase::Aborted,
        wire::RolloutPhase::Completed => RolloutPhase::Completed,
    };
    let supersedes = match rollout.supersedes.as_str() {
        "" => None,
        name => Some(checked_name("superseded roll-out", name)?.into()),
    };
    Ok(RolloutSpec {
        name: checked_name("roll-out name", &rollout.name)?.into(),
        model: checked_name("model name", &rollout.model)?.into(),
        candidate: checked_name("candidate version", &rollout.candidate)?.into(),
        baseline: checked_name("baseline version", &rollout.baseline)?.into(),
        step_shares: rollout.step_share_permille.clone(),
        step: rollout.step,
        phase,
        min_ratings: rollout.min_ratings,
        min_step_time: Duration::from_millis(rollout.min_step_time_ms),
        tolerated_loss: rollout.tolerated_loss_ratio,
        false_alarm_rate: rollout.false_alarm_ratio,
        supersedes,
    })
}
