//! Operator calls that read and change the configuration.

use std::sync::Arc;

use tonic::{Request, Response, Status, async_trait};

use crate::coordination::ConfigObject;
use crate::generated::operator as wire;
use crate::generated::operator::configuration_service_server::ConfigurationService;
use crate::protocol::operator_objects::{image_objects, object_from_wire, object_to_wire};
use crate::protocol::operator_refusal::{OperatorRefusal, RefusalCode};
use crate::protocol::operator_tokens::{OperatorIdentity, OperatorRole};
use crate::state::ConfigImage;
use crate::transport::operator_context::{ChangePlan, OperatorContext, answer};

/// Serves `Apply` and `GetConfiguration`.
#[derive(Debug)]
pub struct ConfigurationCalls {
    operator: Arc<OperatorContext>,
}

impl ConfigurationCalls {
    /// Creates the service for the operator protocol of one host.
    pub fn new(operator: Arc<OperatorContext>) -> Self {
        Self { operator }
    }

    /// Applies a set of objects and removals as one change.
    async fn apply_objects(
        &self,
        request: &Request<wire::ApplyRequest>,
    ) -> Result<wire::ChangeReceipt, OperatorRefusal> {
        let identity = self.operator.authorise(request, OperatorRole::Operate)?;
        let message = request.get_ref();
        let converted = message.objects.iter().map(object_from_wire);
        let puts = converted.collect::<Result<Vec<ConfigObject>, _>>()?;
        let removals = message.removals.clone();
        let plan = |image: &ConfigImage| {
            for object in &puts {
                check_keys_unchanged(&identity, image, object)?;
            }
            check_removals(&identity, &removals)?;
            Ok(ChangePlan { puts, removals })
        };
        let change = message.change.as_ref();
        self.operator.change(&identity, change, plan).await
    }

    /// Returns the configuration in force on the called host.
    fn get(
        &self,
        request: &Request<wire::GetConfigurationRequest>,
    ) -> Result<wire::Configuration, OperatorRefusal> {
        self.operator.authorise(request, OperatorRole::Read)?;
        let image = self.operator.host.image.load();
        let objects = image_objects(&image);
        Ok(wire::Configuration {
            generation: image.generation.0,
            objects: objects.iter().map(object_to_wire).collect(),
        })
    }
}

/// Refuses a workspace whose keys differ from those in force, unless the role is `administer`.
fn check_keys_unchanged(
    identity: &OperatorIdentity,
    image: &ConfigImage,
    object: &ConfigObject,
) -> Result<(), OperatorRefusal> {
    let ConfigObject::Workspace(workspace) = object else {
        return Ok(());
    };
    if identity.role >= OperatorRole::Administer {
        return Ok(());
    }
    let known = image.workspaces.get(&workspace.name);
    let unchanged = known.map_or(workspace.key_digests.is_empty(), |known| {
        known.key_digests == workspace.key_digests
    });
    if unchanged {
        return Ok(());
    }
    let message = format!(
        "keys of workspace `{}` may be changed with the role administer only",
        workspace.name
    );
    Err(OperatorRefusal::new(RefusalCode::RoleTooLow, message))
}

/// Refuses the removal of session keys, unless the role is `administer`.
fn check_removals(identity: &OperatorIdentity, removals: &[String]) -> Result<(), OperatorRefusal> {
    let session_keys = removals
        .iter()
        .find(|entry| entry.starts_with("session_keys/"));
    match session_keys {
        Some(entry) if identity.role < OperatorRole::Administer => {
            let message = format!("{entry} may be removed with the role administer only");
            Err(OperatorRefusal::new(RefusalCode::RoleTooLow, message))
        }
        _ => Ok(()),
    }
}

#[async_trait]
impl ConfigurationService for ConfigurationCalls {
    async fn apply(
        &self,
        request: Request<wire::ApplyRequest>,
    ) -> Result<Response<wire::ChangeReceipt>, Status> {
        answer("Apply", self.apply_objects(&request).await)
    }

    async fn get_configuration(
        &self,
        request: Request<wire::GetConfigurationRequest>,
    ) -> Result<Response<wire::Configuration>, Status> {
        answer("GetConfiguration", self.get(&request))
    }
}
