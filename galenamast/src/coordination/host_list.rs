//! The platform's list of backend servers.

use serde::{Deserialize, Serialize};

use crate::state::{DomainName, PoolName, ServerName};

/// List of backend servers. It may lag behind the servers that are actually running.
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
    /// Number that increases each time the server restarts; 0 if the platform omits it.
    #[serde(default)]
    pub incarnation: u64,
    /// Whether the server is leaving; live if the platform omits it.
    #[serde(default)]
    pub state: HostState,
}

/// State of a listed server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// The server accepts work.
    #[default]
    Live,
    /// The server is about to stop.
    Leaving,
}
