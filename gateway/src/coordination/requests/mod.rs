//! Decisions about the attempts of one request.

mod attempt_outcome;
mod event_order;
mod exchange_step;
mod response_origin;

pub use attempt_outcome::{AttemptLimits, AttemptOutcome, AttemptTally};
pub use event_order::{EventOrder, EventVerdict};
pub use exchange_step::{ExchangeState, ExchangeStep, FinalAnswer, NextServers, exchange_step};
pub use response_origin::{HeadStatement, ResponseOrigin, check_statement, promises_not_run};
