//! Splits the memory of a process between what it needs at rest and what callers can make it hold.
//!
//! Load pattern: more connections, unfinished requests and responses that are not read than the memory of a
//! host has room for, each of them small.

use crate::coordination::memory::MemoryLimits;

/// Memory of a process without callers: code, tables of hosts and servers, connections to the store.
const RESTING_BYTES: usize = 16_000_000;
/// Divisor of the memory that is left to the allocator's fragmentation.
const SLACK_DIVISOR: usize = 10;
/// Largest response that may go beyond the memory for bodies, in bytes.
const MAX_OVERDRAFT_BYTES: usize = 16 * 1_024 * 1_024;

/// Bounds on the sum of all that callers make a process hold, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryBudget {
    /// All of it.
    pub all: usize,
    /// What is left for anything but responses, one of which may go beyond the memory for bodies.
    pub open: usize,
    /// Sum above which connections give way. The rest is for requests that have arrived whole.
    pub pressure: usize,
    /// Bodies of requests and responses.
    pub bodies: MemoryLimits,
}

impl MemoryBudget {
    /// Returns the budget of a process with `memory` bytes, of which `bodies` are for bodies.
    ///
    /// ```
    /// use galenamast_gateway::coordination::memory::MemoryBudget;
    ///
    /// let budget = MemoryBudget::new(110_000_000, 27_500_000);
    /// assert_eq!(budget.all, 83_000_000);
    /// assert!(budget.pressure < budget.open && budget.open < budget.all);
    /// ```
    pub fn new(memory: usize, bodies: usize) -> Self {
        let fixed = RESTING_BYTES.min(memory / 3) + memory / SLACK_DIVISOR;
        let all = memory - fixed;
        let open = all.saturating_sub(MAX_OVERDRAFT_BYTES.min(bodies));
        Self {
            all,
            open,
            pressure: open - open / 4,
            bodies: MemoryLimits::new(bodies),
        }
    }
}
