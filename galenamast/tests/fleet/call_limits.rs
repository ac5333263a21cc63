//! Call budget, circuit breaker and retry backoff of the object API client.

use std::time::Duration;

use galenamast::coordination::{
    BreakerState, CallBudget, CallPriority, CircuitBreaker, RetryBackoff,
};
use galenamast::state::TimePoint;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

#[test]
fn each_priority_leaves_a_reserve_for_the_higher_ones() {
    let mut budget = CallBudget::new(50, TimePoint::ZERO);
    let mut taken = Vec::new();
    for priority in [
        CallPriority::Status,
        CallPriority::Usage,
        CallPriority::Lease,
        CallPriority::Claim,
    ] {
        let mut calls = 0;
        while budget.take(priority, TimePoint::ZERO).is_ok() {
            calls += 1;
        }
        taken.push(calls);
    }
    assert_eq!(taken, [40, 25, 20, 15]);
}

#[test]
fn the_call_rate_stays_within_the_budget() {
    let mut budget = CallBudget::new(10, TimePoint::ZERO);
    let mut calls = 0;
    for millis in 0..10_000 {
        while budget
            .take(CallPriority::Claim, TimePoint::from_millis(millis))
            .is_ok()
        {
            calls += 1;
        }
    }
    assert!((100..=120).contains(&calls), "{calls} calls");
}

#[test]
fn a_call_succeeds_after_the_wait_that_the_budget_returns() {
    let mut budget = CallBudget::new(3, TimePoint::ZERO);
    let mut now = TimePoint::ZERO;
    for _ in 0..100 {
        if let Err(wait) = budget.take(CallPriority::Status, now) {
            now = now + wait;
            assert!(budget.take(CallPriority::Status, now).is_ok());
        }
    }
}

#[test]
fn the_breaker_opens_after_failures_and_lets_one_probe_through() {
    let mut generator = ChaCha8Rng::seed_from_u64(5);
    let mut breaker = CircuitBreaker::new(RetryBackoff::default());
    for _ in 0..5 {
        assert!(breaker.admit(TimePoint::ZERO));
        breaker.record_failure(TimePoint::ZERO, &mut generator);
    }
    assert!(!breaker.admit(TimePoint::ZERO));
    let later = TimePoint::ZERO + Duration::from_millis(60);
    assert!(breaker.admit(later), "one probe goes through");
    assert!(!breaker.admit(later), "a second call waits for the probe");
    breaker.record_success();
    assert_eq!(breaker.state(), BreakerState::Closed);
}

#[test]
fn retry_delays_stay_within_their_growing_bounds() {
    let mut generator = ChaCha8Rng::seed_from_u64(6);
    let backoff = RetryBackoff::default();
    for retry in 0..40 {
        let bound = backoff
            .initial_delay
            .saturating_mul(1_u32.checked_shl(retry).unwrap_or(u32::MAX))
            .min(backoff.max_delay);
        let delay = backoff.delay(retry, &mut generator);
        assert!(delay >= bound / 2 && delay <= bound, "{retry}: {delay:?}");
    }
}
