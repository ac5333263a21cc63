//! Tracks requests that crash backend servers.
//!
//! Covers a request that crashes every server that runs it and is sent again through other hosts:
//! after two servers crashed it is quarantined. Hosts share the crashes they observe; a host that
//! cannot reach others relies on its own. Servers that disconnect together, as when a failure
//! domain is cut off, are not counted as crashed by a request.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use galenamast::state::TimePoint;

/// Greatest number of disconnects that are remembered; far fewer already show that a domain is cut
/// off.
const MAX_DISCONNECTS: usize = 256;

/// Settings of the quarantine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CrashSettings {
    /// Number of crashed servers from which a request is refused.
    pub crashes: u32,
    /// Time since the last crash for which the request is refused.
    pub quarantine_time: Duration,
    /// Greatest number of requests that are remembered; the oldest are dropped first.
    pub capacity: usize,
    /// Time within which disconnects of several servers are assumed to have one cause.
    pub correlation_window: Duration,
}

impl Default for CrashSettings {
    fn default() -> Self {
        Self {
            crashes: 2,
            quarantine_time: Duration::from_secs(300),
            capacity: 4_096,
            correlation_window: Duration::from_millis(150),
        }
    }
}

/// Known crashes of one request.
#[derive(Clone, Debug)]
struct CrashEntry {
    servers: Vec<(Arc<str>, TimePoint)>,
    reported: u32,
    recorded_at: TimePoint,
}

/// Requests that crashed servers, by fingerprint.
#[derive(Clone, Debug, Default)]
pub struct CrashTracker {
    settings: CrashSettings,
    entries: BTreeMap<u64, CrashEntry>,
    disconnects: VecDeque<(Arc<str>, TimePoint)>,
}

impl CrashTracker {
    /// Creates an empty tracker.
    pub fn new(settings: CrashSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Records that a connection to a server broke, whatever request it carried.
    pub fn record_disconnect(&mut self, server: &Arc<str>, now: TimePoint) {
        if self.disconnects.len() >= MAX_DISCONNECTS {
            self.disconnects.pop_front();
        }
        self.disconnects.push_back((server.clone(), now));
    }

    /// Records that a server crashed while it ran a request; returns the known crashes.
    pub fn record_crash(&mut self, fingerprint: u64, server: &Arc<str>, now: TimePoint) -> u32 {
        let entry = self.entry(fingerprint, now);
        if !entry.servers.iter().any(|(known, _)| known == server) {
            entry.servers.push((server.clone(), now));
        }
        entry.recorded_at = now;
        self.entries
            .get(&fingerprint)
            .map_or(0, |entry| self.known_crashes(entry))
    }

    /// Records the number of crashes that another host reported.
    pub fn record_remote(&mut self, fingerprint: u64, crashes: u32, now: TimePoint) {
        let entry = self.entry(fingerprint, now);
        entry.reported = entry.reported.max(crashes);
        entry.recorded_at = now;
    }

    /// Returns whether a request is refused.
    pub fn is_quarantined(&self, fingerprint: u64, now: TimePoint) -> bool {
        let entry = self.entries.get(&fingerprint);
        entry.is_some_and(|entry| {
            let is_fresh = now.since(entry.recorded_at) < self.settings.quarantine_time;
            is_fresh && self.known_crashes(entry) >= self.settings.crashes
        })
    }

    /// Returns the entry of a request, and drops the oldest entry if the tracker is full.
    fn entry(&mut self, fingerprint: u64, now: TimePoint) -> &mut CrashEntry {
        if self.entries.len() >= self.settings.capacity && !self.entries.contains_key(&fingerprint)
        {
            let oldest = self
                .entries
                .iter()
                .min_by_key(|(_, entry)| entry.recorded_at);
            if let Some(oldest) = oldest.map(|(key, _)| *key) {
                self.entries.remove(&oldest);
            }
        }
        let fresh = CrashEntry {
            servers: Vec::new(),
            reported: 0,
            recorded_at: now,
        };
        self.entries.entry(fingerprint).or_insert(fresh)
    }

    /// Returns the greater of the crashes this host observed and those that were reported to it.
    fn known_crashes(&self, entry: &CrashEntry) -> u32 {
        let observed = entry
            .servers
            .iter()
            .filter(|(_, at)| !self.has_correlated_disconnect(entry, *at))
            .count();
        entry
            .reported
            .max(u32::try_from(observed).unwrap_or(u32::MAX))
    }

    /// Returns whether servers that did not run the request disconnected at the same time.
    fn has_correlated_disconnect(&self, entry: &CrashEntry, at: TimePoint) -> bool {
        self.disconnects.iter().any(|(server, disconnected_at)| {
            let apart = disconnected_at.since(at).max(at.since(*disconnected_at));
            let ran_it = entry.servers.iter().any(|(known, _)| known == server);
            apart <= self.settings.correlation_window && !ran_it
        })
    }
}
