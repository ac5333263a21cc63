//! Load pattern: engines under pressure. Second runs of the largest model would sink them.

use std::time::Duration;

use galenamast_gateway::coordination::cascade::{
    CascadeSettings, confidence_bound, should_escalate,
};

#[test]
fn fewer_answers_are_doubted_the_longer_the_larger_model_takes() {
    let settings = CascadeSettings::default();
    let doubted = |pressure| {
        let bound = confidence_bound(2_000, pressure, &settings);
        (0..=100)
            .filter(|confidence| f64::from(*confidence) < bound)
            .count()
    };
    let counts: Vec<usize> = [0.0, 0.3, 0.6, 0.9, 1.5].into_iter().map(doubted).collect();
    assert!(
        counts.windows(2).all(|pair| pair[1] < pair[0]),
        "{counts:?}"
    );
    assert_eq!(
        counts[4], 0,
        "a run that begins after the goal is of no use"
    );
}

#[test]
fn no_second_run_without_time_left() {
    let settings = CascadeSettings::default();
    let goal = Duration::from_secs(2);
    assert!(should_escalate(
        5.0,
        70.0,
        Duration::from_millis(200),
        goal,
        &settings
    ));
    assert!(!should_escalate(
        5.0,
        70.0,
        Duration::from_millis(1_600),
        goal,
        &settings
    ));
    assert!(!should_escalate(
        80.0,
        70.0,
        Duration::ZERO,
        goal,
        &settings
    ));
}

/// Load pattern: the longest prompts on idle engines. The larger model reads them in time, so that
/// their size alone is no reason against it; what it would read past the goal is.
#[test]
fn a_long_prompt_on_idle_engines_is_read_again_if_the_goal_allows_it() {
    let settings = CascadeSettings::default();
    let goal = Duration::from_secs(3);
    let bound = confidence_bound(30_000, 0.0, &settings);
    let is_run =
        |ready_in| should_escalate(5.0, bound, Duration::from_millis(ready_in), goal, &settings);
    assert!(is_run(2_200));
    assert!(!is_run(2_900));
}
