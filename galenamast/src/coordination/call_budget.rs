//! Rate limit of the calls that one entry host makes to the object API.

use std::time::Duration;

use crate::state::TimePoint;

/// Burst size: time of unused rate that the budget accumulates.
const BURST_TIME: Duration = Duration::from_secs(2);
/// Lower bound of the burst size, in calls.
const MIN_BURST_CALLS: f64 = 4.0;

/// Priority of a call, highest first. Calls of a lower priority leave a reserve for higher ones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum CallPriority {
    /// Claims of requests that must not run more than once.
    Claim,
    /// Configuration.
    #[default]
    Config,
    /// Leases.
    Lease,
    /// Usage records.
    Usage,
    /// Status and clean-up.
    Status,
}

impl CallPriority {
    /// Returns the fraction of the burst that a call of this priority must leave available.
    const fn reserve(self) -> f64 {
        match self {
            Self::Claim => 0.0,
            Self::Config | Self::Lease => 0.15,
            Self::Usage => 0.35,
            Self::Status => 0.6,
        }
    }
}

/// Token bucket with a reserve for each priority.
#[derive(Clone, Debug)]
pub struct CallBudget {
    /// Refill rate in calls per second.
    rate: f64,
    /// Maximum number of available calls.
    burst: f64,
    /// Available calls.
    available: f64,
    refilled_at: TimePoint,
}

impl CallBudget {
    /// Creates a full budget that refills at a rate in calls per second.
    pub fn new(calls_per_second: u32, now: TimePoint) -> Self {
        let rate = f64::from(calls_per_second.max(1));
        let burst = (rate * BURST_TIME.as_secs_f64()).max(MIN_BURST_CALLS);
        Self {
            rate,
            burst,
            available: burst,
            refilled_at: now,
        }
    }

    /// Takes one call if the budget allows it for this priority.
    ///
    /// # Errors
    ///
    /// Returns the time until the call is available, provided that no other call is taken before.
    ///
    /// ```
    /// use galenamast::coordination::{CallBudget, CallPriority};
    /// use galenamast::state::TimePoint;
    ///
    /// let mut budget = CallBudget::new(2, TimePoint::ZERO);
    /// assert!(budget.take(CallPriority::Status, TimePoint::ZERO).is_ok());
    /// assert!(budget.take(CallPriority::Status, TimePoint::ZERO).is_err());
    /// assert!(budget.take(CallPriority::Claim, TimePoint::ZERO).is_ok());
    /// ```
    pub fn take(&mut self, priority: CallPriority, now: TimePoint) -> Result<(), Duration> {
        self.refill(now);
        let needed = self.burst * priority.reserve() + 1.0;
        if self.available >= needed {
            self.available -= 1.0;
            return Ok(());
        }
        let wait = (needed - self.available) / self.rate;
        // Another microsecond prevents a wait that rounds to zero.
        Err(Duration::from_secs_f64(wait) + Duration::from_micros(1))
    }

    /// Adds the calls for the time since the last refill.
    fn refill(&mut self, now: TimePoint) {
        let elapsed = now.since(self.refilled_at).as_secs_f64();
        self.available = (self.available + elapsed * self.rate).min(self.burst);
        self.refilled_at = self.refilled_at.max(now);
    }
}
