//! Decides whether a request that asks for room may begin.
//!
//! Load pattern: far more requests of one route or one workspace, which are whole and last long, than a host
//! has memory for, beside a few of others.

use crate::coordination::memory::MemoryBudget;

/// Memory of requests in progress, in bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ExchangeUse {
    /// All memory that callers make the host hold, whatever for.
    pub all: usize,
    /// All requests.
    pub exchanges: usize,
    /// Those of the same route.
    pub route: usize,
    /// Those of the same workspace.
    pub workspace: usize,
}

/// Returns whether a request that needs `bytes` may begin. Half of what is left beyond the pressure is for
/// routes, and the rest for workspaces, that hold less than half of what all requests do.
///
/// ```
/// use galenamast_gateway::coordination::memory::{ExchangeUse, MemoryBudget, may_begin};
///
/// let budget = MemoryBudget::new(110_000_000, 27_500_000);
/// let held = ExchangeUse { all: budget.pressure, exchanges: 30_000_000, ..ExchangeUse::default() };
/// assert!(may_begin(&held, 100_000, &budget));
/// let crowd = ExchangeUse { route: 29_000_000, workspace: 29_000_000, ..held };
/// assert!(!may_begin(&crowd, 100_000, &budget));
/// ```
pub const fn may_begin(held: &ExchangeUse, bytes: usize, budget: &MemoryBudget) -> bool {
    let all = held.all.saturating_add(bytes);
    let reserve = budget.open.saturating_sub(budget.pressure) / 2;
    if all <= budget.pressure {
        true
    } else if all <= budget.pressure + reserve {
        held.route * 2 <= held.exchanges || held.workspace * 2 <= held.exchanges
    } else {
        all <= budget.open && held.workspace * 2 <= held.exchanges
    }
}
