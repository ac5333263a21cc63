//! Attempts of one request.

use std::collections::{BTreeMap, BTreeSet};

use crate::coordination::request_messages::AttemptNumber;
use crate::state::{RouteTarget, ServerName};

/// Attempt that is in flight or has ended.
#[derive(Debug)]
struct AttemptEntry {
    target: RouteTarget,
    active: bool,
}

/// Attempts of a request, and the servers that it must not be sent to again.
#[derive(Debug, Default)]
pub(crate) struct AttemptTracker {
    entries: BTreeMap<AttemptNumber, AttemptEntry>,
    next: AttemptNumber,
    excluded: BTreeSet<ServerName>,
}

impl AttemptTracker {
    /// Records an attempt as in flight, excludes its server and returns its number.
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

    /// Removes an attempt that was not sent and allows its server again; returns whether it was
    /// known.
    pub(crate) fn withdraw(&mut self, attempt: AttemptNumber) -> bool {
        let Some(entry) = self.entries.remove(&attempt) else {
            return false;
        };
        self.excluded.remove(&entry.target.server);
        true
    }

    /// Marks an attempt as ended.
    pub(crate) fn close(&mut self, attempt: AttemptNumber) {
        if let Some(entry) = self.entries.get_mut(&attempt) {
            entry.active = false;
        }
    }

    /// Marks all attempts in flight as ended, except `kept`, and returns their numbers.
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

    /// Returns whether no attempt has been sent.
    pub(crate) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the target of an attempt.
    pub(crate) fn target(&self, attempt: AttemptNumber) -> Option<&RouteTarget> {
        self.entries.get(&attempt).map(|entry| &entry.target)
    }

    /// Returns the number of the next attempt.
    pub(crate) fn next_number(&self) -> AttemptNumber {
        self.next
    }

    /// Returns the servers tried since the last call of `allow_all_servers`.
    pub(crate) fn excluded(&self) -> &BTreeSet<ServerName> {
        &self.excluded
    }

    /// Allows all servers again, because another version is tried next.
    pub(crate) fn allow_all_servers(&mut self) {
        self.excluded.clear();
    }
}
