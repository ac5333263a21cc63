//! Cascade decisions under load. Second runs of the largest model would overload busy engines.

use std::time::Duration;

use galenamast_gateway::coordination::cascade::{
    CascadeSettings, confidence_bound, should_escalate,
};

#[test]
fn fewer_answers_escalate_as_the_queues_grow() {
    let settings = CascadeSettings::default();
    let count_escalated = |pressure| {
        let bound = confidence_bound(2_000, pressure, &settings);
        (0..=100)
            .filter(|confidence| f64::from(*confidence) < bound)
            .count()
    };
    let counts: Vec<usize> = [0.0, 0.3, 0.6, 0.9, 1.5]
        .into_iter()
        .map(count_escalated)
        .collect();
    assert!(
        counts.windows(2).all(|pair| pair[1] < pair[0]),
        "{counts:?}"
    );
    assert_eq!(counts[4], 0, "a run that begins after the goal is useless");
}

#[test]
fn no_second_run_without_time_left_in_the_goal() {
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

/// The longest prompts on idle engines: the larger model reads them in time, so their length alone
/// must not prevent a second run. A run that would begin to answer too close to the goal must not
/// start.
#[test]
fn long_prompt_on_idle_engines_escalates_within_the_goal() {
    let settings = CascadeSettings::default();
    let goal = Duration::from_secs(3);
    let bound = confidence_bound(30_000, 0.0, &settings);
    let escalates =
        |ready_in| should_escalate(5.0, bound, Duration::from_millis(ready_in), goal, &settings);
    assert!(escalates(2_200));
    assert!(!escalates(2_900));
}
