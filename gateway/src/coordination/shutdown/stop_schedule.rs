//! Decides which requests a stopping host still admits, and when it gives its last answers.
//!
//! Covers hosts that are stopped under load, one after the other: the load balancer notices late and falls
//! back to stopping hosts when few others are ready, and callers go on using their connections.

use std::time::Duration;

use galenamast::state::TimePoint;

/// Time before the end of a stop in which the last answers are written.
const FINAL_ANSWER_TIME: Duration = Duration::from_millis(150);

/// Times of a stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopSettings {
    /// Time from the stop signal until the process ends.
    pub grace_period: Duration,
    /// Time from the stop signal during which all requests are admitted, since the load balancer still
    /// sends callers here.
    pub balancer_lag: Duration,
}

impl Default for StopSettings {
    fn default() -> Self {
        Self {
            grace_period: Duration::from_secs(8),
            balancer_lag: Duration::from_millis(2_400),
        }
    }
}

/// The course of a stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopSchedule {
    signalled_at: TimePoint,
    settings: StopSettings,
}

impl StopSchedule {
    /// Creates the course of a stop from the time of its signal.
    pub const fn new(signalled_at: TimePoint, settings: StopSettings) -> Self {
        Self {
            signalled_at,
            settings,
        }
    }

    /// Returns when the stop signal arrived.
    pub const fn signalled_at(&self) -> TimePoint {
        self.signalled_at
    }

    /// Returns when the load balancer is expected to send no callers any more.
    pub fn drains_at(&self) -> TimePoint {
        (self.signalled_at + self.settings.balancer_lag).min(self.answers_until())
    }

    /// Returns when the process ends.
    pub fn ends_at(&self) -> TimePoint {
        self.signalled_at + self.settings.grace_period
    }

    /// Returns when requests that are not answered yet get their last answer.
    pub fn answers_until(&self) -> TimePoint {
        (self.ends_at() - FINAL_ANSWER_TIME).max(self.signalled_at)
    }

    /// Returns whether a request with this deadline is admitted. Once the load balancer knows of the stop,
    /// the request must be able to use all its time before the process ends.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use galenamast::state::TimePoint;
    /// use galenamast_gateway::coordination::shutdown::{StopSchedule, StopSettings};
    ///
    /// let at = |seconds| TimePoint::ZERO + Duration::from_secs(seconds);
    /// let schedule = StopSchedule::new(at(10), StopSettings::default());
    /// assert!(schedule.admits(at(40), at(11)));
    /// assert!(schedule.admits(at(17), at(14)));
    /// assert!(!schedule.admits(at(19), at(14)));
    /// ```
    pub fn admits(&self, deadline: TimePoint, now: TimePoint) -> bool {
        now < self.drains_at() || deadline <= self.answers_until()
    }
}
