//! Decides how much a host holds and reads of what callers, servers and the store send.

mod memory_bound;
mod read_ahead;
mod response_bound;

pub use memory_bound::{MemoryLimits, MemoryUse, may_hold};
pub use read_ahead::{HeldBytes, ReadAheadSettings, may_read_on};
pub use response_bound::ResponseBound;
