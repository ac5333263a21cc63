//! Orders to model engines and what an engine says of them.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::state::{HostName, VersionKey};

/// Tells an engine which versions it is to serve; repeating an order is harmless.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// Fencing number: the term of the lease under which the order is given.
    pub term: u64,
    /// Entry host that gives the order.
    pub holder: HostName,
    /// Versions that the engine is to serve; others are unloaded.
    pub versions: BTreeSet<VersionKey>,
}

/// What an engine says of its orders.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct EngineState {
    /// Fencing number of the last order that was taken.
    pub term: u64,
    /// Versions that the engine was last ordered to serve.
    pub ordered: BTreeSet<VersionKey>,
    /// Versions that the engine serves.
    pub loaded: BTreeSet<VersionKey>,
}
