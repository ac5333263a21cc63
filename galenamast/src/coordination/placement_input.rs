//! What the placement of versions on engines is planned from, and the plan.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::state::{PoolName, ServerLifecycle, ServerName, VersionKey};

/// A model engine of the failure domain, as it was last read.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PlacementServer {
    /// Name of the engine.
    pub name: ServerName,
    /// Address as `ip:port`.
    pub address: String,
    /// Pool of the engine.
    pub pool: PoolName,
    /// Whether the engine takes new work.
    pub lifecycle: ServerLifecycle,
    /// Versions that the engine serves.
    pub loaded: BTreeSet<VersionKey>,
    /// Versions that the engine was last ordered to serve.
    pub ordered: BTreeSet<VersionKey>,
}

impl PlacementServer {
    /// Returns the versions that the engine was ordered to load and does not serve yet.
    pub fn loading(&self) -> impl Iterator<Item = &VersionKey> {
        self.ordered.difference(&self.loaded)
    }
}

/// Settings of placement in one failure domain.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlacementSettings {
    /// Part of the slots of a version's replicas that demand may fill, from 0 to 1.
    pub target_utilization: f64,
    /// Greatest number of loads under way, which keeps to the rate of the weight store.
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

/// Requests that run or wait at once, by version.
pub type VersionDemand = BTreeMap<VersionKey, f64>;

/// What is to change on an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MoveKind {
    /// The version is loaded.
    Load,
    /// The version is unloaded.
    Unload,
}

/// Why an engine changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MoveReason {
    /// The version has fewer replicas than the configured minimum.
    BelowMinimum,
    /// The version has fewer replicas than its demand or roll-out needs.
    Demand,
    /// The version takes no new work.
    Withdrawn,
    /// The version moves to another engine to make room where it was.
    Relocation,
    /// The version has replicas to spare and another one needs the memory.
    Surplus,
}

/// One change of one engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementMove {
    /// Engine that changes.
    pub server: ServerName,
    /// Version that is loaded or unloaded.
    pub version: VersionKey,
    /// What is to change.
    pub kind: MoveKind,
    /// Why it is to change.
    pub reason: MoveReason,
}

/// Replicas of a version in the failure domain.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaCount {
    /// Lowest number that the configuration asks for.
    pub minimum: usize,
    /// Number that demand and roll-outs need, at least the minimum.
    pub needed: usize,
    /// Number that serves now.
    pub loaded: usize,
    /// Number that serves or is being loaded after the plan.
    pub planned: usize,
}

/// What the engines of a failure domain are to serve.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PlacementPlan {
    /// Versions that each engine is to serve; engines that stay as ordered are included.
    pub desired: BTreeMap<ServerName, BTreeSet<VersionKey>>,
    /// Changes that lead there.
    pub moves: Vec<PlacementMove>,
    /// Replicas of each version.
    pub replicas: BTreeMap<VersionKey, ReplicaCount>,
}

impl PlacementPlan {
    /// Returns whether a version serves with as many replicas as it needs.
    pub fn has_capacity(&self, version: &VersionKey) -> bool {
        let count = self.replicas.get(version);
        count.is_some_and(|count| count.loaded >= count.needed)
    }
}
