//! The record of one backend server that routing decisions read.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::state::in_flight_counter::InFlightCounter;
use crate::state::names::{DomainName, PoolName, ServerName};
use crate::state::time_point::TimePoint;
use crate::state::version_key::VersionKey;

/// Address, lifecycle state and load of a backend server.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerRecord {
    /// Name of the server.
    pub name: ServerName,
    /// Address as `ip:port`.
    pub address: String,
    /// Failure domain of the server.
    pub domain: DomainName,
    /// Pool of the server.
    pub pool: PoolName,
    /// Number that grows each time the server restarts.
    pub incarnation: u64,
    /// Lifecycle state, which decides whether the server takes new work.
    pub lifecycle: ServerLifecycle,
    /// Versions that the server has loaded; empty for a plain service.
    pub versions: BTreeSet<VersionKey>,
    /// Load that the server last reported.
    pub load: ServerLoad,
    /// Requests of this entry host in flight on the server.
    pub local_in_flight: u32,
    /// Requests that this entry host had in flight when the load was reported.
    pub local_at_report: u32,
    /// When the load report arrived.
    pub reported_at: TimePoint,
    /// Moving average of the time to first byte, in microseconds; 0 if none was measured.
    pub latency_micros: u64,
    /// Live count of this entry host's requests in flight, shared between copies of the record.
    ///
    /// Decisions read the greater of this and `local_in_flight`.
    pub in_flight: InFlightCounter,
}

impl Default for ServerRecord {
    fn default() -> Self {
        Self {
            name: ServerName::default(),
            address: String::new(),
            domain: DomainName::default(),
            pool: PoolName::default(),
            incarnation: 0,
            lifecycle: ServerLifecycle::Live,
            versions: BTreeSet::new(),
            load: ServerLoad::default(),
            local_in_flight: 0,
            local_at_report: 0,
            reported_at: TimePoint::ZERO,
            latency_micros: 0,
            in_flight: InFlightCounter::default(),
        }
    }
}

/// Load that a backend server reports about itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ServerLoad {
    /// Number of requests that run.
    pub running: u32,
    /// Number of requests that wait.
    pub waiting: u32,
    /// Fraction of the KV cache in use, in thousandths.
    pub cache_used: u32,
}

/// Lifecycle state of a backend server, which decides whether it takes new work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServerLifecycle {
    /// The state is not known yet; the server is being probed.
    Probing,
    /// The server takes new work.
    #[default]
    Live,
    /// The server failed or stopped responding; it takes work only when no live server can.
    Suspect,
    /// The server is leaving or was drained by an operator; it finishes what it runs.
    Draining,
    /// The server has left.
    Gone,
}
