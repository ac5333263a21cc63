//! Decisions about the attempts of one request.

mod attempt_outcome;
mod event_order;
mod response_origin;

pub use attempt_outcome::{
    AttemptLimits, AttemptOutcome, AttemptTally, FinalAnswer, NextStep, final_answer, may_replace,
    may_return, next_step,
};
pub use event_order::{EventOrder, EventVerdict};
pub use response_origin::{HeadStatement, ResponseOrigin, check_statement, promises_not_run};
