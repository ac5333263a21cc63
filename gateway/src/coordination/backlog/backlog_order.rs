//! The order of waiting requests.
//!
//! Load pattern: a burst of requests of several urgencies, in which one workspace sends many times
//! its usual load and some requests are much larger than others.

use std::cmp::Ordering;

use galenamast::state::TimePoint;

use crate::coordination::backlog::WaitingRequest;

/// Largest level; the least urgent requests have it.
pub(super) const LAST_LEVEL: u8 = 9;

/// The place of a request among those that wait; the least is next.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct OrderKey {
    /// The level; it falls with the waiting time.
    pub(super) level: u8,
    /// Whether the request can no longer meet its goal.
    pub(super) is_late: bool,
    /// Work that the request's workspace received.
    pub(super) received: f64,
    /// The goal.
    pub(super) goal: TimePoint,
}

impl OrderKey {
    /// Returns the key of a request whose workspace received an amount of work.
    pub(super) fn new(request: &WaitingRequest, received: f64, now: TimePoint) -> Self {
        // Compares in seconds, as a server begins to answer when it has read the prompt.
        let left = request.goal.since(now).as_secs_f64();
        Self {
            level: level_of(request, now),
            is_late: request.goal <= now || left < request.work,
            received,
            goal: request.goal,
        }
    }

    /// Compares two keys.
    pub(super) fn compare(&self, other: &Self) -> Ordering {
        let by_level = self.level.cmp(&other.level);
        let by_class = by_level.then(self.is_late.cmp(&other.is_late));
        let by_work = by_class.then_with(|| self.received.total_cmp(&other.received));
        by_work.then(self.goal.cmp(&other.goal))
    }
}

/// Returns the level of a request: its urgency, less one when half of its time has passed and less
/// one more at three quarters.
pub(super) fn level_of(request: &WaitingRequest, now: TimePoint) -> u8 {
    let total = request.deadline.since(request.since);
    let waited = now.since(request.since);
    let moves = u8::from(waited * 2 >= total) + u8::from(waited * 4 >= total * 3);
    request.urgency.min(LAST_LEVEL).saturating_sub(moves)
}
