//! Blocks calls to a service that keeps failing, except for single probes.

use rand::Rng;

use crate::coordination::retry_backoff::RetryBackoff;
use crate::state::TimePoint;

/// Number of consecutive failures that opens the breaker.
const FAILURES_TO_OPEN: u32 = 5;

/// Circuit breaker whose open time follows a backoff.
#[derive(Clone, Debug)]
pub struct CircuitBreaker {
    backoff: RetryBackoff,
    failures: u32,
    state: BreakerState,
}

/// State of a circuit breaker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BreakerState {
    /// Calls are allowed.
    Closed,
    /// Calls are refused until this time.
    Open(TimePoint),
    /// A probe has been in progress since this time; other calls are refused.
    HalfOpen(TimePoint),
}

impl CircuitBreaker {
    /// Creates a closed breaker. Once open, it stays open for the delays of `backoff`.
    pub fn new(backoff: RetryBackoff) -> Self {
        Self {
            backoff,
            failures: 0,
            state: BreakerState::Closed,
        }
    }

    /// Returns the current state.
    pub fn state(&self) -> BreakerState {
        self.state
    }

    /// Returns whether a call may be made now. The first call after the open time becomes the
    /// probe.
    pub fn admit(&mut self, now: TimePoint) -> bool {
        match self.state {
            BreakerState::Closed => true,
            // A probe whose result was never reported is replaced by another one.
            BreakerState::HalfOpen(since) if now.since(since) < self.backoff.max_delay => false,
            BreakerState::Open(until) if now < until => false,
            BreakerState::Open(_) | BreakerState::HalfOpen(_) => {
                self.state = BreakerState::HalfOpen(now);
                true
            }
        }
    }

    /// Records that the service answered a call, and closes the breaker.
    pub fn record_success(&mut self) {
        self.failures = 0;
        self.state = BreakerState::Closed;
    }

    /// Records that the service did not answer a call, and opens the breaker after too many.
    pub fn record_failure(&mut self, now: TimePoint, generator: &mut impl Rng) {
        self.failures = self.failures.saturating_add(1);
        let Some(openings) = self.failures.checked_sub(FAILURES_TO_OPEN) else {
            return;
        };
        let delay = self.backoff.delay(openings, generator);
        self.state = BreakerState::Open(now + delay);
    }
}
