//! The platform's list of backend servers.

use serde::{Deserialize, Serialize};

use crate::state::{DomainName, PoolName, ServerName};

/// The host list, which lags behind what is live.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct HostList {
    /// Listed backend servers.
    pub hosts: Vec<HostListEntry>,
}

/// A listed backend server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HostListEntry {
    /// Name of the server.
    pub name: ServerName,
    /// Address as `ip:port`.
    pub address: String,
    /// Failure domain of the server.
    pub domain: DomainName,
    /// Pool of the server.
    pub pool: PoolName,
    /// Number that grows each time the server restarts.
    #[serde(default)]
    pub incarnation: u64,
    /// Whether the server is leaving.
    #[serde(default)]
    pub state: HostState,
}

/// Whether a listed server stays.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// The server takes work.
    #[default]
    Live,
    /// The server is leaving.
    Leaving,
}
