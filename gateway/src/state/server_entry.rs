//! Backend servers as the platform lists them.

use std::net::SocketAddr;
use std::sync::Arc;

/// A backend server.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerEntry {
    /// Identifier of this lifetime of the server.
    pub id: Arc<str>,
    /// Service that it serves.
    pub service: Arc<str>,
    /// Address that it accepts connections on.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: Arc<str>,
    /// Version of its software.
    pub version: Arc<str>,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it leaves.
    pub draining: bool,
    /// Unix time of its start in milliseconds, if stated.
    pub started_ms: Option<u64>,
}
