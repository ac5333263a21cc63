//! The attempts that one request has made.

use std::collections::{BTreeMap, BTreeSet};

use crate::coordination::request_messages::AttemptNumber;
use crate::state::{RouteTarget, ServerName};

/// An attempt in flight or ended.
#[derive(Debug)]
struct AttemptEntry {
    target: RouteTarget,
    active: bool,
}

/// The attempts of a request, with the servers that it is not to be sent to again.
#[derive(Debug, Default)]
pub(crate) struct AttemptTracker {
    entries: BTreeMap<AttemptNumber, AttemptEntry>,
    next: AttemptNumber,
    excluded: BTreeSet<ServerName>,
}

impl AttemptTracker {
    /// Numbers an attempt and notes that it is in flight.
    pub(crate) fn add(&mut self, target: &RouteTarget) -> AttemptNumber {
        let attempt = self.next;
        self.next += 1;
        self.excluded.insert(target.server.clone());
        let entry = AttemptEntry {
            target: target.clone(),
            active: true,
        };
        self.entries.insert(attempt, entry);
        attempt
    }

    /// Forgets an attempt that was not sent; returns whether it was known.
    pub(crate) fn withdraw(&mut self, attempt: AttemptNumber) -> bool {
        let Some(entry) = self.entries.remove(&attempt) else {
            return false;
        };
        self.excluded.remove(&entry.target.server);
        true
    }

    /// Notes that an attempt is no longer in flight.
    pub(crate) fn close(&mut self, attempt: AttemptNumber) {
        if let Some(entry) = self.entries.get_mut(&attempt) {
            entry.active = false;
        }
    }

    /// Closes all attempts in flight but one, and returns them.
    pub(crate) fn close_others(&mut self, kept: Option<AttemptNumber>) -> Vec<AttemptNumber> {
        let mut closed = Vec::new();
        for (number, entry) in &mut self.entries {
            if entry.active && Some(*number) != kept {
                entry.active = false;
                closed.push(*number);
            }
        }
        closed
    }

    /// Returns whether an attempt is in flight.
    pub(crate) fn is_active(&self, attempt: AttemptNumber) -> bool {
        self.entries.get(&attempt).is_some_and(|entry| entry.active)
    }

    /// Returns whether any attempt is in flight.
    pub(crate) fn any_active(&self) -> bool {
        self.entries.values().any(|entry| entry.active)
    }

    /// Returns whether nothing has been sent.
    pub(crate) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns where an attempt was sent.
    pub(crate) fn target(&self, attempt: AttemptNumber) -> Option<&RouteTarget> {
        self.entries.get(&attempt).map(|entry| &entry.target)
    }

    /// Returns the number of the next attempt.
    pub(crate) fn next_number(&self) -> AttemptNumber {
        self.next
    }

    /// Returns the servers that were tried since they were last allowed again.
    pub(crate) fn excluded(&self) -> &BTreeSet<ServerName> {
        &self.excluded
    }

    /// Allows all servers again, for another version.
    pub(crate) fn allow_all_servers(&mut self) {
        self.excluded.clear();
    }
}
