//! Decides whether to keep a model's answer or to run a larger model, and which one.
//!
//! Covers light and heavy load alike: a larger model runs when a smaller one has low confidence in
//! its answer. If the confidence is only slightly too low, the next larger model is likely to be
//! good enough, and it costs less engine time than the largest. The confidence required falls with
//! the queues at the engines. A second run that would not begin within the goal is useless, however
//! short the queues.

use std::sync::Arc;
use std::time::Duration;

use crate::coordination::cascade::ModelStep;

/// Settings of the cascade; confidence ranges from 0 to 100.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CascadeSettings {
    /// Confidence below which the answer of the smallest model is dropped if no request is queued.
    pub smallest_model_bound: f64,
    /// The same for models between the smallest and the largest. Lower, because a further run takes
    /// longer and uses one more of the request's attempts.
    pub middle_model_bound: f64,
    /// How far the confidence may be below the bound for the next larger model to run instead of the
    /// largest.
    pub next_model_margin: f64,
    /// Part of the goal that must be left when the larger model begins to answer; covers the
    /// prediction error.
    pub min_time_left_part: f64,
}

impl Default for CascadeSettings {
    fn default() -> Self {
        Self {
            smallest_model_bound: 60.0,
            middle_model_bound: 30.0,
            next_model_margin: 25.0,
            min_time_left_part: 0.2,
        }
    }
}

/// Returns the model that may replace the answer of `model`; `None` if the answer is good enough or no
/// model is larger. `models` are ordered by size, smallest first.
///
/// ```
/// use galenamast_gateway::coordination::cascade::{CascadeSettings, larger_model};
///
/// let settings = CascadeSettings::default();
/// let models = ["small".into(), "medium".into(), "large".into()];
/// let step = |confidence| larger_model(&models, "small", confidence, &settings);
/// assert_eq!(step(75.0), None);
/// assert_eq!(&*step(50.0).unwrap().model, "medium");
/// assert_eq!(&*step(10.0).unwrap().model, "large");
/// ```
pub fn larger_model(
    models: &[Arc<str>],
    model: &str,
    confidence: f64,
    settings: &CascadeSettings,
) -> Option<ModelStep> {
    let position = models.iter().position(|name| **name == *model)?;
    let bound = if position == 0 {
        settings.smallest_model_bound
    } else {
        settings.middle_model_bound
    };
    let next = models.get(position + 1)?;
    if confidence >= bound {
        return None;
    }
    let is_close = confidence >= bound - settings.next_model_margin;
    let larger = if is_close { Some(next) } else { models.last() };
    larger.map(|model| ModelStep {
        model: model.clone(),
        bound,
    })
}

/// Returns the confidence below which the larger model runs; `pressure` is the queueing time as a
/// part of the goal, from 0 to 1.
///
/// ```
/// use galenamast_gateway::coordination::cascade::bound_under_load;
///
/// assert_eq!(bound_under_load(60.0, 0.0), 60.0);
/// assert_eq!(bound_under_load(60.0, 0.5), 30.0);
/// ```
pub fn bound_under_load(bound: f64, pressure: f64) -> f64 {
    bound * (1.0 - pressure.clamp(0.0, 1.0))
}

/// Returns whether to drop the smaller model's answer and run the larger model, which is predicted
/// to begin its answer `ready_in` after the caller sent the request.
///
/// ```
/// use std::time::Duration;
///
/// use galenamast_gateway::coordination::cascade::{CascadeSettings, should_escalate};
///
/// let (goal, settings) = (Duration::from_secs(2), CascadeSettings::default());
/// assert!(should_escalate(20.0, 60.0, Duration::from_millis(400), goal, &settings));
/// assert!(!should_escalate(20.0, 60.0, Duration::from_millis(1_900), goal, &settings));
/// ```
pub fn should_escalate(
    confidence: f64,
    bound: f64,
    ready_in: Duration,
    goal: Duration,
    settings: &CascadeSettings,
) -> bool {
    let min_time_left = goal.mul_f64(settings.min_time_left_part);
    confidence < bound && ready_in.saturating_add(min_time_left) < goal
}
