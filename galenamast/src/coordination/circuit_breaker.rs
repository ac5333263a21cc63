//! Stops calls of a service that keeps failing, and lets single probes through.

use rand::Rng;

use crate::coordination::retry_backoff::RetryBackoff;
use crate::state::TimePoint;

/// Failures in a row after which the breaker opens.
const FAILURES_TO_OPEN: u32 = 5;

/// Circuit breaker.
#[derive(Clone, Debug)]
pub struct CircuitBreaker {
    backoff: RetryBackoff,
    failures: u32,
    state: BreakerState,
}

/// Whether calls go through.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BreakerState {
    /// Calls go through.
    Closed,
    /// Calls are refused until a point in time.
    Open(TimePoint),
    /// One probe is under way since a point in time; the other calls are refused.
    HalfOpen(TimePoint),
}

impl CircuitBreaker {
    /// Creates a closed breaker, which stays open for the delays of a backoff.
    pub fn new(backoff: RetryBackoff) -> Self {
        Self {
            backoff,
            failures: 0,
            state: BreakerState::Closed,
        }
    }

    /// Returns whether calls go through.
    pub fn state(&self) -> BreakerState {
        self.state
    }

    /// Asks to make a call now.
    pub fn admit(&mut self, now: TimePoint) -> bool {
        match self.state {
            BreakerState::Closed => true,
            // A probe whose end was never reported makes way for another one.
            BreakerState::HalfOpen(since) if now.since(since) < self.backoff.max_delay => false,
            BreakerState::Open(until) if now < until => false,
            BreakerState::Open(_) | BreakerState::HalfOpen(_) => {
                self.state = BreakerState::HalfOpen(now);
                true
            }
        }
    }

    /// Records a call that the service answered.
    pub fn record_success(&mut self) {
        self.failures = 0;
        self.state = BreakerState::Closed;
    }

    /// Records a call that the service did not answer.
    pub fn record_failure(&mut self, now: TimePoint, generator: &mut impl Rng) {
        self.failures = self.failures.saturating_add(1);
        let Some(openings) = self.failures.checked_sub(FAILURES_TO_OPEN) else {
            return;
        };
        let delay = self.backoff.delay(openings, generator);
        self.state = BreakerState::Open(now + delay);
    }
}
