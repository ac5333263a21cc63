//! A counter of requests in flight, shared by all copies of a server record.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

/// Number of this entry host's requests in flight on a server.
///
/// Clones share the count, so routing decisions see it change without a new server table.
///
/// ```
/// use galenamast::state::InFlightCounter;
///
/// let counter = InFlightCounter::default();
/// counter.clone().increment();
/// assert_eq!(counter.get(), 1);
/// ```
#[derive(Clone, Debug, Default)]
pub struct InFlightCounter(Arc<AtomicU32>);

impl InFlightCounter {
    /// Counts a request that was dispatched.
    pub fn increment(&self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a request that ended.
    pub fn decrement(&self) {
        let update = |count: u32| Some(count.saturating_sub(1));
        let _ = self
            .0
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, update);
    }

    /// Returns the number of requests in flight.
    pub fn get(&self) -> u32 {
        self.0.load(Ordering::Relaxed)
    }
}

impl PartialEq for InFlightCounter {
    fn eq(&self, other: &Self) -> bool {
        self.get() == other.get()
    }
}
