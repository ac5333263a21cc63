//! The known backend servers, from the platform's list and from what servers report themselves.
//!
//! Covers the loss of the list: entries that the store let lapse while it was unavailable, although
//! their servers may still run, are used when a service has no other server left. Covers the return of
//! an older list: servers that drained or left do not come back by it.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use galenamast::state::TimePoint;

use crate::state::ServerEntry;

/// Time for which a lapsed entry serves as a last resort; the platform lists live servers again
/// sooner.
const LAPSED_FALLBACK_WINDOW: Duration = Duration::from_millis(1_500);
/// Time for which a server is not used after another server answered at its address.
const REUSED_ADDRESS_EXCLUSION: Duration = Duration::from_secs(5);

/// Time for which the departure of a server is remembered.
const DEPARTURE_RETENTION: Duration = Duration::from_secs(60);

/// Effect of a change to the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TableChange {
    /// A server appeared or restarted.
    Appeared,
    /// A server began to drain.
    Draining,
    /// A server was removed.
    Gone,
    /// Nothing relevant changed.
    Same,
}

impl TableChange {
    /// Returns the name of the change that log records use.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Appeared => "ready",
            Self::Draining => "draining",
            Self::Gone => "gone",
            Self::Same => "same",
        }
    }
}

/// The last entry of a removed server.
#[derive(Clone, Copy, Debug)]
struct ServerDeparture {
    started_ms: Option<u64>,
    draining: bool,
    removed_at: TimePoint,
}

/// The known backend servers.
#[derive(Clone, Debug, Default)]
pub struct ServerTable {
    entries: BTreeMap<Arc<str>, ServerEntry>,
    lapsed: BTreeMap<Arc<str>, (ServerEntry, TimePoint)>,
    reused: BTreeMap<Arc<str>, TimePoint>,
    departures: BTreeMap<Arc<str>, ServerDeparture>,
}

impl ServerTable {
    /// Replaces the whole list and returns the relevant changes; servers missing from it are
    /// removed.
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
        changes.retain(|(_, change)| *change != TableChange::Same);
        changes
    }

    /// Replaces the whole list by an older one, to which the store has returned, and returns the
    /// relevant changes. A server that was removed since the older list is not used for the time in
    /// which the store removes it again.
    pub fn restore(
        &mut self,
        list: Vec<ServerEntry>,
        now: TimePoint,
    ) -> Vec<(ServerEntry, TableChange)> {
        let has_departed = |entry: &&ServerEntry| {
            let departure = self.departures.get(&entry.id);
            departure.is_some_and(|departure| departure.started_ms == entry.started_ms)
        };
        let departed: Vec<Arc<str>> = list
            .iter()
            .filter(has_departed)
            .map(|entry| entry.id.clone())
            .collect();
        let changes = self.replace(list, now);
        for id in departed {
            self.reused.insert(id, now);
        }
        changes
    }

    /// Adds or updates an entry. A start of a server that drained once stays draining.
    pub fn upsert(&mut self, mut entry: ServerEntry) -> (ServerEntry, TableChange) {
        self.lapsed.remove(&entry.id);
        let departure = self.departures.get(&entry.id);
        let has_drained = departure
            .map(|departure| (departure.started_ms, departure.draining))
            .into_iter()
            .chain(
                self.get(&entry.id)
                    .map(|known| (known.started_ms, known.draining)),
            )
            .any(|known| known == (entry.started_ms, true));
        entry.draining |= has_drained;
        let previous = self.entries.insert(entry.id.clone(), entry.clone());
        let change = match previous {
            None if entry.draining => TableChange::Draining,
            None => TableChange::Appeared,
            Some(previous) if entry.draining && !previous.draining => TableChange::Draining,
            Some(previous) if previous.started_ms != entry.started_ms => TableChange::Appeared,
            Some(_) => TableChange::Same,
        };
        if change == TableChange::Appeared {
            self.reused.remove(&entry.id);
        }
        (entry, change)
    }

    /// Removes a server from the list; unless it was draining, it remains available as a last
    /// resort.
    pub fn remove(&mut self, id: &str, now: TimePoint) -> Option<(ServerEntry, TableChange)> {
        let entry = self.entries.remove(id)?;
        let departure = ServerDeparture {
            started_ms: entry.started_ms,
            draining: entry.draining,
            removed_at: now,
        };
        self.departures.insert(entry.id.clone(), departure);
        self.departures
            .retain(|_, departure| now.since(departure.removed_at) < DEPARTURE_RETENTION);
        if !entry.draining {
            self.lapsed.insert(entry.id.clone(), (entry.clone(), now));
        }
        Some((entry, TableChange::Gone))
    }

    /// Records that another server answered at this server's address.
    pub fn mark_reused(&mut self, id: &Arc<str>, now: TimePoint) {
        self.reused.insert(id.clone(), now);
    }

    /// Returns whether no server is listed.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the entry of a listed server.
    pub fn get(&self, id: &str) -> Option<&ServerEntry> {
        self.entries.get(id)
    }

    /// Returns all listed servers.
    pub fn listed(&self) -> impl Iterator<Item = &ServerEntry> + Clone {
        self.entries.values()
    }

    /// Returns the servers of a service that accept work, or those that lapsed recently if no other
    /// is left.
    pub fn serving(&self, service: &str, now: TimePoint) -> Vec<&ServerEntry> {
        let is_excluded = |entry: &ServerEntry| {
            let reused_at = self.reused.get(&entry.id);
            reused_at.is_some_and(|at| now.since(*at) < REUSED_ADDRESS_EXCLUSION)
        };
        let takes_work = |entry: &&ServerEntry| {
            *entry.service == *service && !entry.draining && !is_excluded(entry)
        };
        let listed: Vec<&ServerEntry> = self.entries.values().filter(takes_work).collect();
        if !listed.is_empty() {
            return listed;
        }
        let fresh = self
            .lapsed
            .values()
            .filter(|(_, at)| now.since(*at) < LAPSED_FALLBACK_WINDOW);
        fresh.map(|(entry, _)| entry).filter(takes_work).collect()
    }
}
