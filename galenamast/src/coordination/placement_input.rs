//! Input and result of planning which engines serve which versions.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::state::{PoolName, ServerLifecycle, ServerName, VersionKey};

/// Model engine of the failure domain, as last read.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PlacementServer {
    /// Name of the engine.
    pub name: ServerName,
    /// Address as `ip:port`.
    pub address: String,
    /// Pool of the engine.
    pub pool: PoolName,
    /// Lifecycle state; only a live engine takes new requests.
    pub lifecycle: ServerLifecycle,
    /// Versions that the engine serves.
    pub loaded: BTreeSet<VersionKey>,
    /// Versions that the last order told the engine to serve.
    pub ordered: BTreeSet<VersionKey>,
}

impl PlacementServer {
    /// Returns the versions that the engine was ordered to serve and does not serve yet.
    pub fn loading(&self) -> impl Iterator<Item = &VersionKey> {
        self.ordered.difference(&self.loaded)
    }
}

/// Settings of placement in one failure domain.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlacementSettings {
    /// Fraction of the slots of a version's replicas that demand may occupy, from 0 to 1.
    pub target_utilization: f64,
    /// Maximum number of concurrent loads, so that the weight store's rate is not exceeded.
    pub max_loads: usize,
}

impl Default for PlacementSettings {
    fn default() -> Self {
        Self {
            target_utilization: 0.7,
            max_loads: 2,
        }
    }
}

/// Number of running and waiting requests by version.
pub type VersionDemand = BTreeMap<VersionKey, f64>;

/// Kind of change on an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MoveKind {
    /// The version is loaded.
    Load,
    /// The version is unloaded.
    Unload,
}

/// Reason for a change on an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MoveReason {
    /// The version has fewer replicas than the configured minimum.
    BelowMinimum,
    /// The version has fewer replicas than its demand or roll-out requires.
    Demand,
    /// The version takes no new requests or is not configured.
    Withdrawn,
    /// The version moves to another engine to free memory on its current one.
    Relocation,
    /// The version has surplus replicas, and another version needs the memory.
    Surplus,
}

/// Change of one version on one engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementMove {
    /// Engine that changes.
    pub server: ServerName,
    /// Version that is loaded or unloaded.
    pub version: VersionKey,
    /// Whether the version is loaded or unloaded.
    pub kind: MoveKind,
    /// Reason for the change.
    pub reason: MoveReason,
}

/// Number of replicas of a version in the failure domain.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaCount {
    /// Minimum that the configuration requires.
    pub minimum: usize,
    /// Number required for demand and roll-outs, at least the minimum.
    pub needed: usize,
    /// Number that is loaded now.
    pub loaded: usize,
    /// Number that is loaded or loading once the plan is applied.
    pub planned: usize,
}

/// Versions that the engines of a failure domain are to serve, and the changes needed for it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PlacementPlan {
    /// Versions that each live engine is to serve, including engines without changes.
    pub desired: BTreeMap<ServerName, BTreeSet<VersionKey>>,
    /// Changes that lead to the desired state.
    pub moves: Vec<PlacementMove>,
    /// Replica counts of each version.
    pub replicas: BTreeMap<VersionKey, ReplicaCount>,
}

impl PlacementPlan {
    /// Returns whether a version has as many loaded replicas as it needs.
    pub fn has_capacity(&self, version: &VersionKey) -> bool {
        let count = self.replicas.get(version);
        count.is_some_and(|count| count.loaded >= count.needed)
    }
}
