//! Decisions about the attempts of one request.

mod attempt_outcome;

pub use attempt_outcome::{
    AttemptLimits, AttemptOutcome, AttemptTally, FinalAnswer, NextStep, final_answer, next_step,
};
