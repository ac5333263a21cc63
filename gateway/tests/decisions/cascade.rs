//! Cascade decisions under load. Second runs of larger models would overload busy engines.

use std::sync::Arc;
use std::time::Duration;

use galenamast_gateway::coordination::cascade::{
    CascadeSettings, bound_under_load, larger_model, should_escalate,
};

/// The models of a route, smallest first.
fn models(count: usize) -> Vec<Arc<str>> {
    (0..count)
        .map(|index| format!("size-{index}").into())
        .collect()
}

#[test]
fn fewer_answers_escalate_as_the_queues_grow() {
    let settings = CascadeSettings::default();
    let count_escalated = |pressure| {
        let bound = bound_under_load(settings.smallest_model_bound, pressure);
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
    let step = larger_model(&models(3), "size-0", 5.0, &settings).expect("the answer is doubted");
    let bound = bound_under_load(step.bound, 0.0);
    let escalates =
        |ready_in| should_escalate(5.0, bound, Duration::from_millis(ready_in), goal, &settings);
    assert!(escalates(2_200));
    assert!(!escalates(2_900));
}

/// A steady load whose answers have every confidence equally often, on models whose engine time
/// rises from 0.3 to 0.8 and 3 seconds a request. Running the largest model for each doubted answer
/// takes over a third more engine time.
#[test]
fn slightly_doubted_answers_cost_less_engine_time() {
    let (models, seconds) = (models(3), [0.3, 0.8, 3.0]);
    let engine_time = |settings: &CascadeSettings| -> f64 {
        let second_runs = (0..=100).filter_map(|confidence| {
            larger_model(&models, "size-0", f64::from(confidence), settings)
        });
        second_runs
            .map(|step| {
                let position = models.iter().position(|model| *model == step.model);
                seconds[position.expect("the model is one of the route")]
            })
            .sum()
    };
    let settings = CascadeSettings::default();
    let largest_only = CascadeSettings {
        next_model_margin: 0.0,
        ..settings
    };
    let (with_next, without) = (engine_time(&settings), engine_time(&largest_only));
    assert!(with_next < 0.75 * without, "{with_next} against {without}");
}

#[test]
fn every_doubted_answer_but_the_largest_models_has_a_larger_model() {
    let settings = CascadeSettings::default();
    for count in 1..=5 {
        let models = models(count);
        for (position, model) in models.iter().enumerate() {
            let step = larger_model(&models, model, 0.0, &settings);
            let larger =
                step.map(|step| models.iter().position(|name| *name == step.model).unwrap());
            assert_eq!(larger.is_some(), position + 1 < count);
            assert!(larger.is_none_or(|larger| larger > position));
        }
        assert_eq!(larger_model(&models, "size-0", 100.0, &settings), None);
    }
}

#[test]
fn model_that_the_route_does_not_list_is_kept() {
    let settings = CascadeSettings::default();
    assert_eq!(larger_model(&models(3), "other", 0.0, &settings), None);
    assert_eq!(larger_model(&[], "size-0", 0.0, &settings), None);
}
