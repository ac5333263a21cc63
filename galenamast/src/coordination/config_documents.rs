//! Content-addressed configuration objects, and the head that lists them.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::coordination::coordination_error::CoordinationError;
use crate::state::{
    ConfigGeneration, ConfigImage, ModelSpec, PoolSpec, RolloutSpec, ServiceSpec, SessionKeys,
    WorkspaceSpec,
};

/// Kind of the configuration objects on the platform.
pub const CONFIG_KIND: &str = "config";
/// Kind of the head object on the platform.
pub const HEAD_KIND: &str = "head";
/// Name of the head object on the platform.
pub const HEAD_NAME: &str = "config";

/// Entry name of the keys of session tokens.
pub const SESSION_KEYS_ENTRY: &str = "session_keys/tokens";

/// SHA-256 digest of a configuration object, as hexadecimal text.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ObjectDigest(pub Arc<str>);

impl fmt::Display for ObjectDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

/// A configuration object, one per configured workspace, model, pool, service or roll-out.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConfigObject {
    /// A workspace with its limits and allowed versions.
    Workspace(WorkspaceSpec),
    /// A model with its versions.
    Model(ModelSpec),
    /// A pool of backend servers.
    Pool(PoolSpec),
    /// A plain service, which is not a model.
    Service(ServiceSpec),
    /// A roll-out of a version.
    Rollout(RolloutSpec),
    /// The keys of session tokens.
    SessionKeys(SessionKeys),
}

impl ConfigObject {
    /// Returns the entry name under which the head lists the object, as `kind/name`.
    ///
    /// ```
    /// use galenamast::coordination::ConfigObject;
    /// use galenamast::state::PoolSpec;
    ///
    /// let object = ConfigObject::Pool(PoolSpec { name: "advice".into(), ..Default::default() });
    /// assert_eq!(object.entry_name(), "pool/advice");
    /// ```
    pub fn entry_name(&self) -> String {
        match self {
            Self::Workspace(spec) => format!("workspace/{}", spec.name),
            Self::Model(spec) => format!("model/{}", spec.name),
            Self::Pool(spec) => format!("pool/{}", spec.name),
            Self::Service(spec) => format!("service/{}", spec.name),
            Self::Rollout(spec) => format!("rollout/{}", spec.name),
            Self::SessionKeys(_) => SESSION_KEYS_ENTRY.into(),
        }
    }

    /// Encodes the object as JSON and computes its digest.
    ///
    /// # Errors
    ///
    /// Returns an error if the object contains a number that JSON cannot represent.
    pub fn encode(&self) -> Result<EncodedObject, CoordinationError> {
        let what = "configuration object";
        let content = serde_json::to_string(self)
            .map_err(|source| CoordinationError::Malformed { what, source })?;
        Ok(EncodedObject {
            digest: digest_of(&content),
            content,
        })
    }
}

/// A configuration object as it is stored and sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EncodedObject {
    /// Digest of the content.
    pub digest: ObjectDigest,
    /// The object as JSON text.
    pub content: String,
}

impl EncodedObject {
    /// Verifies the digest and decodes the object.
    ///
    /// # Errors
    ///
    /// Returns an error if the content does not match the digest or is malformed.
    pub fn decode(&self) -> Result<ConfigObject, CoordinationError> {
        if digest_of(&self.content) != self.digest {
            let reason = format!("content does not match digest {}", self.digest);
            return Err(CoordinationError::Invalid {
                what: "configuration object",
                reason,
            });
        }
        let what = "configuration object";
        serde_json::from_str(&self.content)
            .map_err(|source| CoordinationError::Malformed { what, source })
    }
}

fn digest_of(content: &str) -> ObjectDigest {
    ObjectDigest(hex::encode(Sha256::digest(content.as_bytes())).into())
}

/// The head object. Replacing it puts a new configuration into force.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct HeadDocument {
    /// Generation of the configuration, one higher than that of the replaced head.
    pub generation: ConfigGeneration,
    /// Digests of the objects in force, by entry name (`kind/name`).
    pub entries: BTreeMap<String, ObjectDigest>,
    /// Most recent changes, newest last.
    pub changes: Vec<AcceptedChange>,
}

/// An accepted change as recorded in the head.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct AcceptedChange {
    /// Identifier chosen by the operator.
    pub change_id: String,
    /// Generation that the change created.
    pub generation: ConfigGeneration,
    /// Operator who made the change.
    pub author: String,
    /// Reason for the change.
    pub reason: String,
    /// Entries that the change put or removed.
    pub entries: Vec<String>,
}

/// Builds a configuration from its objects.
///
/// ```
/// use galenamast::coordination::{ConfigObject, assemble_image};
/// use galenamast::state::{ConfigGeneration, PoolSpec};
///
/// let pool = PoolSpec { name: "advice".into(), ..Default::default() };
/// let image = assemble_image(ConfigGeneration(3), [ConfigObject::Pool(pool)]);
/// assert_eq!(image.generation, ConfigGeneration(3));
/// assert_eq!(image.pools.len(), 1);
/// ```
pub fn assemble_image(
    generation: ConfigGeneration,
    objects: impl IntoIterator<Item = ConfigObject>,
) -> ConfigImage {
    let mut image = ConfigImage {
        generation,
        ..Default::default()
    };
    for object in objects {
        match object {
            ConfigObject::Workspace(spec) => {
                image.workspaces.insert(spec.name.clone(), Arc::new(spec));
            }
            ConfigObject::Model(spec) => {
                image.models.insert(spec.name.clone(), Arc::new(spec));
            }
            ConfigObject::Pool(spec) => {
                image.pools.insert(spec.name.clone(), Arc::new(spec));
            }
            ConfigObject::Service(spec) => {
                image.services.insert(spec.name.clone(), Arc::new(spec));
            }
            ConfigObject::Rollout(spec) => {
                image.rollouts.insert(spec.name.clone(), Arc::new(spec));
            }
            ConfigObject::SessionKeys(keys) => image.session_keys = Some(Arc::new(keys)),
        }
    }
    image
}
