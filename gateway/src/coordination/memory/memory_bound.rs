//! Decides whether a host may hold further bytes of bodies.
//!
//! Load pattern: responses without end beside sound ones, which together exceed the memory of the host. A
//! response of usual size has a reserve of its own, so that it does not wait behind large ones.

/// Bounds on what a host holds, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryLimits {
    /// All bodies together.
    pub total: usize,
    /// What bodies of usual size may hold in addition.
    pub reserve: usize,
    /// Largest body of usual size.
    pub usual: usize,
}

impl MemoryLimits {
    /// Largest body of usual size.
    const USUAL_BYTES: usize = 64 * 1_024;

    /// Returns the bounds of a host that may hold `total` bytes.
    pub const fn new(total: usize) -> Self {
        Self {
            total,
            reserve: total / 2,
            usual: Self::USUAL_BYTES,
        }
    }
}

/// Bytes that are held.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MemoryUse {
    /// Bytes of all bodies, this one included.
    pub all: usize,
    /// Bytes of this body.
    pub own: usize,
}

/// Returns whether a body that holds some bytes may hold `more`.
///
/// ```
/// use galenamast_gateway::coordination::memory::{MemoryLimits, MemoryUse, may_hold};
///
/// let limits = MemoryLimits::new(1_000_000);
/// assert!(may_hold(MemoryUse { all: 900_000, own: 400_000 }, 100_000, &limits));
/// assert!(!may_hold(MemoryUse { all: 1_000_000, own: 400_000 }, 1, &limits));
/// assert!(may_hold(MemoryUse { all: 1_000_000, own: 0 }, 800, &limits));
/// assert!(!may_hold(MemoryUse { all: 1_500_000, own: 0 }, 800, &limits));
/// ```
pub const fn may_hold(held: MemoryUse, more: usize, limits: &MemoryLimits) -> bool {
    let all = held.all.saturating_add(more);
    let is_usual = held.own.saturating_add(more) <= limits.usual;
    all <= limits.total || (is_usual && all <= limits.total.saturating_add(limits.reserve))
}
