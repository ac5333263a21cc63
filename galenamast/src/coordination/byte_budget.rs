//! Rate limit of the control messages that one entry host sends.

use std::time::Duration;

use crate::state::TimePoint;

/// Burst size: seconds of unused rate that the budget accumulates.
const BURST_SECONDS: f64 = 20.0;
/// Fraction of the burst that soft state leaves for membership and requests.
const SOFT_STATE_RESERVE: f64 = 0.3;

/// Token bucket in bytes, which a single large message may overdraw.
#[derive(Clone, Debug)]
pub struct ByteBudget {
    /// Refill rate in bytes per second.
    rate: f64,
    /// Maximum number of available bytes.
    burst: f64,
    /// Available bytes; negative while the bucket is overdrawn.
    available: f64,
    refilled_at: TimePoint,
}

impl ByteBudget {
    /// Creates a full budget that refills at a rate in bytes per second.
    pub fn new(bytes_per_second: u32, now: TimePoint) -> Self {
        let rate = f64::from(bytes_per_second.max(1));
        let burst = rate * BURST_SECONDS;
        Self {
            rate,
            burst,
            available: burst,
            refilled_at: now,
        }
    }

    /// Takes the bytes of a message that may be dropped; returns whether they were available.
    ///
    /// A message of soft state leaves a reserve.
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
        let reserve = if soft {
            self.burst * SOFT_STATE_RESERVE
        } else {
            0.0
        };
        let bytes = bytes as f64;
        if self.available - bytes < reserve {
            return false;
        }
        self.available -= bytes;
        true
    }

    /// Takes the bytes of a message that must not be dropped, or returns how long it has to wait.
    ///
    /// A message larger than the available bytes overdraws the budget and delays the ones after it.
    ///
    /// # Errors
    ///
    /// Returns the time until the budget is no longer overdrawn.
    pub fn overdraw(&mut self, bytes: usize, now: TimePoint) -> Result<(), Duration> {
        self.refill(now);
        if self.available < 0.0 {
            let wait = Duration::from_secs_f64(-self.available / self.rate);
            return Err(wait + Duration::from_millis(1));
        }
        self.available -= bytes as f64;
        Ok(())
    }

    /// Adds the bytes for the time since the last refill.
    fn refill(&mut self, now: TimePoint) {
        let elapsed = now.since(self.refilled_at).as_secs_f64();
        self.available = (self.available + elapsed * self.rate).min(self.burst);
        self.refilled_at = self.refilled_at.max(now);
    }
}
