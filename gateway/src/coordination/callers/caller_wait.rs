//! Decides how long a connection waits for the next request of its caller.
//!
//! Covers callers that keep connections while configurations change the limits: a connection must not
//! close sooner than a caller expects who follows the newest configuration, or the one in force when it
//! last used the connection.

use std::time::Duration;

use galenamast::state::TimePoint;

use crate::state::CallerLimits;

/// What a connection waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitStage {
    /// The first byte of a request.
    Idle,
    /// The rest of the head of a request.
    Head,
}

/// The time for which a connection has waited in one stage.
///
/// ```
/// use std::time::Duration;
///
/// use galenamast::state::TimePoint;
/// use galenamast_gateway::coordination::callers::{CallerWait, WaitStage};
/// use galenamast_gateway::state::CallerLimits;
///
/// let limits = |seconds| CallerLimits {
///     idle_timeout: Duration::from_secs(seconds),
///     ..CallerLimits::default()
/// };
/// let mut wait = CallerWait::new(WaitStage::Idle, TimePoint::ZERO);
/// let after = |seconds| TimePoint::ZERO + Duration::from_secs(seconds);
/// assert_eq!(wait.ends_at(&limits(5)), after(5));
/// assert_eq!(wait.ends_at(&limits(15)), after(15));
/// assert_eq!(wait.ends_at(&limits(2)), after(15));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerWait {
    stage: WaitStage,
    started_at: TimePoint,
    // The longest limit that was in force during the wait.
    limit: Duration,
}

impl CallerWait {
    /// Creates a wait that starts at `started_at`.
    pub const fn new(stage: WaitStage, started_at: TimePoint) -> Self {
        Self {
            stage,
            started_at,
            limit: Duration::ZERO,
        }
    }

    /// Returns what the connection waits for.
    pub const fn stage(&self) -> WaitStage {
        self.stage
    }

    /// Returns when the wait ends, given the limits that are in force. A limit that is lowered holds for
    /// later waits only, as the caller may not know it yet.
    pub fn ends_at(&mut self, limits: &CallerLimits) -> TimePoint {
        let limit = match self.stage {
            WaitStage::Idle => limits.idle_timeout,
            WaitStage::Head => limits.header_timeout,
        };
        self.limit = self.limit.max(limit);
        self.started_at + self.limit
    }
}
