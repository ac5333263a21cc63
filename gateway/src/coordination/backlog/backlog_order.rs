//! The order of waiting requests.
//!
//! Load pattern: a burst of requests of several urgencies, in which one workspace sends many times
//! its usual load and some requests are much larger than others.

use std::time::Duration;

use galenamast::state::TimePoint;

use crate::coordination::backlog::WaitingRequest;

/// Largest level; the least urgent requests have it.
pub(super) const LAST_LEVEL: u8 = 9;

/// The place of a request among those that wait; the least is next. Holds its level and whether it is
/// late, the work that its workspace received, and its goal.
pub(super) type OrderKey = (u8, u64, TimePoint);

/// The times at which a request's place changes. They are computed once, because the order is looked
/// at far more often than requests come.
#[derive(Clone, Copy, Debug)]
pub(super) struct OrderTimes {
    urgency: u8,
    first_move: TimePoint,
    second_move: TimePoint,
    late_at: TimePoint,
    goal: TimePoint,
}

impl OrderTimes {
    /// Returns the times of a request.
    pub(super) fn new(request: &WaitingRequest) -> Self {
        let total = request.deadline.since(request.since);
        // A server begins to answer when it has read the prompt.
        let reading = Duration::try_from_secs_f64(request.work).unwrap_or_default();
        Self {
            urgency: request.urgency.min(LAST_LEVEL),
            first_move: request.since + total / 2,
            second_move: request.since + total / 4 * 3,
            late_at: request.goal - reading,
            goal: request.goal,
        }
    }

    /// Returns the level: the urgency, less one when half of the request's time has passed and less
    /// one more at three quarters.
    pub(super) fn level(&self, now: TimePoint) -> u8 {
        let moves = u8::from(now >= self.first_move) + u8::from(now >= self.second_move);
        self.urgency.saturating_sub(moves)
    }

    /// Returns whether the request can no longer meet its goal.
    pub(super) fn is_late(&self, now: TimePoint) -> bool {
        now > self.late_at
    }

    /// Returns the time until the request has moved up twice.
    pub(super) fn moved_in(&self, now: TimePoint) -> Duration {
        self.second_move.since(now)
    }

    /// Returns the key for the order, given the work that the request's workspace received.
    pub(super) fn key(&self, received: f64, now: TimePoint) -> OrderKey {
        let class = self.level(now) * 2 + u8::from(self.is_late(now));
        // Numbers that are not negative have the order of their bits.
        (class, received.max(0.0).to_bits(), self.goal)
    }
}

/// Returns the level of a key.
pub(super) fn level_of(key: &OrderKey) -> u8 {
    key.0 / 2
}
