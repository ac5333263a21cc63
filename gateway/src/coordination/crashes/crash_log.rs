//! Recent crashes of servers, and the requests that were unanswered there.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use galenamast::state::TimePoint;

use crate::coordination::crashes::CrashSettings;
use crate::state::CrashSuspect;

/// Greatest number of losses that are remembered; far fewer already show that a domain is cut off.
const MAX_LOSSES: usize = 256;

/// What may have crashed a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SuspectKey {
    /// A request, by its fingerprint.
    Request(u64),
    /// A prompt part, by its digest.
    Part(u64),
}

/// One crash of a server, as all hosts together saw it.
#[derive(Clone, Debug)]
struct CrashEntry {
    server: Arc<str>,
    // When the crash ceases to count, which stands for its own time: that may lie before the start of
    // this process, which `TimePoint` does not reach.
    ends_at: TimePoint,
    // Requests and parts that were unanswered there; parts with their place in the prompt.
    suspects: BTreeMap<SuspectKey, usize>,
    // Refused part that was among the suspects, which clears the others.
    cause: Option<u64>,
}

/// The crashes of servers that count as evidence, and all losses of connections to servers.
#[derive(Clone, Debug, Default)]
pub struct CrashLog {
    settings: CrashSettings,
    entries: VecDeque<CrashEntry>,
    losses: VecDeque<(Arc<str>, TimePoint)>,
}

impl CrashLog {
    /// Creates an empty log.
    pub fn new(settings: CrashSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Returns whether no crash is remembered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Records that a connection to a server broke, whatever request it carried.
    pub fn record_loss(&mut self, server: &Arc<str>, now: TimePoint) {
        if self.losses.len() >= MAX_LOSSES {
            self.losses.pop_front();
        }
        self.losses.push_back((server.clone(), now));
    }

    /// Records that a server crashed while a request was unanswered there. Returns whether the crash
    /// had not been held against any of the request's parts in `refused` yet.
    pub fn record_crash(
        &mut self,
        server: &Arc<str>,
        suspect: &CrashSuspect,
        refused: impl Fn(u64) -> bool,
        now: TimePoint,
    ) -> bool {
        self.record_loss(server, now);
        self.drop_old(now);
        let max_suspects = self.settings.max_suspects;
        let entry = self.open_entry(server, now);
        let parts = suspect.parts.iter().enumerate();
        let parts = parts.map(|(depth, part)| (SuspectKey::Part(*part), depth));
        let request = (SuspectKey::Request(suspect.fingerprint), 0);
        for (key, depth) in parts.chain([request]) {
            if entry.suspects.len() < max_suspects {
                entry.suspects.entry(key).or_insert(depth);
            }
        }
        let known = entry.cause;
        entry.cause = known.or_else(|| suspect.parts.iter().copied().find(|part| refused(*part)));
        known.is_none() && entry.cause.is_some()
    }

    /// Returns whether a server crashed, too long ago for a common cause with a loss at `now`.
    pub fn has_crashed_before(&self, server: &str, now: TimePoint) -> bool {
        let window = self.settings.correlation_window;
        let end = self.end_of(now);
        let is_earlier =
            |entry: &CrashEntry| *entry.server == *server && end.since(entry.ends_at) > window;
        self.entries.iter().any(is_earlier)
    }

    /// Returns whether a connection to a server broke so recently that a loss at `now` may have the same
    /// cause.
    pub fn was_lost_recently(&self, server: &str, now: TimePoint) -> bool {
        let window = self.settings.correlation_window;
        let mut losses = self.losses.iter();
        losses.any(|(lost, at)| **lost == *server && now.since(*at) <= window)
    }

    /// Returns the number of crashes that are held against a suspect, of those after `since`.
    pub fn count(&self, key: SuspectKey, since: Option<TimePoint>, now: TimePoint) -> usize {
        self.counted(key, since, now).count()
    }

    /// Returns the parts with at least the crashes that `needed` returns for each, and the number of
    /// these crashes, the most and then the most specific first. Crashes count after `since`.
    pub fn suspected_parts(
        &self,
        needed: impl Fn(u64) -> usize,
        since: impl Fn(u64) -> Option<TimePoint>,
        now: TimePoint,
    ) -> Vec<(u64, usize)> {
        let open = self.entries.iter().filter(|entry| entry.cause.is_none());
        let mut rough: BTreeMap<u64, (usize, usize)> = BTreeMap::new();
        for (key, depth) in open.flat_map(|entry| &entry.suspects) {
            if let SuspectKey::Part(part) = key {
                let (count, deepest) = rough.entry(*part).or_default();
                (*count, *deepest) = (*count + 1, (*deepest).max(*depth));
            }
        }
        let likely = rough
            .into_iter()
            .filter(|(part, (count, _))| *count >= needed(*part));
        let counted = likely.map(|(part, (_, depth))| {
            let count = self.count(SuspectKey::Part(part), since(part), now);
            (count, depth, part)
        });
        let mut parts: Vec<_> = counted
            .filter(|(count, _, part)| *count >= needed(*part))
            .collect();
        parts.sort_unstable_by(|left, right| right.cmp(left));
        parts
            .into_iter()
            .map(|(count, _, part)| (part, count))
            .collect()
    }

    /// Returns the number of crashes in which a part was unanswered, whatever caused them.
    pub fn occurrences(&self, part: u64) -> usize {
        let key = SuspectKey::Part(part);
        let holds = |entry: &&CrashEntry| entry.suspects.contains_key(&key);
        self.entries.iter().filter(holds).count()
    }

    /// Holds the crashes in which a part was unanswered against it, and against nothing else.
    pub fn assign_cause(&mut self, part: u64) {
        let key = SuspectKey::Part(part);
        for entry in &mut self.entries {
            if entry.cause.is_none() && entry.suspects.contains_key(&key) {
                entry.cause = Some(part);
            }
        }
    }

    /// Holds the crashes that were assigned to a part against all their suspects again.
    pub fn withdraw_cause(&mut self, part: u64) {
        let assigned = |entry: &&mut CrashEntry| entry.cause == Some(part);
        self.entries
            .iter_mut()
            .filter(assigned)
            .for_each(|entry| entry.cause = None);
    }

    /// Clears a request that was answered; returns whether it was a suspect.
    pub fn clear_request(&mut self, fingerprint: u64) -> bool {
        let key = SuspectKey::Request(fingerprint);
        let mut was_suspect = false;
        for entry in &mut self.entries {
            was_suspect |= entry.suspects.remove(&key).is_some();
        }
        was_suspect
    }

    /// Returns the requests among the suspects, each with the number of its crashes whatever caused them.
    pub fn suspected_requests(&self, now: TimePoint) -> BTreeMap<u64, usize> {
        let mut counts = BTreeMap::new();
        let open = |entry: &&CrashEntry| entry.cause.is_none() && entry.ends_at > now;
        let entries = self.entries.iter().filter(open);
        for key in entries.flat_map(|entry| entry.suspects.keys()) {
            if let SuspectKey::Request(fingerprint) = key {
                *counts.entry(*fingerprint).or_default() += 1;
            }
        }
        counts
    }

    /// Returns the crashes that are held against a request, with their ages, the latest first. Those of
    /// which reports may still arrive are left out.
    pub fn crashes_of_request(
        &self,
        fingerprint: u64,
        now: TimePoint,
    ) -> Vec<(Arc<str>, Duration)> {
        let counted = self.counted(SuspectKey::Request(fingerprint), None, now);
        let age = |entry: &CrashEntry| self.end_of(now).since(entry.ends_at);
        let aged = counted.map(|entry| (entry.server.clone(), age(entry)));
        let mut crashes: Vec<_> = aged
            .filter(|(_, age)| *age >= self.settings.restart_time)
            .collect();
        crashes.sort_by_key(|(_, age)| *age);
        crashes
    }

    /// Holds crashes against a request that another host holds against it; returns the number of those
    /// that were not held against it here.
    ///
    /// Each is taken for a known one of the same server, as its age may be too low by the time that the
    /// report was under way. So a report adds to the crashes of a server only what exceeds their number.
    pub fn merge_request(
        &mut self,
        fingerprint: u64,
        crashes: &[(Arc<str>, Duration)],
        now: TimePoint,
    ) -> usize {
        self.drop_old(now);
        let key = SuspectKey::Request(fingerprint);
        let mut matched = BTreeSet::new();
        let mut added = Vec::new();
        for (server, age) in crashes {
            let ends_at = now + self.settings.evidence_time.saturating_sub(*age);
            match self.matching_entry(server, key, ends_at, &matched) {
                Some(index) => {
                    matched.insert(index);
                }
                None if ends_at > now => added.push((server, ends_at)),
                None => {}
            }
        }
        let mut news = 0;
        for index in matched {
            let max_suspects = self.settings.max_suspects;
            let suspects = &mut self.entries[index].suspects;
            if suspects.len() < max_suspects && suspects.insert(key, 0).is_none() {
                news += 1;
            }
        }
        for (server, ends_at) in added {
            news += usize::from(self.insert_entry(server, key, ends_at));
        }
        news
    }

    /// Returns a known crash that a reported one is taken for: at the same time, or else one that is held
    /// against the same suspect.
    fn matching_entry(
        &self,
        server: &Arc<str>,
        key: SuspectKey,
        ends_at: TimePoint,
        excluded: &BTreeSet<usize>,
    ) -> Option<usize> {
        let restart_time = self.settings.restart_time;
        let entries = self.entries.iter().enumerate();
        let candidates = entries.filter(|(index, entry)| {
            let is_near = distance(entry.ends_at, ends_at) < restart_time;
            let is_known = is_near || entry.suspects.contains_key(&key);
            entry.server == *server && is_known && !excluded.contains(index)
        });
        let nearest = candidates.min_by_key(|(_, entry)| distance(entry.ends_at, ends_at));
        nearest.map(|(index, _)| index)
    }

    /// Adds a crash in the order of time; returns false if it is older than all of a full log.
    fn insert_entry(&mut self, server: &Arc<str>, key: SuspectKey, ends_at: TimePoint) -> bool {
        let index = self
            .entries
            .partition_point(|entry| entry.ends_at <= ends_at);
        let is_full = self.entries.len() >= self.settings.max_crashes;
        if is_full && index == 0 {
            return false;
        }
        let entry = CrashEntry {
            server: server.clone(),
            ends_at,
            suspects: BTreeMap::from([(key, 0)]),
            cause: None,
        };
        self.entries.insert(index, entry);
        if is_full {
            self.entries.pop_front();
        }
        true
    }

    /// Returns when a crash at a time ceases to count.
    fn end_of(&self, at: TimePoint) -> TimePoint {
        at + self.settings.evidence_time
    }

    /// Returns the entry of a crash; reports of one crash come from several hosts.
    fn open_entry(&mut self, server: &Arc<str>, now: TimePoint) -> &mut CrashEntry {
        let restart_time = self.settings.restart_time;
        let ends_at = self.end_of(now);
        let is_same = |entry: &CrashEntry| {
            entry.server == *server && ends_at.since(entry.ends_at) < restart_time
        };
        let index = match self.entries.iter().position(is_same) {
            Some(index) => index,
            None => {
                if self.entries.len() >= self.settings.max_crashes {
                    self.entries.pop_front();
                }
                self.entries.push_back(CrashEntry {
                    server: server.clone(),
                    ends_at,
                    suspects: BTreeMap::new(),
                    cause: None,
                });
                self.entries.len() - 1
            }
        };
        &mut self.entries[index]
    }

    /// Returns the crashes that are held against a suspect.
    fn counted(
        &self,
        key: SuspectKey,
        since: Option<TimePoint>,
        now: TimePoint,
    ) -> impl Iterator<Item = &CrashEntry> {
        let since = since.map(|since| self.end_of(since));
        let accusing = move |entry: &&CrashEntry| {
            entry.cause.is_none()
                && entry.suspects.contains_key(&key)
                && entry.ends_at > now
                && since.is_none_or(|since| entry.ends_at > since)
        };
        let servers: BTreeSet<&Arc<str>> = self
            .entries
            .iter()
            .filter(accusing)
            .map(|entry| &entry.server)
            .collect();
        self.entries
            .iter()
            .filter(accusing)
            .filter(move |entry| !self.has_correlated_loss(entry.ends_at, &servers))
    }

    /// Returns whether a server other than `servers` was lost at the time of a crash.
    fn has_correlated_loss(&self, ends_at: TimePoint, servers: &BTreeSet<&Arc<str>>) -> bool {
        let window: Duration = self.settings.correlation_window;
        self.losses.iter().any(|(server, lost_at)| {
            let apart = distance(self.end_of(*lost_at), ends_at);
            apart <= window && !servers.contains(server)
        })
    }

    /// Drops crashes that no longer count.
    fn drop_old(&mut self, now: TimePoint) {
        self.entries.retain(|entry| entry.ends_at > now);
    }
}

/// Returns the time between two points, whichever is later.
fn distance(left: TimePoint, right: TimePoint) -> Duration {
    left.since(right).max(right.since(left))
}
