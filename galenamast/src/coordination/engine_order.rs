//! Orders to model engines, and the state that engines report.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::state::{HostName, VersionKey};

/// Order that sets the versions that an engine is to serve. Orders are idempotent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// Fencing number: term of the lease under which the order is issued.
    pub term: u64,
    /// Entry host that issues the order.
    pub holder: HostName,
    /// Versions that the engine is to serve; it unloads all others.
    pub versions: BTreeSet<VersionKey>,
}

/// State that an engine reports.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct EngineState {
    /// Fencing number of the last accepted order.
    pub term: u64,
    /// Versions in the last accepted order.
    pub ordered: BTreeSet<VersionKey>,
    /// Versions that are loaded and served.
    pub loaded: BTreeSet<VersionKey>,
}
