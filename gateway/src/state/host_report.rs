//! What hosts tell one another.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::state::GradeCounts;

/// A request that crashed servers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Fingerprint of the request.
    pub fingerprint: u64,
    /// Servers that it crashed.
    pub crashes: u32,
}

/// What a host has counted of a version on trial.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrialReport {
    /// Service of the version.
    pub service: Arc<str>,
    /// The version.
    pub target: Arc<str>,
    /// Its answers.
    pub counts: GradeCounts,
}

/// Where a host is reached by the others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostPresence {
    /// Name of the host.
    pub host: Arc<str>,
    /// Address for datagrams.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: Arc<str>,
}
