//! Settings of a host's queue of requests.

use std::time::Duration;

use crate::coordination::backlog::{FleetSettings, PacerSettings, TurnSettings};

/// Settings of a host's queues of requests and of the view of them across hosts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BacklogSettings {
    /// Largest number of requests in one queue.
    pub max_requests: usize,
    /// Largest total size of the bodies that the requests of one queue hold, in bytes.
    pub max_bytes: usize,
    /// Half-life of the work that counts as received by a workspace.
    pub work_half_life: Duration,
    /// Every so many releases within a level, the oldest late request is next.
    pub late_interval: u32,
    /// Shortest pause that a rejected caller is told to make.
    pub min_retry_pause: Duration,
    /// Part of a caller's time left after which it should have returned. `Retry-After` is spread by
    /// half to both sides, so this is two thirds of the third that the requirement allows.
    pub max_retry_part: f64,
    /// Interval between forecasts of which requests will not be reached.
    pub expiry_interval: Duration,
    /// Whether the head may be sent.
    pub turn: TurnSettings,
    /// How fast a host releases requests.
    pub pacer: PacerSettings,
    /// What other hosts hold.
    pub fleet: FleetSettings,
}

impl Default for BacklogSettings {
    fn default() -> Self {
        Self {
            max_requests: 512,
            max_bytes: 16 * 1_024 * 1_024,
            work_half_life: Duration::from_secs(5),
            late_interval: 5,
            min_retry_pause: Duration::from_millis(100),
            max_retry_part: 2.0 / 9.0,
            expiry_interval: Duration::from_millis(50),
            turn: TurnSettings::default(),
            pacer: PacerSettings::default(),
            fleet: FleetSettings::default(),
        }
    }
}
