//! The rate of control messages that one entry host sends.

use std::time::Duration;

use crate::state::TimePoint;

/// Time whose bytes the budget saves up while it is unused.
const BURST_TIME: f64 = 20.0;
/// Share of the saved bytes that soft state leaves for membership and requests.
const SOFT_RESERVE: f64 = 0.3;

/// Token bucket in bytes, which a large reply may overdraw once.
#[derive(Clone, Debug)]
pub struct ByteBudget {
    rate: f64,
    burst: f64,
    saved: f64,
    refilled: TimePoint,
}

impl ByteBudget {
    /// Creates a full budget that refills at a rate in bytes per second.
    pub fn new(bytes_per_second: u32, now: TimePoint) -> Self {
        let rate = f64::from(bytes_per_second.max(1));
        let burst = rate * BURST_TIME;
        Self {
            rate,
            burst,
            saved: burst,
            refilled: now,
        }
    }

    /// Takes the bytes of a message that may be lost, if they are there.
    ///
    /// ```
    /// use galenamast::coordination::ByteBudget;
    /// use galenamast::state::TimePoint;
    ///
    /// let mut budget = ByteBudget::new(100, TimePoint::ZERO);
    /// assert!(budget.take(1_000, false, TimePoint::ZERO));
    /// assert!(!budget.take(1_000, true, TimePoint::ZERO), "soft state leaves a reserve");
    /// assert!(budget.take(1_000, false, TimePoint::ZERO));
    /// assert!(!budget.take(1, false, TimePoint::ZERO));
    /// ```
    pub fn take(&mut self, bytes: usize, soft: bool, now: TimePoint) -> bool {
        self.refill(now);
        let reserve = if soft { self.burst * SOFT_RESERVE } else { 0.0 };
        let bytes = bytes as f64;
        if self.saved - bytes < reserve {
            return false;
        }
        self.saved -= bytes;
        true
    }

    /// Takes the bytes of a message that must not be lost, or returns how long it has to wait.
    ///
    /// A message larger than what is saved delays the messages that follow it.
    ///
    /// # Errors
    ///
    /// Returns the time until the budget is out of debt.
    pub fn overdraw(&mut self, bytes: usize, now: TimePoint) -> Result<(), Duration> {
        self.refill(now);
        if self.saved < 0.0 {
            let wait = Duration::from_secs_f64(-self.saved / self.rate);
            return Err(wait + Duration::from_millis(1));
        }
        self.saved -= bytes as f64;
        Ok(())
    }

    /// Adds the bytes of the time since the last refill.
    fn refill(&mut self, now: TimePoint) {
        let elapsed = now.since(self.refilled).as_secs_f64();
        self.saved = (self.saved + elapsed * self.rate).min(self.burst);
        self.refilled = self.refilled.max(now);
    }
}
