//! Operator calls on the bearer keys of callers and the keys of session tokens.

use std::sync::Arc;

use tonic::{Request, Response, Status, async_trait};

use crate::coordination::ConfigObject;
use crate::generated::operator as wire;
use crate::generated::operator::key_service_server::KeyService;
use crate::protocol::operator_objects::digest_from_wire;
use crate::protocol::operator_refusal::{OperatorRefusal, RefusalCode};
use crate::protocol::operator_tokens::{OperatorIdentity, OperatorRole};
use crate::state::{ConfigImage, KeyDigest, SecretKey, SessionKeys, WorkspaceName, WorkspaceSpec};
use crate::transport::operator_context::{ChangePlan, OperatorContext, answer};

/// Length of the random part of a key, in bytes.
const KEY_BYTES: usize = 32;
/// Prefix of every key, by which scanners can find leaked keys.
const KEY_PREFIX: &str = "gm_";

/// Serves `CreateKey`, `RotateKey`, `RevokeKey` and `RotateSessionKeys`.
#[derive(Debug)]
pub struct KeyCalls {
    operator: Arc<OperatorContext>,
}

impl KeyCalls {
    /// Creates the service for the operator protocol of one host.
    pub fn new(operator: Arc<OperatorContext>) -> Self {
        Self { operator }
    }

    /// Adds a new key to a workspace and revokes all but the newest `kept` earlier ones.
    ///
    /// The key is returned only by the call that makes the change, not by a dry run or a repeat.
    async fn add_key(
        &self,
        identity: &OperatorIdentity,
        change: Option<&wire::Change>,
        workspace: &str,
        kept: usize,
    ) -> Result<wire::KeyResponse, OperatorRefusal> {
        let key = generate_key();
        let digest = KeyDigest::of_key(&key);
        let name = WorkspaceName::new(workspace);
        let added = digest.clone();
        let plan = |image: &ConfigImage| {
            let mut spec = find_workspace(image, &name)?;
            let excess = spec.key_digests.len().saturating_sub(kept);
            spec.key_digests.drain(..excess);
            spec.key_digests.push(added);
            Ok(vec![ConfigObject::Workspace(spec)].into())
        };
        let receipt = self.operator.change(identity, change, plan).await?;
        let is_new = !receipt.dry_run && !receipt.repeated;
        Ok(wire::KeyResponse {
            receipt: Some(receipt),
            key: if is_new { key } else { String::new() },
            digest: if is_new {
                String::from(digest)
            } else {
                String::new()
            },
        })
    }

    /// Creates a key and keeps all others.
    async fn create(
        &self,
        request: &Request<wire::CreateKeyRequest>,
    ) -> Result<wire::KeyResponse, OperatorRefusal> {
        let identity = self.operator.authorise(request, OperatorRole::Administer)?;
        let message = request.get_ref();
        let change = message.change.as_ref();
        self.add_key(&identity, change, &message.workspace, usize::MAX)
            .await
    }

    /// Creates a key and revokes all others but the newest one.
    async fn rotate(
        &self,
        request: &Request<wire::RotateKeyRequest>,
    ) -> Result<wire::KeyResponse, OperatorRefusal> {
        let identity = self.operator.authorise(request, OperatorRole::Administer)?;
        let message = request.get_ref();
        let change = message.change.as_ref();
        self.add_key(&identity, change, &message.workspace, 1).await
    }

    /// Revokes the key of a digest.
    async fn revoke(
        &self,
        request: &Request<wire::RevokeKeyRequest>,
    ) -> Result<wire::ChangeReceipt, OperatorRefusal> {
        let identity = self.operator.authorise(request, OperatorRole::Administer)?;
        let message = request.get_ref();
        let digest = digest_from_wire(&message.digest)?;
        let name = WorkspaceName::new(&message.workspace);
        let plan = |image: &ConfigImage| -> Result<ChangePlan, OperatorRefusal> {
            let mut spec = find_workspace(image, &name)?;
            let before = spec.key_digests.len();
            spec.key_digests.retain(|known| *known != digest);
            if spec.key_digests.len() == before {
                let message = format!("workspace `{name}` has no key of this digest");
                return Err(OperatorRefusal::new(RefusalCode::NotFound, message));
            }
            Ok(vec![ConfigObject::Workspace(spec)].into())
        };
        let change = message.change.as_ref();
        self.operator.change(&identity, change, plan).await
    }

    /// Generates a new key for session tokens and keeps the current one as the previous.
    async fn rotate_sessions(
        &self,
        request: &Request<wire::RotateSessionKeysRequest>,
    ) -> Result<wire::ChangeReceipt, OperatorRefusal> {
        let identity = self.operator.authorise(request, OperatorRole::Administer)?;
        let plan = |image: &ConfigImage| {
            let known = image.session_keys.as_ref();
            let keys = SessionKeys {
                current: SecretKey::from_bytes(rand::random()),
                previous: known.map(|keys| keys.current.clone()),
            };
            Ok(vec![ConfigObject::SessionKeys(keys)].into())
        };
        let change = request.get_ref().change.as_ref();
        self.operator.change(&identity, change, plan).await
    }
}

/// Generates a random key.
fn generate_key() -> String {
    let bytes: [u8; KEY_BYTES] = rand::random();
    format!("{KEY_PREFIX}{}", hex::encode(bytes))
}

/// Returns a copy of a workspace in the configuration in force.
fn find_workspace(
    image: &ConfigImage,
    name: &WorkspaceName,
) -> Result<WorkspaceSpec, OperatorRefusal> {
    let known = image.workspaces.get(name);
    known.map(|spec| spec.as_ref().clone()).ok_or_else(|| {
        let message = format!("no workspace `{name}` exists");
        OperatorRefusal::new(RefusalCode::NotFound, message)
    })
}

#[async_trait]
impl KeyService for KeyCalls {
    async fn create_key(
        &self,
        request: Request<wire::CreateKeyRequest>,
    ) -> Result<Response<wire::KeyResponse>, Status> {
        answer("CreateKey", self.create(&request).await)
    }

    async fn rotate_key(
        &self,
        request: Request<wire::RotateKeyRequest>,
    ) -> Result<Response<wire::KeyResponse>, Status> {
        answer("RotateKey", self.rotate(&request).await)
    }

    async fn revoke_key(
        &self,
        request: Request<wire::RevokeKeyRequest>,
    ) -> Result<Response<wire::ChangeReceipt>, Status> {
        answer("RevokeKey", self.revoke(&request).await)
    }

    async fn rotate_session_keys(
        &self,
        request: Request<wire::RotateSessionKeysRequest>,
    ) -> Result<Response<wire::ChangeReceipt>, Status> {
        answer("RotateSessionKeys", self.rotate_sessions(&request).await)
    }
}
