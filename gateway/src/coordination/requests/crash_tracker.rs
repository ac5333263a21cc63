//! Requests that crashed backend servers.
//!
//! Answers a request that kills each server that runs it and comes again at any host: what crashed
//! two servers goes to no third. Hosts share what they saw; a host that cannot goes by its own.
//! Servers that break together, as when a failure domain is cut off, were crashed by no request.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use galenamast::state::TimePoint;

/// Breaks that are remembered; a cut of many servers shows in far fewer.
const REMEMBERED_BREAKS: usize = 256;

/// Settings of the quarantine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CrashSettings {
    /// Crashes after which a request is refused.
    pub crashes: u32,
    /// Time for which it is refused.
    pub retention: Duration,
    /// Requests that are remembered; the oldest yield.
    pub capacity: usize,
    /// Time within which breaks of several servers have one cause.
    pub together: Duration,
}

impl Default for CrashSettings {
    fn default() -> Self {
        Self {
            crashes: 2,
            retention: Duration::from_secs(300),
            capacity: 4_096,
            together: Duration::from_millis(150),
        }
    }
}

/// What is known of one request.
#[derive(Clone, Debug)]
struct CrashEntry {
    servers: Vec<(Arc<str>, TimePoint)>,
    told: u32,
    noted_at: TimePoint,
}

/// The requests that crashed servers.
#[derive(Clone, Debug, Default)]
pub struct CrashTracker {
    settings: CrashSettings,
    entries: BTreeMap<u64, CrashEntry>,
    breaks: VecDeque<(Arc<str>, TimePoint)>,
}

impl CrashTracker {
    /// Creates an empty book.
    pub fn new(settings: CrashSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Notes that a connection to a server broke, whatever request it carried.
    pub fn record_disconnect(&mut self, server: &Arc<str>, now: TimePoint) {
        if self.breaks.len() >= REMEMBERED_BREAKS {
            self.breaks.pop_front();
        }
        self.breaks.push_back((server.clone(), now));
    }

    /// Notes that a server crashed while it ran a request; returns the crashes that are known.
    pub fn record_crash(&mut self, fingerprint: u64, server: &Arc<str>, now: TimePoint) -> u32 {
        let entry = self.entry(fingerprint, now);
        if !entry.servers.iter().any(|(known, _)| known == server) {
            entry.servers.push((server.clone(), now));
        }
        entry.noted_at = now;
        self.entries
            .get(&fingerprint)
            .map_or(0, |entry| self.crashes_of(entry))
    }

    /// Takes in what another host noted.
    pub fn record_remote(&mut self, fingerprint: u64, crashes: u32, now: TimePoint) {
        let entry = self.entry(fingerprint, now);
        entry.told = entry.told.max(crashes);
        entry.noted_at = now;
    }

    /// Returns whether a request is refused.
    pub fn is_quarantined(&self, fingerprint: u64, now: TimePoint) -> bool {
        let entry = self.entries.get(&fingerprint);
        entry.is_some_and(|entry| {
            let is_fresh = now.since(entry.noted_at) < self.settings.retention;
            is_fresh && self.crashes_of(entry) >= self.settings.crashes
        })
    }

    /// Returns the entry of a request.
    fn entry(&mut self, fingerprint: u64, now: TimePoint) -> &mut CrashEntry {
        if self.entries.len() >= self.settings.capacity && !self.entries.contains_key(&fingerprint)
        {
            let oldest = self.entries.iter().min_by_key(|(_, entry)| entry.noted_at);
            if let Some(oldest) = oldest.map(|(key, _)| *key) {
                self.entries.remove(&oldest);
            }
        }
        let fresh = CrashEntry {
            servers: Vec::new(),
            told: 0,
            noted_at: now,
        };
        self.entries.entry(fingerprint).or_insert(fresh)
    }

    /// Returns the crashes that are known of a request.
    fn crashes_of(&self, entry: &CrashEntry) -> u32 {
        let own = entry
            .servers
            .iter()
            .filter(|(_, at)| !self.broke_together(entry, *at))
            .count();
        entry.told.max(u32::try_from(own).unwrap_or(u32::MAX))
    }

    /// Returns whether servers that did not run the request broke at the same moment.
    fn broke_together(&self, entry: &CrashEntry, at: TimePoint) -> bool {
        self.breaks.iter().any(|(server, broke_at)| {
            let apart = broke_at.since(at).max(at.since(*broke_at));
            let ran_it = entry.servers.iter().any(|(known, _)| known == server);
            apart <= self.settings.together && !ran_it
        })
    }
}
