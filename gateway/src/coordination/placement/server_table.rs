//! The backend servers that are known, by what the platform's list says and by what servers say
//! themselves.
//!
//! Answers the loss of the list: entries that the store let lapse while it was away, or that stand
//! for servers which still run, are used when a service has no other server left.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use galenamast::state::TimePoint;

use crate::state::ServerEntry;

/// Time for which a lapsed entry is a last resort: the platform brings live servers back sooner.
const LAPSED_USE: Duration = Duration::from_millis(1_500);
/// Time for which an identifier that an address denied is not used.
const DENIED_FOR: Duration = Duration::from_secs(5);

/// What a change of the list meant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TableChange {
    /// A server appeared or started again.
    Appeared,
    /// A server began to leave.
    Draining,
    /// A server is gone.
    Gone,
    /// Nothing that matters changed.
    Same,
}

impl TableChange {
    /// Returns the name of the change in logs.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Appeared => "ready",
            Self::Draining => "draining",
            Self::Gone => "gone",
            Self::Same => "same",
        }
    }
}

/// The known backend servers.
#[derive(Clone, Debug, Default)]
pub struct ServerTable {
    entries: BTreeMap<Arc<str>, ServerEntry>,
    lapsed: BTreeMap<Arc<str>, (ServerEntry, TimePoint)>,
    denied: BTreeMap<Arc<str>, TimePoint>,
    confirmed_at: Option<TimePoint>,
}

impl ServerTable {
    /// Takes in the whole list; servers that it lacks are gone.
    pub fn replace(
        &mut self,
        list: Vec<ServerEntry>,
        now: TimePoint,
    ) -> Vec<(ServerEntry, TableChange)> {
        let mut changes = Vec::new();
        let listed: Vec<Arc<str>> = list.iter().map(|entry| entry.id.clone()).collect();
        let missing: Vec<Arc<str>> = self
            .entries
            .keys()
            .filter(|id| !listed.contains(id))
            .cloned()
            .collect();
        for id in missing {
            changes.extend(self.remove(&id, now));
        }
        for entry in list {
            changes.push(self.upsert(entry));
        }
        self.confirmed_at = Some(now);
        changes.retain(|(_, change)| *change != TableChange::Same);
        changes
    }

    /// Takes in an entry.
    pub fn upsert(&mut self, entry: ServerEntry) -> (ServerEntry, TableChange) {
        self.lapsed.remove(&entry.id);
        let before = self.entries.insert(entry.id.clone(), entry.clone());
        let change = match before {
            None if entry.draining => TableChange::Draining,
            None => TableChange::Appeared,
            Some(before) if entry.draining && !before.draining => TableChange::Draining,
            Some(before) if before.started_ms != entry.started_ms => TableChange::Appeared,
            Some(_) => TableChange::Same,
        };
        if change == TableChange::Appeared {
            self.denied.remove(&entry.id);
        }
        (entry, change)
    }

    /// Takes a server out of the list.
    pub fn remove(&mut self, id: &str, now: TimePoint) -> Option<(ServerEntry, TableChange)> {
        let entry = self.entries.remove(id)?;
        if !entry.draining {
            self.lapsed.insert(entry.id.clone(), (entry.clone(), now));
        }
        Some((entry, TableChange::Gone))
    }

    /// Notes that another server answered at the address of this one.
    pub fn mark_reused(&mut self, id: &Arc<str>, now: TimePoint) {
        self.denied.insert(id.clone(), now);
    }

    /// Notes that the list was confirmed.
    pub fn confirm(&mut self, now: TimePoint) {
        self.confirmed_at = Some(now);
    }

    /// Returns the time since the list was confirmed.
    pub fn age(&self, now: TimePoint) -> Option<Duration> {
        self.confirmed_at.map(|at| now.since(at))
    }

    /// Returns whether any server is known.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns an entry.
    pub fn get(&self, id: &str) -> Option<&ServerEntry> {
        self.entries.get(id)
    }

    /// Returns all servers that are listed.
    pub fn listed(&self) -> impl Iterator<Item = &ServerEntry> + Clone {
        self.entries.values()
    }

    /// Returns the servers of a service that take work, or those that lapsed a moment ago if no
    /// other is left.
    pub fn serving(&self, service: &str, now: TimePoint) -> Vec<&ServerEntry> {
        let is_denied = |entry: &ServerEntry| {
            let denied_at = self.denied.get(&entry.id);
            denied_at.is_some_and(|at| now.since(*at) < DENIED_FOR)
        };
        let takes_work = |entry: &&ServerEntry| {
            *entry.service == *service && !entry.draining && !is_denied(entry)
        };
        let listed: Vec<&ServerEntry> = self.entries.values().filter(takes_work).collect();
        if !listed.is_empty() {
            return listed;
        }
        let fresh = self
            .lapsed
            .values()
            .filter(|(_, at)| now.since(*at) < LAPSED_USE);
        fresh.map(|(entry, _)| entry).filter(takes_work).collect()
    }
}
