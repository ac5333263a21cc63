//! The configuration in force on an entry host, as one immutable value.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::state::config_generation::ConfigGeneration;
use crate::state::key_digest::KeyDigest;
use crate::state::model_spec::{ModelSpec, VersionSpec};
use crate::state::names::{
    ModelName, PoolName, RolloutName, ServiceName, VersionName, WorkspaceName,
};
use crate::state::pool_spec::{PoolSpec, ServiceSpec};
use crate::state::rollout_spec::RolloutSpec;
use crate::state::session_keys::SessionKeys;
use crate::state::version_key::VersionKey;
use crate::state::workspace_spec::WorkspaceSpec;

/// A complete accepted configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct ConfigImage {
    /// Generation of the configuration.
    pub generation: ConfigGeneration,
    /// Workspaces by name.
    pub workspaces: BTreeMap<WorkspaceName, Arc<WorkspaceSpec>>,
    /// Models by name.
    pub models: BTreeMap<ModelName, Arc<ModelSpec>>,
    /// Pools by name.
    pub pools: BTreeMap<PoolName, Arc<PoolSpec>>,
    /// Plain services by name.
    pub services: BTreeMap<ServiceName, Arc<ServiceSpec>>,
    /// Roll-outs by name.
    pub rollouts: BTreeMap<RolloutName, Arc<RolloutSpec>>,
    /// Signing keys of session tokens; if absent, no token is issued or accepted.
    pub session_keys: Option<Arc<SessionKeys>>,
}

impl ConfigImage {
    /// Finds the configuration of a version.
    ///
    /// ```
    /// use galenamast::state::{ConfigImage, VersionKey};
    ///
    /// assert!(ConfigImage::default().version(&VersionKey::new("fit", "v1")).is_none());
    /// ```
    pub fn version(&self, key: &VersionKey) -> Option<&VersionSpec> {
        self.models.get(&key.model)?.versions.get(&key.version)
    }

    /// Finds the workspace whose keys include the one with this digest.
    ///
    /// Every workspace is compared, so that the time taken does not reveal which one matched.
    pub fn workspace_by_key(&self, digest: &KeyDigest) -> Option<&Arc<WorkspaceSpec>> {
        let mut found = None;
        for workspace in self.workspaces.values() {
            let matched = workspace
                .key_digests
                .iter()
                .fold(false, |any, known| any | known.matches(digest));
            if matched {
                found = Some(workspace);
            }
        }
        found
    }

    /// Finds the roll-out whose candidate is the given version.
    pub fn rollout_of(
        &self,
        model: &ModelName,
        version: &VersionName,
    ) -> Option<&Arc<RolloutSpec>> {
        self.rollouts
            .values()
            .find(|rollout| rollout.model == *model && rollout.candidate == *version)
    }
}
