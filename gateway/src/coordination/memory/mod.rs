//! Decides how much a host holds and reads of what callers, servers and the store send.

mod connection_costs;
mod exchange_bound;
mod memory_bound;
mod memory_budget;
mod read_ahead;
mod response_bound;

pub use connection_costs::ConnectionCosts;
pub use exchange_bound::{ExchangeUse, may_begin};
pub use memory_bound::{MemoryLimits, MemoryUse, may_hold};
pub use memory_budget::MemoryBudget;
pub use read_ahead::{HeldBytes, ReadAheadSettings, may_read_on};
pub use response_bound::ResponseBound;
