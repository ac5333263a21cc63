//! Configuration of a workspace, as an operator sets it.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::state::key_digest::KeyDigest;
use crate::state::names::{ModelName, ServiceName, TaskName, VersionName, WorkspaceName};
use crate::state::version_key::VersionKey;

/// Default of [`WorkspaceSpec::mixing_shortfall`].
const DEFAULT_MIXING_SHORTFALL: f64 = 0.15;

/// Configuration of a workspace.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct WorkspaceSpec {
    /// Name of the workspace.
    pub name: WorkspaceName,
    /// Digests of the bearer keys that callers of the workspace present.
    pub key_digests: Vec<KeyDigest>,
    /// Versions that the workspace may use, by model.
    pub allowed: BTreeMap<ModelName, BTreeSet<VersionName>>,
    /// Plain services that the workspace may call.
    pub services: BTreeSet<ServiceName>,
    /// Lowest acceptable mean rating of answers, from 0 to 1.
    pub quality_target: f64,
    /// Quality targets of single tasks, which replace `quality_target`.
    pub task_targets: BTreeMap<TaskName, f64>,
    /// Relative weights of cost, latency and exposure in the choice of a version.
    pub weights: ObjectiveWeights,
    /// Limits on the requests of the workspace.
    pub limits: WorkspaceLimits,
    /// What happens to a session whose version was withdrawn.
    pub withdrawn_session: WithdrawnPolicy,
    /// Tasks whose first token may be hedged with a second attempt.
    pub hedged_tasks: BTreeSet<TaskName>,
    /// Whether a request may be answered by a cascade of versions.
    pub cascades: bool,
    /// Maximum shortfall against the quality target, from 0 to 1, at which a cheaper version takes
    /// a share of idempotent requests while the mean stays above the target; 0 disables mixing.
    pub mixing_shortfall: f64,
}

impl Default for WorkspaceSpec {
    fn default() -> Self {
        Self {
            name: WorkspaceName::default(),
            key_digests: Vec::new(),
            allowed: BTreeMap::new(),
            services: BTreeSet::new(),
            quality_target: 0.8,
            task_targets: BTreeMap::new(),
            weights: ObjectiveWeights::default(),
            limits: WorkspaceLimits::default(),
            withdrawn_session: WithdrawnPolicy::Refuse,
            hedged_tasks: BTreeSet::new(),
            cascades: true,
            mixing_shortfall: DEFAULT_MIXING_SHORTFALL,
        }
    }
}

impl WorkspaceSpec {
    /// Returns whether the workspace may use a version.
    ///
    /// ```
    /// use galenamast::state::{VersionKey, WorkspaceSpec};
    ///
    /// let mut workspace = WorkspaceSpec::default();
    /// workspace.allowed.entry("fit".into()).or_default().insert("v1".into());
    /// assert!(workspace.allows(&VersionKey::new("fit", "v1")));
    /// assert!(!workspace.allows(&VersionKey::new("fit", "v2")));
    /// ```
    pub fn allows(&self, key: &VersionKey) -> bool {
        self.allowed
            .get(&key.model)
            .is_some_and(|versions| versions.contains(&key.version))
    }

    /// Returns the quality target that applies to a task.
    pub fn target_for(&self, task: &TaskName) -> f64 {
        self.task_targets
            .get(task)
            .copied()
            .unwrap_or(self.quality_target)
    }
}

/// Relative weights of the objectives of a workspace.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct ObjectiveWeights {
    /// Weight of cost.
    pub cost: f64,
    /// Weight of latency.
    pub latency: f64,
    /// Weight of exposure to versions that may be bad.
    pub exposure: f64,
}

impl Default for ObjectiveWeights {
    fn default() -> Self {
        Self {
            cost: 1.0,
            latency: 1.0,
            exposure: 1.0,
        }
    }
}

/// Limits on the requests of a workspace.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct WorkspaceLimits {
    /// Maximum rate of admitted requests, per second across all entry hosts.
    pub requests_per_second: f64,
    /// Maximum number of requests in flight across all entry hosts.
    pub max_in_flight: u32,
    /// Share of capacity under contention, relative to other workspaces.
    pub share_weight: f64,
    /// Maximum number of retries and hedges per admitted request.
    pub retry_ratio: f64,
}

impl Default for WorkspaceLimits {
    fn default() -> Self {
        Self {
            requests_per_second: 1_000.0,
            max_in_flight: 4_096,
            share_weight: 1.0,
            retry_ratio: 0.1,
        }
    }
}

/// What happens to a session whose version was withdrawn.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WithdrawnPolicy {
    /// The request is refused without being run.
    #[default]
    Refuse,
    /// The session moves to another allowed version, and the answer says so.
    Move,
}
