//! The choice between an answer of the smallest model and a run of the largest.
//!
//! Answers calm load and mass load alike: a larger model is asked when the smaller one doubts its
//! answer, and the doubt that it takes grows with the prompt, which the larger model reads slowly,
//! and with the queues at the engines. A second run that would not begin within the goal is of no
//! use, however short the queues.

use std::time::Duration;

/// Settings of the choice; the confidence runs from 0 to 100.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CascadeSettings {
    /// Bound for prompts up to `short_tokens`.
    pub short_bound: f64,
    /// Bound for prompts from `long_tokens` on.
    pub long_bound: f64,
    /// Prompts up to this size are cheap to read again.
    pub short_tokens: f64,
    /// Prompts from this size on are dear to read again.
    pub long_tokens: f64,
    /// Part of the goal that must be left when the second run begins to answer; absorbs what the
    /// prediction misses.
    pub least_time_part: f64,
}

impl Default for CascadeSettings {
    fn default() -> Self {
        Self {
            short_bound: 70.0,
            long_bound: 40.0,
            short_tokens: 4_000.0,
            long_tokens: 12_000.0,
            least_time_part: 0.2,
        }
    }
}

/// Returns the confidence below which a larger model is asked; `pressure` is the time in the queue
/// as a part of the goal, from 0 to 1.
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
    let place = (f64::from(prompt_tokens) - settings.short_tokens) / span;
    let drop = (settings.short_bound - settings.long_bound) * place.clamp(0.0, 1.0);
    (settings.short_bound - drop) * (1.0 - pressure.clamp(0.0, 1.0))
}

/// Returns whether an answer of the smaller model is dropped for a run of the larger one, which is
/// predicted to begin to answer `ready_in` after the caller sent the request.
pub fn should_escalate(
    confidence: f64,
    bound: f64,
    ready_in: Duration,
    goal: Duration,
    settings: &CascadeSettings,
) -> bool {
    let least = goal.mul_f64(settings.least_time_part);
    confidence < bound && ready_in.saturating_add(least) < goal
}
