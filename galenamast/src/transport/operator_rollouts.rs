//! Operator calls on roll-outs and versions.

use std::sync::Arc;
use std::time::Duration;

use tonic::{Request, Response, Status, async_trait};

use crate::coordination::rollout_actions::{
    OperatorAction, start_rollout, steer_rollout, withdraw_version,
};
use crate::generated::operator as wire;
use crate::generated::operator::rollout_service_server::RolloutService;
use crate::protocol::operator_objects::version_from_wire;
use crate::protocol::operator_refusal::{OperatorRefusal, RefusalCode};
use crate::protocol::operator_rollout::rollout_from_wire;
use crate::protocol::operator_tokens::OperatorRole;
use crate::state::{ConfigGeneration, RolloutName};
use crate::transport::operator_context::{OperatorContext, answer, refuse_step};
use crate::transport::operator_status::propagation_of;

/// Time limit for a withdrawal to be in force everywhere before the call is answered anyway.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(5);
/// Time between checks of where the generation is in force.
const IN_FORCE_PERIOD: Duration = Duration::from_millis(50);

/// Serves `StartRollout`, `SteerRollout` and `WithdrawVersion`.
#[derive(Debug)]
pub struct RolloutCalls {
    operator: Arc<OperatorContext>,
}

impl RolloutCalls {
    /// Creates the service for the operator protocol of one host.
    pub fn new(operator: Arc<OperatorContext>) -> Self {
        Self { operator }
    }

    /// Starts a roll-out.
    async fn start(
        &self,
        request: &Request<wire::StartRolloutRequest>,
    ) -> Result<wire::ChangeReceipt, OperatorRefusal> {
        let identity = self.operator.authorise(request, OperatorRole::Operate)?;
        let message = request.get_ref();
        let rollout = rollout_from_wire(&message.rollout.clone().unwrap_or_default())?;
        let change = message.change.as_ref();
        let plan = |image: &_| {
            let objects = start_rollout(image, &rollout).map_err(|error| refuse_step(&error))?;
            Ok(objects.into())
        };
        self.operator.change(&identity, change, plan).await
    }

    /// Advances, pauses, resumes or aborts a roll-out.
    async fn steer(
        &self,
        request: &Request<wire::SteerRolloutRequest>,
    ) -> Result<wire::ChangeReceipt, OperatorRefusal> {
        let identity = self.operator.authorise(request, OperatorRole::Operate)?;
        let message = request.get_ref();
        let step = match message.action() {
            wire::RolloutAction::Advance => OperatorAction::Advance,
            wire::RolloutAction::Pause => OperatorAction::Pause,
            wire::RolloutAction::Resume => OperatorAction::Resume,
            wire::RolloutAction::Abort => OperatorAction::Abort,
            wire::RolloutAction::Unspecified => {
                let message = "action must be advance, pause, resume or abort";
                return Err(OperatorRefusal::new(RefusalCode::Invalid, message));
            }
        };
        let name = RolloutName::new(&message.rollout);
        let plan = |image: &crate::state::ConfigImage| {
            if !image.rollouts.contains_key(&name) {
                let message = format!("no roll-out `{name}` exists");
                return Err(OperatorRefusal::new(RefusalCode::NotFound, message));
            }
            let objects = steer_rollout(image, &name, step).map_err(|error| refuse_step(&error))?;
            Ok(objects.into())
        };
        let change = message.change.as_ref();
        self.operator.change(&identity, change, plan).await
    }

    /// Withdraws a version and reports where the withdrawal is in force.
    async fn withdraw(
        &self,
        request: &Request<wire::WithdrawVersionRequest>,
    ) -> Result<wire::WithdrawVersionResponse, OperatorRefusal> {
        let identity = self.operator.authorise(request, OperatorRole::Operate)?;
        let message = request.get_ref();
        let key = version_from_wire(&message.version.clone().unwrap_or_default())?;
        let plan = |image: &crate::state::ConfigImage| {
            if image.version(&key).is_none() {
                let message = format!("no version `{key}` exists");
                return Err(OperatorRefusal::new(RefusalCode::NotFound, message));
            }
            let objects = withdraw_version(image, &key).map_err(|error| refuse_step(&error))?;
            Ok(objects.into())
        };
        let change = message.change.as_ref();
        let receipt = self.operator.change(&identity, change, plan).await?;
        let generation = ConfigGeneration(receipt.generation);
        let propagation = match receipt.dry_run {
            true => propagation_of(&self.operator.host, generation),
            false => self.wait_in_force(generation).await,
        };
        Ok(wire::WithdrawVersionResponse {
            receipt: Some(receipt),
            propagation: Some(propagation),
        })
    }

    /// Waits until a generation is in force everywhere, for at most [`IN_FORCE_TIMEOUT`].
    async fn wait_in_force(&self, generation: ConfigGeneration) -> wire::Propagation {
        let timers = &self.operator.host.timers;
        let deadline = timers.now() + IN_FORCE_TIMEOUT;
        loop {
            let propagation = propagation_of(&self.operator.host, generation);
            if propagation.everywhere || timers.now() >= deadline {
                return propagation;
            }
            timers.sleep(IN_FORCE_PERIOD).await;
        }
    }
}

#[async_trait]
impl RolloutService for RolloutCalls {
    async fn start_rollout(
        &self,
        request: Request<wire::StartRolloutRequest>,
    ) -> Result<Response<wire::ChangeReceipt>, Status> {
        answer("StartRollout", self.start(&request).await)
    }

    async fn steer_rollout(
        &self,
        request: Request<wire::SteerRolloutRequest>,
    ) -> Result<Response<wire::ChangeReceipt>, Status> {
        answer("SteerRollout", self.steer(&request).await)
    }

    async fn withdraw_version(
        &self,
        request: Request<wire::WithdrawVersionRequest>,
    ) -> Result<Response<wire::WithdrawVersionResponse>, Status> {
        answer("WithdrawVersion", self.withdraw(&request).await)
    }
}
