//! Facts that hosts report to one another.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::state::{GradeCounts, PaceCounts};

/// Counts of a version on trial by one host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrialReport {
    /// Service of the version.
    pub service: Arc<str>,
    /// The version.
    pub target: Arc<str>,
    /// Counts of the version's answers.
    pub counts: GradeCounts,
    /// Counts of the version's answers by pace.
    pub paces: PaceCounts,
}

/// What a server stated in an answer to one host.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DemandReport {
    /// Identifier of the server.
    pub server: Arc<str>,
    /// Unix time of the server's start in milliseconds, if stated.
    pub started_ms: Option<u64>,
    /// Requests per second that it takes from all hosts together; `None` if it states no limit.
    pub limit: Option<f64>,
    /// Whether it leaves.
    pub leaving: bool,
    /// Time since the answer, in milliseconds.
    pub age_ms: u32,
    /// Requests that it can refuse in a second without falling over; `None` if it is not brittle.
    pub brittle: Option<u32>,
    /// Whether it is brittle and has just refused a request for want of room.
    pub full: bool,
}

/// Where other hosts can reach a host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostPresence {
    /// Name of the host.
    pub host: Arc<str>,
    /// Address for datagrams.
    pub address: SocketAddr,
    /// Failure domain of the host.
    pub domain: Arc<str>,
    /// Version of the messages between hosts that it sends; 1 if it states none.
    pub wire_version: u8,
}
