//! What hosts report to one another about cold servers.

use serde::{Deserialize, Serialize};

/// Report of a server that is cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ColdReport {
    /// Short identifier of the server.
    pub server: u32,
    /// Unix time of the server's start in milliseconds, if stated.
    pub started_ms: Option<u64>,
    /// Time for which it stays cold, in milliseconds.
    pub remaining_ms: u32,
}
