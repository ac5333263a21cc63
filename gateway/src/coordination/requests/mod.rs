//! The course of one request.

mod attempt_outcome;
mod crash_book;

pub use attempt_outcome::{
    AttemptLimits, AttemptOutcome, AttemptTally, FinalAnswer, NextStep, final_answer, next_step,
};
pub use crash_book::{CrashBook, CrashSettings};
