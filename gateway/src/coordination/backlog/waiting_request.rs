//! A request that waits in a host's queue, and what is said about it.

use std::sync::Arc;
use std::time::Duration;

use galenamast::state::TimePoint;

/// Identifies a request in one queue. Later requests have larger tickets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket(pub u64);

/// A request that waits for its turn.
#[derive(Clone, Debug, PartialEq)]
pub struct WaitingRequest {
    /// Urgency; 0 is served first, 9 last.
    pub urgency: u8,
    /// Workspace of the caller; empty if it has none.
    pub workspace: Arc<str>,
    /// Work in seconds on a typical server.
    pub work: f64,
    /// Start of the time that the caller allows, that of earlier requests it replaces included.
    pub since: TimePoint,
    /// When the answer has to begin for its full value.
    pub goal: TimePoint,
    /// When the answer is of no use any more.
    pub deadline: TimePoint,
    /// Size of the body held in memory, in bytes.
    pub bytes: usize,
}

impl WaitingRequest {
    /// Returns the start of the caller's time and the goal, counted back from the deadline. A caller
    /// that returns after a rejection has less time left, so that its goal is nearer than that of a
    /// new request.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use galenamast::state::TimePoint;
    /// use galenamast_gateway::coordination::backlog::WaitingRequest;
    ///
    /// let (limit, goal) = (Duration::from_secs(8), Duration::from_secs(2));
    /// let times = WaitingRequest::times_before(TimePoint::from_millis(19_000), limit, goal);
    /// assert_eq!(times, (TimePoint::from_millis(11_000), TimePoint::from_millis(13_000)));
    /// ```
    pub fn times_before(
        deadline: TimePoint,
        time_limit: Duration,
        goal: Duration,
    ) -> (TimePoint, TimePoint) {
        let since = deadline - time_limit;
        (since, deadline - time_limit.saturating_sub(goal))
    }
}

/// Why a request does not enter a queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BacklogRefusal {
    /// The queue is full, and the request would be the last in it.
    Full {
        /// When the caller should return.
        retry_in: Duration,
    },
}

/// Requests of one level that wait.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct BacklogLevel {
    /// The level; 0 is served first.
    pub level: u8,
    /// Number of requests.
    pub count: u32,
    /// Their work in seconds on a typical server.
    pub work: f64,
}

/// The place of a request in a queue.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BacklogPlace {
    /// Number of requests before it.
    pub position: usize,
    /// Their work in seconds on a typical server.
    pub work_ahead: f64,
    /// Level of the request.
    pub level: u8,
}
