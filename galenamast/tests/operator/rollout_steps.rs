//! Configuration changes that result from operators' actions on roll-outs.

use std::sync::Arc;

use galenamast::coordination::ConfigObject;
use galenamast::coordination::rollout_actions::{OperatorAction, steer_rollout, withdraw_version};
use galenamast::state::{
    ConfigImage, ModelSpec, RolloutPhase, RolloutSpec, VersionKey, VersionSpec, VersionStage,
};

/// Returns a configuration with a roll-out in the given phase and its candidate in the given stage.
fn image_with(phase: RolloutPhase, stage: VersionStage) -> ConfigImage {
    let candidate = VersionSpec {
        stage,
        ..Default::default()
    };
    let model = ModelSpec {
        name: "fit".into(),
        versions: [
            ("v1".into(), VersionSpec::default()),
            ("v2".into(), candidate),
        ]
        .into(),
    };
    let rollout = RolloutSpec {
        name: "r1".into(),
        model: "fit".into(),
        candidate: "v2".into(),
        baseline: "v1".into(),
        phase,
        ..Default::default()
    };
    ConfigImage {
        models: [("fit".into(), Arc::new(model))].into(),
        rollouts: [("r1".into(), Arc::new(rollout))].into(),
        ..Default::default()
    }
}

/// Returns the candidate's stage and the roll-out's phase in changed objects; `None` if unchanged.
fn outcome(objects: &[ConfigObject]) -> (Option<VersionStage>, Option<RolloutPhase>) {
    let mut stage = None;
    let mut phase = None;
    for object in objects {
        match object {
            ConfigObject::Model(model) => {
                stage = model.versions.get(&"v2".into()).map(|spec| spec.stage);
            }
            ConfigObject::Rollout(rollout) => phase = Some(rollout.phase),
            _ => {}
        }
    }
    (stage, phase)
}

#[test]
fn resuming_a_braked_roll_out_returns_its_candidate_to_rolling_out() {
    let image = image_with(RolloutPhase::Braked, VersionStage::Withdrawn);
    let objects = steer_rollout(&image, &"r1".into(), OperatorAction::Resume);
    let objects = objects.expect("a braked roll-out can be resumed");
    let expected = (Some(VersionStage::RollingOut), Some(RolloutPhase::Running));
    assert_eq!(outcome(&objects), expected);
}

#[test]
fn ended_roll_outs_refuse_every_action() {
    for phase in [RolloutPhase::Aborted, RolloutPhase::Completed] {
        let image = image_with(phase, VersionStage::Established);
        for action in [
            OperatorAction::Advance,
            OperatorAction::Pause,
            OperatorAction::Resume,
            OperatorAction::Abort,
        ] {
            let result = steer_rollout(&image, &"r1".into(), action);
            assert!(result.is_err(), "{phase:?} {action:?}");
        }
    }
}

#[test]
fn withdrawing_a_candidate_aborts_its_roll_out() {
    let image = image_with(RolloutPhase::Running, VersionStage::RollingOut);
    let objects = withdraw_version(&image, &VersionKey::new("fit", "v2"));
    let objects = objects.expect("the version exists");
    let expected = (Some(VersionStage::Withdrawn), Some(RolloutPhase::Aborted));
    assert_eq!(outcome(&objects), expected);
}
