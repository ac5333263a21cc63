//! Settings of the quarantine of requests that crash servers.

use std::time::Duration;

/// Settings of the quarantine of requests that crash servers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CrashSettings {
    /// Number of crashed servers from which a request is refused.
    pub request_crashes: usize,
    /// Number of crashed servers from which requests with a prompt part are refused.
    pub part_crashes: usize,
    /// The same for a part that was part of an answered request before.
    pub answered_part_crashes: usize,
    /// Time for which a crash counts against requests and parts.
    pub evidence_time: Duration,
    /// Time for which a refused part stays refused after its last crash.
    pub refusal_time: Duration,
    /// Period in which one host may send one request with a refused part to find out whether it still
    /// crashes servers.
    pub trial_interval: Duration,
    /// Greatest number of crashes that are remembered; the oldest are dropped first.
    pub max_crashes: usize,
    /// Greatest number of suspects of one crash.
    pub max_suspects: usize,
    /// Greatest number of answered parts, and of refused ones, that are remembered; the oldest are
    /// dropped first.
    pub max_parts: usize,
    /// Time within which losses of several servers are assumed to have one cause.
    pub correlation_window: Duration,
    /// Shortest time after which a crashed server may crash again under its identifier.
    pub restart_time: Duration,
}

impl Default for CrashSettings {
    fn default() -> Self {
        Self {
            request_crashes: 2,
            part_crashes: 3,
            answered_part_crashes: 6,
            evidence_time: Duration::from_secs(300),
            refusal_time: Duration::from_secs(3_600),
            trial_interval: Duration::from_secs(60),
            max_crashes: 128,
            max_suspects: 64,
            max_parts: 4_096,
            correlation_window: Duration::from_millis(150),
            restart_time: Duration::from_secs(1),
        }
    }
}
