//! Decisions: pure functions and machines without input, output or clocks.

pub mod budgets;
pub mod cascade;
pub mod placement;
pub mod requests;
pub mod rollouts;
