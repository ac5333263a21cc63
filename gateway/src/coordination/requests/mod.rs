//! Decisions about the attempts of one request.

mod attempt_outcome;
mod crash_tracker;
mod partition_probe;

pub use attempt_outcome::{
    AttemptLimits, AttemptOutcome, AttemptTally, FinalAnswer, NextStep, final_answer, next_step,
};
pub use crash_tracker::{CrashSettings, CrashTracker};
pub use partition_probe::pick_probe_targets;
