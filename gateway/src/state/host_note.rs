//! What hosts tell one another.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::state::GradeCounts;

/// A request that crashed servers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashNote {
    /// Fingerprint of the request.
    pub fingerprint: u64,
    /// Servers that it crashed.
    pub crashes: u32,
}

/// What a host has counted of a version on trial.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TrialNote {
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
    /// Address for datagrams.
    pub address: SocketAddr,
    /// Failure domain.
    pub domain: Arc<str>,
}

/// What a host tells the others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NoteContent {
    /// A request crashed servers.
    Crash(CrashNote),
    /// A version on trial answered badly.
    Trial(TrialNote),
    /// The host serves.
    Presence(HostPresence),
}

/// A note of a host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostNote {
    /// The host that wrote it.
    pub host: Arc<str>,
    /// What it tells.
    pub content: NoteContent,
}
