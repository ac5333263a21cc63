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
    at: TimePoint,
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
        let is_earlier =
            |entry: &CrashEntry| *entry.server == *server && now.since(entry.at) > window;
        self.entries.iter().any(is_earlier)
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

    /// Clears a request that was answered.
    pub fn clear_request(&mut self, fingerprint: u64) {
        for entry in &mut self.entries {
            entry.suspects.remove(&SuspectKey::Request(fingerprint));
        }
    }

    /// Returns the entry of a crash; reports of one crash come from several hosts.
    fn open_entry(&mut self, server: &Arc<str>, now: TimePoint) -> &mut CrashEntry {
        let restart_time = self.settings.restart_time;
        let is_same =
            |entry: &CrashEntry| entry.server == *server && now.since(entry.at) < restart_time;
        let index = match self.entries.iter().position(is_same) {
            Some(index) => index,
            None => {
                if self.entries.len() >= self.settings.max_crashes {
                    self.entries.pop_front();
                }
                self.entries.push_back(CrashEntry {
                    server: server.clone(),
                    at: now,
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
        let evidence_time = self.settings.evidence_time;
        let accusing = move |entry: &&CrashEntry| {
            entry.cause.is_none()
                && entry.suspects.contains_key(&key)
                && now.since(entry.at) < evidence_time
                && since.is_none_or(|since| entry.at > since)
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
            .filter(move |entry| !self.has_correlated_loss(entry.at, &servers))
    }

    /// Returns whether a server other than `servers` was lost at the same time.
    fn has_correlated_loss(&self, at: TimePoint, servers: &BTreeSet<&Arc<str>>) -> bool {
        let window: Duration = self.settings.correlation_window;
        self.losses.iter().any(|(server, lost_at)| {
            let apart = lost_at.since(at).max(at.since(*lost_at));
            apart <= window && !servers.contains(server)
        })
    }

    /// Drops crashes that no longer count.
    fn drop_old(&mut self, now: TimePoint) {
        let evidence_time = self.settings.evidence_time;
        self.entries
            .retain(|entry| now.since(entry.at) < evidence_time);
    }
}
