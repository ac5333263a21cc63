//! Bounds how fast one host releases waiting requests.
//!
//! Load pattern: many hosts with a backlog see the same server's queue fall below the bound. Load
//! reports are a tenth of a second to seconds old, so that each of them would fill it alone.

use std::time::Duration;

use galenamast::state::TimePoint;

/// Settings of the pacer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PacerSettings {
    /// Factor on the host's part of the predicted capacity. It is above 1 because a wrong forecast
    /// must not leave servers idle; the bound on the servers' queues corrects what is too much.
    pub margin: f64,
    /// Time for which unused capacity is kept.
    pub burst: Duration,
    /// Largest factor by which a host goes faster while the servers' queues are shorter than the
    /// bound. Its part of the capacity is too small if hosts that do not report are idle.
    pub max_speed_up: f64,
}

impl Default for PacerSettings {
    fn default() -> Self {
        Self {
            margin: 1.25,
            burst: Duration::from_millis(100),
            max_speed_up: 8.0,
        }
    }
}

impl PacerSettings {
    /// Returns the factor on a host's rate while the servers' queues are `mean_queue` seconds long
    /// and may be `longest`.
    ///
    /// ```
    /// use galenamast_gateway::coordination::backlog::PacerSettings;
    ///
    /// let settings = PacerSettings::default();
    /// assert_eq!(settings.speed_up(0.5, 0.25), 1.0);
    /// assert_eq!(settings.speed_up(0.125, 0.25), 2.0);
    /// assert_eq!(settings.speed_up(0.0, 0.25), 8.0);
    /// ```
    pub fn speed_up(&self, mean_queue: f64, longest: f64) -> f64 {
        let factor = longest / mean_queue.max(f64::MIN_POSITIVE);
        factor.clamp(1.0, self.max_speed_up)
    }
}

/// Releases work at no more than a rate.
#[derive(Clone, Copy, Debug)]
pub struct ReleasePacer {
    settings: PacerSettings,
    credit: f64,
    at: TimePoint,
}

impl ReleasePacer {
    /// Creates a pacer that may release a request at once.
    ///
    /// ```
    /// use galenamast::state::TimePoint;
    /// use galenamast_gateway::coordination::backlog::{PacerSettings, ReleasePacer};
    ///
    /// let now = TimePoint::from_millis(5);
    /// let mut pacer = ReleasePacer::new(PacerSettings::default(), now);
    /// assert!(pacer.may_release(1.0, now));
    /// pacer.record_release(0.4);
    /// assert!(!pacer.may_release(1.0, now));
    /// assert!(pacer.may_release(1.0, TimePoint::from_millis(405)));
    /// ```
    pub fn new(settings: PacerSettings, now: TimePoint) -> Self {
        Self {
            settings,
            credit: 0.0,
            at: now,
        }
    }

    /// Returns whether a request may be released at a rate of `rate` seconds of work per second.
    pub fn may_release(&mut self, rate: f64, now: TimePoint) -> bool {
        let earned = now.since(self.at).as_secs_f64() * rate * self.settings.margin;
        let most = rate * self.settings.margin * self.settings.burst.as_secs_f64();
        self.credit = (self.credit + earned).min(most);
        self.at = now;
        self.credit >= 0.0
    }

    /// Counts the work of a released request.
    pub fn record_release(&mut self, work: f64) {
        self.credit -= work;
    }
}
