//! The budget of calls that one entry host makes of the object API.

use std::time::Duration;

use crate::state::TimePoint;

/// Time whose calls the budget saves up while it is unused.
const BURST_TIME: Duration = Duration::from_secs(2);
/// Fewest calls that the budget can save up.
const MIN_BURST: f64 = 4.0;

/// Importance of a call; the lower ones leave a reserve for the higher ones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum CallPriority {
    /// Claims of requests that must not run twice.
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
    /// Returns the share of the saved calls that a call of this priority must leave.
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
    rate: f64,
    burst: f64,
    saved: f64,
    refilled: TimePoint,
}

impl CallBudget {
    /// Creates a full budget that refills at a rate in calls per second.
    pub fn new(calls_per_second: u32, now: TimePoint) -> Self {
        let rate = f64::from(calls_per_second.max(1));
        let burst = (rate * BURST_TIME.as_secs_f64()).max(MIN_BURST);
        Self {
            rate,
            burst,
            saved: burst,
            refilled: now,
        }
    }

    /// Takes one call, or returns the time after which it may be there.
    ///
    /// # Errors
    ///
    /// Returns the shortest time until the call can be taken if nobody else takes one.
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
        if self.saved >= needed {
            self.saved -= 1.0;
            return Ok(());
        }
        let wait = (needed - self.saved) / self.rate;
        // A microsecond more keeps rounding from asking for a wait of zero.
        Err(Duration::from_secs_f64(wait) + Duration::from_micros(1))
    }

    /// Adds the calls of the time since the last refill.
    fn refill(&mut self, now: TimePoint) {
        let elapsed = now.since(self.refilled).as_secs_f64();
        self.saved = (self.saved + elapsed * self.rate).min(self.burst);
        self.refilled = self.refilled.max(now);
    }
}
