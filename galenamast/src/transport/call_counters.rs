//! Counts calls to the object API by kind and outcome.

use std::sync::atomic::{AtomicU64, Ordering};

/// Kind of a call to the object API.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CallKind {
    /// Reads one object.
    Read,
    /// Writes one object.
    Write,
    /// Deletes one object.
    Delete,
    /// Lists objects.
    List,
    /// Waits for a newer version of one object.
    Watch,
}

/// Counters of calls since the start of the process.
#[derive(Debug, Default)]
pub struct CallCounters {
    reads: AtomicU64,
    writes: AtomicU64,
    deletes: AtomicU64,
    lists: AtomicU64,
    watches: AtomicU64,
    failures: AtomicU64,
    over_budget: AtomicU64,
    short_circuited: AtomicU64,
}

/// Snapshot of the call counters.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallCounts {
    /// Reads sent.
    pub reads: u64,
    /// Writes sent.
    pub writes: u64,
    /// Deletions sent.
    pub deletes: u64,
    /// Listings sent.
    pub lists: u64,
    /// Watches sent; each counts as one call, however long it waits.
    pub watches: u64,
    /// Sent calls that the platform did not answer.
    pub failures: u64,
    /// Calls that were not sent because the call budget was exhausted.
    pub over_budget: u64,
    /// Calls that were not sent because the circuit breaker was open.
    pub short_circuited: u64,
}

impl CallCounts {
    /// Returns the number of calls that were sent.
    ///
    /// ```
    /// use galenamast::transport::CallCounts;
    ///
    /// let counts = CallCounts { reads: 2, writes: 1, failures: 1, ..Default::default() };
    /// assert_eq!(counts.sent(), 3);
    /// ```
    pub const fn sent(&self) -> u64 {
        self.reads + self.writes + self.deletes + self.lists + self.watches
    }
}

impl CallCounters {
    /// Counts a call of a kind as sent.
    pub(crate) fn count(&self, kind: CallKind) {
        let counter = match kind {
            CallKind::Read => &self.reads,
            CallKind::Write => &self.writes,
            CallKind::Delete => &self.deletes,
            CallKind::List => &self.lists,
            CallKind::Watch => &self.watches,
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a call that the platform did not answer.
    pub(crate) fn count_failure(&self) {
        self.failures.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a call that was not sent because the call budget was exhausted.
    pub(crate) fn count_over_budget(&self) {
        self.over_budget.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a call that was not sent because the circuit breaker was open.
    pub(crate) fn count_short_circuited(&self) {
        self.short_circuited.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns a snapshot of the counters.
    pub fn counts(&self) -> CallCounts {
        let load = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        CallCounts {
            reads: load(&self.reads),
            writes: load(&self.writes),
            deletes: load(&self.deletes),
            lists: load(&self.lists),
            watches: load(&self.watches),
            failures: load(&self.failures),
            over_budget: load(&self.over_budget),
            short_circuited: load(&self.short_circuited),
        }
    }
}
