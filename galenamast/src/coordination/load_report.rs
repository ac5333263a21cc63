//! The load report of a backend server.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::state::{ServerLoad, VersionKey};

/// Load report of a backend server.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct LoadReport {
    /// Number that grows each time the server restarts; zero if the server states none.
    pub incarnation: u64,
    /// Whether the server is leaving.
    pub draining: bool,
    /// Load of the server.
    #[serde(flatten)]
    pub load: ServerLoad,
    /// Versions that the server has loaded.
    pub versions: BTreeSet<VersionKey>,
}
