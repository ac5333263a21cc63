//! Facts that hosts report to one another about requests that crash servers.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::state::PromptPart;

/// Greatest number of a prompt's parts that are tracked.
const MAX_PARTS: usize = 16;

/// What is held against a request that was unanswered on a crashed server.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashSuspect {
    /// Fingerprint of the request.
    pub fingerprint: u64,
    /// Digests of the prompt's parts, in order, without the last, which belongs to the request.
    pub parts: Vec<u64>,
}

impl CrashSuspect {
    /// Creates the suspect of a request.
    ///
    /// ```
    /// use galenamast_gateway::state::{CrashSuspect, PromptPart};
    ///
    /// let parts = [7, 8, 9].map(|digest| PromptPart { digest, tokens: 100 });
    /// assert_eq!(CrashSuspect::new(1, &parts).parts, [7, 8]);
    /// ```
    pub fn new(fingerprint: u64, parts: &[PromptPart]) -> Self {
        let shared = parts.split_last().map_or(parts, |(_, shared)| shared);
        let digests = shared.iter().take(MAX_PARTS).map(|part| part.digest);
        Self {
            fingerprint,
            parts: digests.collect(),
        }
    }
}

/// Report of a server that crashed while a request was unanswered there.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Identifier of the server.
    pub server: Arc<str>,
    /// The request.
    pub suspect: CrashSuspect,
}

/// Report of a prompt part that crashed servers or was answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartReport {
    /// Digest of the part.
    pub digest: u64,
    /// Number of servers that requests with it crashed.
    pub crashes: u32,
    /// Time since the last crash or the last answer, in milliseconds.
    pub age_ms: u32,
}

/// Report of the crashes that are held against a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestReport {
    /// Fingerprint of the request.
    pub fingerprint: u64,
    /// The crashes, the latest first.
    pub crashes: Vec<ServerCrash>,
}

/// A crash of a server, as other hosts are told of it later.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerCrash {
    /// Identifier of the server.
    pub server: Arc<str>,
    /// Time since the crash, in milliseconds.
    pub age_ms: u32,
}
