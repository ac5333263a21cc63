//! Decides whether to keep the smallest model's answer or to run the largest model.
//!
//! Covers light and heavy load alike: the larger model runs when the smaller one has low confidence
//! in its answer. The confidence required falls with the prompt's length, which the larger model
//! reads slowly, and with the queues at the engines. A second run that would not begin within the
//! goal is useless, however short the queues.

use std::time::Duration;

/// Settings of the cascade; confidence ranges from 0 to 100.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CascadeSettings {
    /// Confidence bound for prompts up to `short_tokens`.
    pub short_prompt_bound: f64,
    /// Confidence bound for prompts from `long_tokens` on.
    pub long_prompt_bound: f64,
    /// Length up to which a prompt is cheap to read again, in tokens.
    pub short_tokens: f64,
    /// Length from which a prompt is expensive to read again, in tokens.
    pub long_tokens: f64,
    /// Part of the goal that must be left when the second run begins to answer; covers the
    /// prediction error.
    pub min_time_left_part: f64,
}

impl Default for CascadeSettings {
    fn default() -> Self {
        Self {
            short_prompt_bound: 70.0,
            long_prompt_bound: 40.0,
            short_tokens: 4_000.0,
            long_tokens: 12_000.0,
            min_time_left_part: 0.2,
        }
    }
}

/// Returns the confidence below which the larger model runs; `pressure` is the queueing time as a
/// part of the goal, from 0 to 1.
///
/// ```
/// use galenamast_gateway::coordination::cascade::{CascadeSettings, confidence_bound};
///
/// let settings = CascadeSettings::default();
/// assert_eq!(confidence_bound(1_000, 0.0, &settings), 70.0);
/// assert_eq!(confidence_bound(20_000, 0.5, &settings), 20.0);
/// ```
pub fn confidence_bound(prompt_tokens: u32, pressure: f64, settings: &CascadeSettings) -> f64 {
    let span = settings.long_tokens - settings.short_tokens;
    let position = (f64::from(prompt_tokens) - settings.short_tokens) / span;
    let drop =
        (settings.short_prompt_bound - settings.long_prompt_bound) * position.clamp(0.0, 1.0);
    (settings.short_prompt_bound - drop) * (1.0 - pressure.clamp(0.0, 1.0))
}

/// Returns whether to drop the smaller model's answer and run the larger model, which is predicted
/// to begin its answer `ready_in` after the caller sent the request.
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
