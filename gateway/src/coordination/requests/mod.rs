//! Decisions about the attempts of one request.

mod attempt_outcome;

pub use attempt_outcome::{
    AttemptLimits, AttemptOutcome, AttemptTally, FinalAnswer, NextStep, final_answer, may_replace,
    next_step,
};
