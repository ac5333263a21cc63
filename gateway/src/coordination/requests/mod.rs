//! The course of one request.

mod attempt_outcome;
mod crash_book;
mod cut_witness;

pub use attempt_outcome::{
    AttemptLimits, AttemptOutcome, AttemptTally, FinalAnswer, NextStep, final_answer, next_step,
};
pub use crash_book::{CrashBook, CrashSettings};
pub use cut_witness::pick_witnesses;
