//! Retry budget under a retry storm: servers fail every request, so that each request is retried.

use std::time::Duration;

use galenamast::state::TimePoint;
use galenamast_gateway::coordination::budgets::{BudgetSettings, RetryBudget, RetryPurpose};
use proptest::prelude::*;

/// Number of hosts that share the budget.
const HOSTS: usize = 9;

#[test]
fn retry_storm_stays_within_the_fleet_budget_in_every_window() {
    check_retry_storm(HOSTS, 50.0);
    check_retry_storm(295, 630.0);
}

/// Checks that a retry storm stays within the budget of a fleet of a size.
fn check_retry_storm(hosts: usize, slack: f64) {
    let settings = BudgetSettings {
        slack,
        ..BudgetSettings::default()
    };
    let mut budgets = vec![RetryBudget::new(settings); hosts];
    let mut sent: Vec<(u64, bool)> = Vec::new();
    for millis in (0..60_000).step_by(20) {
        let now = TimePoint::from_millis(millis);
        let host = (millis as usize / 20) % hosts;
        budgets[host].record_request(now);
        sent.push((millis, false));
        for _ in 0..5 {
            if budgets[host].take_retry(RetryPurpose::Failure, hosts, now) {
                sent.push((millis, true));
            }
        }
    }
    let window =
        u64::try_from(settings.window.as_millis()).expect("the window fits in milliseconds");
    for end in (window..60_000).step_by(500) {
        let inside: Vec<bool> = sent
            .iter()
            .filter(|(at, _)| (end - window..end).contains(at))
            .map(|(_, is_repeat)| *is_repeat)
            .collect();
        let repeats = inside.iter().filter(|is_repeat| **is_repeat).count();
        let requests = inside.len() - repeats;
        let bound = settings.ratio * requests as f64 + settings.slack;
        assert!(
            f64::from(u32::try_from(repeats).unwrap_or(u32::MAX)) <= bound,
            "{hosts} hosts: {} repeats, bound {bound}",
            repeats
        );
        assert!(repeats > 0);
    }
}

#[test]
fn cascades_leave_budget_for_failures() {
    let mut budget = RetryBudget::new(BudgetSettings::default());
    let now = TimePoint::from_millis(1);
    for _ in 0..100 {
        budget.record_request(now);
    }
    while budget.take_retry(RetryPurpose::Cascade, HOSTS, now) {}
    assert!(!budget.take_retry(RetryPurpose::Hedge, HOSTS, now));
    assert!(budget.take_retry(RetryPurpose::Failure, HOSTS, now));
}

/// Guards against hosts that lose their counts: all of them restart amid a retry storm, so that each
/// uses its share of the slack twice within a window.
#[test]
fn retry_storm_across_a_restart_of_all_hosts_stays_within_the_fleet_budget() {
    const FLEET: usize = 82;
    let settings = BudgetSettings {
        slack: 204.0,
        ..BudgetSettings::default()
    };
    let mut budgets = vec![RetryBudget::new(settings); FLEET];
    let (mut requests, mut repeats) = (0, 0);
    for millis in (0..10_000).step_by(3) {
        if millis == 4_998 {
            budgets = vec![RetryBudget::new(settings); FLEET];
        }
        let now = TimePoint::from_millis(millis);
        let host = (millis as usize / 3) % FLEET;
        budgets[host].record_request(now);
        requests += 1;
        while budgets[host].take_retry(RetryPurpose::Failure, FLEET, now) {
            repeats += 1;
        }
    }
    let bound = settings.ratio * f64::from(requests) + settings.slack;
    assert!(
        f64::from(repeats) <= bound,
        "{repeats} repeats, bound {bound}"
    );
}

/// Counts the events of the window that ends at `end`.
fn count_in_window(events: &[TimePoint], end: TimePoint, window: Duration) -> u32 {
    let inside = |at: &&TimePoint| **at <= end && end.since(**at) < window;
    u32::try_from(events.iter().filter(inside).count()).unwrap_or(u32::MAX)
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: prop::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]
    #[test]
    fn retries_never_exceed_the_local_budget_in_any_window(steps in prop::collection::vec((0u64..400, any::<bool>()), 1..300)) {
        let settings = BudgetSettings::default();
        let mut budget = RetryBudget::new(settings);
        let (mut now, mut requests, mut repeats) = (TimePoint::ZERO, Vec::new(), Vec::new());
        for (pause, is_request) in steps {
            now = now + Duration::from_millis(pause);
            if is_request {
                budget.record_request(now);
                requests.push(now);
            } else if budget.take_retry(RetryPurpose::Failure, HOSTS, now) {
                repeats.push(now);
            }
        }
        let slack = settings.slack * settings.shared_slack_part / HOSTS as f64;
        for end in &repeats {
            let sent = count_in_window(&repeats, *end, settings.window);
            let earned = settings.ratio * f64::from(count_in_window(&requests, *end, settings.window));
            prop_assert!(f64::from(sent) <= earned + slack);
        }
    }
}
