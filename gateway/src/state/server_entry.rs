//! Backend servers as the platform lists them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// A backend server.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerEntry {
    /// Identifier of the server process; it changes with a restart.
    pub id: Arc<str>,
    /// Service that it serves.
    pub service: Arc<str>,
    /// Address that it accepts connections on.
    pub address: SocketAddr,
    /// Failure domain of the server.
    pub domain: Arc<str>,
    /// Version of its software.
    pub version: Arc<str>,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it is shutting down and accepts no new work.
    pub draining: bool,
    /// Unix time at which the server started, in milliseconds, if stated.
    pub started_ms: Option<u64>,
    /// Time for which it tolerated few requests, as of its last statement; zero if it is warm.
    pub cold_for: Duration,
}
