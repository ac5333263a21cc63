//! Decision logic: pure functions and state machines without I/O or clocks.

pub mod admission;
pub mod budgets;
pub mod callers;
pub mod cascade;
pub mod crashes;
pub mod evacuations;
pub mod freshness;
pub mod liveness;
pub mod memory;
pub mod permits;
pub mod placement;
pub mod reach;
pub mod requests;
pub mod rollouts;
pub mod shutdown;
pub mod speeds;
