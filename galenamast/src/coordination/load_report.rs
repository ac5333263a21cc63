//! Load report of a backend server.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::state::{ServerLoad, VersionKey};

/// Load report that a backend server returns when it is polled.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct LoadReport {
    /// Number that grows with each restart of the server; zero if the server reports none.
    pub incarnation: u64,
    /// Whether the server is draining before it leaves.
    pub draining: bool,
    /// Current load of the server.
    #[serde(flatten)]
    pub load: ServerLoad,
    /// Versions that the server has loaded; empty for a plain service.
    pub versions: BTreeSet<VersionKey>,
}
