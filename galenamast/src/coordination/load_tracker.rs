//! Who watches the load of which backend server, and what the hosts tell each other of it.
//!
//! Two hosts of a failure domain ask each of its servers. The first one shares what it measures,
//! the second one only when the first falls silent. A host passes each new measurement on once, to
//! a few random hosts. A host that hears nothing of a server asks it itself.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand::SeedableRng;
use rand::seq::IteratorRandom;
use rand_chacha::ChaCha8Rng;

use crate::coordination::load_digest::{
    LoadEntry, PolledState, PoolSummary, ServerTag, digest_versions,
};
use crate::coordination::load_event::{LoadAction, LoadEvent, LoadSettings, WatchTarget};
use crate::coordination::load_report::LoadReport;
use crate::coordination::rendezvous::rank_hosts;
use crate::state::{DomainName, HostName, PoolName, ServerLoad, ServerName, TimePoint, VersionKey};

/// Shares that name the versions of a server after they changed.
const VERSION_SHARES: u32 = 3;
/// Age from which a shared measurement is not taken in.
const MAX_ENTRY_AGE: Duration = Duration::from_secs(5);
/// Greatest size of the measurements in one message, in bytes.
const MAX_DIGEST_BYTES: usize = 1_050;

/// What is known of one server.
#[derive(Clone, Debug)]
struct WatchedServer {
    domain: DomainName,
    rank: usize,
    entry: LoadEntry,
    versions: BTreeSet<VersionKey>,
    version_shares: u32,
    measured_at: TimePoint,
    heard_at: TimePoint,
    adopted_at: Option<TimePoint>,
    answered_at: Option<TimePoint>,
    polled_at: Option<TimePoint>,
    shared_at: Option<TimePoint>,
    pending: bool,
}

/// Key of the summaries of another failure domain.
type SummaryKey = (DomainName, PoolName, Option<VersionKey>, u8);

/// Measurements of all servers, as one entry host knows them.
#[derive(Clone, Debug)]
pub struct LoadTracker {
    own: HostName,
    domain: DomainName,
    settings: LoadSettings,
    hosts: BTreeSet<HostName>,
    contacted: BTreeSet<DomainName>,
    servers: BTreeMap<ServerName, WatchedServer>,
    tags: BTreeMap<ServerTag, ServerName>,
    summaries: BTreeMap<SummaryKey, (PoolSummary, TimePoint)>,
    summarized: BTreeMap<DomainName, TimePoint>,
    generator: ChaCha8Rng,
    actions: Vec<LoadAction>,
}

impl LoadTracker {
    /// Creates the board of a host that knows no server yet.
    pub fn new(own: HostName, domain: DomainName, settings: LoadSettings, seed: u64) -> Self {
        Self {
            hosts: [own.clone()].into(),
            own,
            domain,
            settings,
            contacted: BTreeSet::new(),
            servers: BTreeMap::new(),
            tags: BTreeMap::new(),
            summaries: BTreeMap::new(),
            summarized: BTreeMap::new(),
            generator: ChaCha8Rng::seed_from_u64(seed),
            actions: Vec::new(),
        }
    }

    /// Reacts to an event.
    pub fn handle(&mut self, event: LoadEvent, now: TimePoint) -> Vec<LoadAction> {
        match event {
            LoadEvent::Members { hosts, domains } => self.set_members(hosts, domains),
            LoadEvent::Servers(targets) => self.set_servers(targets, now),
            LoadEvent::Polled(name, report) => self.polled(&name, report, now),
            LoadEvent::Received(entries) => {
                for entry in entries {
                    self.receive(entry, now);
                }
            }
            LoadEvent::Summary(summary) => self.take_summary(summary, now),
            LoadEvent::Tick => self.tick(now),
            LoadEvent::Flush => self.flush(now),
        }
        std::mem::take(&mut self.actions)
    }

    /// Returns the hosts that watch a server, the one that shares first.
    pub fn watchers(&self, name: &ServerName) -> Vec<HostName> {
        let mut ranked = rank_hosts(name.as_str(), &self.hosts);
        ranked.truncate(self.settings.watchers);
        ranked
    }

    /// Takes over the live hosts of the own failure domain and the domains with live contacts.
    fn set_members(&mut self, hosts: BTreeSet<HostName>, domains: BTreeSet<DomainName>) {
        self.contacted = domains;
        if hosts == self.hosts {
            return;
        }
        self.hosts = hosts;
        let ranks: Vec<usize> = self
            .servers
            .keys()
            .map(|name| self.own_rank(name))
            .collect();
        for (server, rank) in self.servers.values_mut().zip(ranks) {
            server.rank = rank;
        }
    }

    /// Returns the place of the own host among those that could watch a server.
    fn own_rank(&self, name: &ServerName) -> usize {
        let ranked = rank_hosts(name.as_str(), &self.hosts);
        let place = ranked.iter().position(|host| *host == self.own);
        place.unwrap_or(0)
    }

    /// Takes over the servers of the host list.
    fn set_servers(&mut self, targets: Vec<WatchTarget>, now: TimePoint) {
        let names: BTreeSet<&ServerName> = targets.iter().map(|target| &target.name).collect();
        self.servers.retain(|name, _| names.contains(name));
        for target in targets {
            if self.servers.contains_key(&target.name) {
                continue;
            }
            let tag = ServerTag::of_name(&target.name);
            let server = WatchedServer {
                rank: self.own_rank(&target.name),
                domain: target.domain,
                entry: LoadEntry {
                    tag,
                    ..Default::default()
                },
                versions: BTreeSet::new(),
                version_shares: 0,
                measured_at: TimePoint::ZERO,
                heard_at: now,
                adopted_at: None,
                answered_at: None,
                polled_at: None,
                shared_at: None,
                pending: false,
            };
            self.tags.insert(tag, target.name.clone());
            let watched = self.is_watched(&server, now) && server.rank < self.settings.watchers;
            self.servers.insert(target.name.clone(), server);
            if watched {
                self.poll(&target.name, now);
            }
        }
        let servers = &self.servers;
        self.tags.retain(|_, name| servers.contains_key(name));
    }

    /// Returns whether the hosts of the own failure domain watch a server.
    ///
    /// They do for their own domain and for any that nothing is heard of.
    fn is_watched(&self, server: &WatchedServer, now: TimePoint) -> bool {
        if server.domain == self.domain || !self.contacted.contains(&server.domain) {
            return true;
        }
        let heard = self.summarized.get(&server.domain);
        let heard = heard
            .copied()
            .unwrap_or(TimePoint::ZERO)
            .max(server.heard_at);
        now.since(heard) > self.settings.summary_bound
    }

    /// Asks the servers that it is time to ask, and reports those of other failure domains.
    fn tick(&mut self, now: TimePoint) {
        let mut due = Vec::new();
        for (name, server) in &self.servers {
            if !self.is_watched(server, now) {
                continue;
            }
            let since_poll = server.polled_at.map(|at| now.since(at));
            let silent = now.since(server.heard_at) > self.settings.silence_bound;
            let rested = since_poll.is_none_or(|since| since > self.settings.silence_bound);
            if server.rank < self.settings.watchers || (silent && rested) {
                due.push(name.clone());
            }
        }
        for name in due {
            self.poll(&name, now);
        }
        self.report_summaries(now);
    }

    /// Asks a server for its load.
    fn poll(&mut self, name: &ServerName, now: TimePoint) {
        if let Some(server) = self.servers.get_mut(name) {
            server.polled_at = Some(now);
            self.actions.push(LoadAction::Poll(name.clone()));
        }
    }

    /// Takes in the answer of a server, or that there was none.
    fn polled(&mut self, name: &ServerName, report: Option<LoadReport>, now: TimePoint) {
        let (watchers, period) = (self.settings.watchers, self.settings.share_period);
        let Some(server) = self.servers.get_mut(name) else {
            return;
        };
        server.measured_at = now;
        server.heard_at = now;
        let before = server.entry.polled_state;
        match &report {
            Some(report) => {
                server.answered_at = Some(now);
                server.entry.polled_state = if report.draining {
                    PolledState::Draining
                } else {
                    PolledState::Serving
                };
                server.entry.incarnation = report.incarnation;
                server.entry.load = report.load;
                let digest = digest_versions(&report.versions);
                if digest != server.entry.versions_digest {
                    server.entry.versions_digest = digest;
                    server.versions.clone_from(&report.versions);
                    server.version_shares = VERSION_SHARES;
                }
            }
            None => {
                server.answered_at = None;
                server.entry.polled_state = PolledState::Unreachable;
            }
        }
        let changed = server.entry.polled_state != before;
        let is_first = server.rank == 0;
        let is_stale = |at: Option<TimePoint>, bound| at.is_none_or(|at| now.since(at) >= bound);
        let due = if is_first {
            changed || is_stale(server.shared_at, period)
        } else {
            let leaving = changed && server.entry.polled_state == PolledState::Draining;
            let heard = server.adopted_at.max(server.shared_at);
            leaving || is_stale(heard, period * 2)
        };
        let shared = server.rank < watchers && due;
        if shared {
            server.entry.sequence += 1;
            server.shared_at = Some(now);
            server.pending = true;
        }
        self.actions.push(match report {
            Some(report) => LoadAction::Report(name.clone(), report, Duration::ZERO),
            None => LoadAction::Fail(name.clone()),
        });
        // Deaths and leavings do not wait for the next round.
        if shared && changed {
            self.flush(now);
        }
    }

    /// Takes in a measurement that another host shared.
    fn receive(&mut self, entry: LoadEntry, now: TimePoint) {
        let age = Duration::from_millis(u64::from(entry.age_ms));
        let Some(name) = self.tags.get(&entry.tag).cloned() else {
            return;
        };
        let Some(server) = self.servers.get_mut(&name) else {
            return;
        };
        let known = &server.entry;
        let stale = server
            .adopted_at
            .max(server.shared_at)
            .is_none_or(|at| now.since(at) > MAX_ENTRY_AGE);
        let newer = entry.incarnation > known.incarnation
            || (entry.incarnation == known.incarnation
                && (entry.sequence > known.sequence || stale));
        if age > MAX_ENTRY_AGE || !newer {
            return;
        }
        let changed = entry.polled_state != known.polled_state;
        server.adopted_at = Some(now);
        server.measured_at = now - age;
        // The own answer of a moment ago counts more than another host's lack of one.
        let answered = server.answered_at;
        let answered = answered.is_some_and(|at| now.since(at) < self.settings.silence_bound);
        let doubted = entry.polled_state == PolledState::Unreachable && answered;
        let versions_known = match &entry.versions {
            Some(versions) => {
                server.versions.clone_from(versions);
                server.version_shares = 1;
                true
            }
            None => entry.versions_digest == known.versions_digest,
        };
        let report = LoadReport {
            incarnation: entry.incarnation,
            draining: entry.polled_state == PolledState::Draining,
            load: entry.load,
            versions: server.versions.clone(),
        };
        let unreachable = entry.polled_state == PolledState::Unreachable;
        let known_digest = known.versions_digest;
        server.entry = entry;
        if versions_known {
            server.pending = true;
            server.heard_at = now - age;
        } else {
            // What cannot be used is not passed on; the server itself says what it has loaded.
            server.entry.versions_digest = known_digest;
            self.poll(&name, now);
        }
        if unreachable && !doubted {
            self.actions.push(LoadAction::Fail(name));
        } else if !unreachable && versions_known {
            self.actions.push(LoadAction::Report(name, report, age));
        }
        if changed {
            self.flush(now);
        }
    }

    /// Passes new measurements on to a few random hosts.
    fn flush(&mut self, now: TimePoint) {
        let mut chunks: Vec<Vec<LoadEntry>> = Vec::new();
        let mut bytes = MAX_DIGEST_BYTES;
        for server in self.servers.values_mut().filter(|server| server.pending) {
            server.pending = false;
            let mut entry = server.entry.clone();
            let age = now.since(server.measured_at).as_millis();
            entry.age_ms = u32::try_from(age).unwrap_or(u32::MAX);
            entry.versions = None;
            if server.version_shares > 0 {
                server.version_shares -= 1;
                entry.versions = Some(server.versions.clone());
            }
            let size = entry.encoded_bound();
            if bytes + size > MAX_DIGEST_BYTES || chunks.is_empty() {
                chunks.push(Vec::new());
                bytes = 0;
            }
            bytes += size;
            if let Some(chunk) = chunks.last_mut() {
                chunk.push(entry);
            }
        }
        if chunks.is_empty() {
            return;
        }
        let others = self.hosts.iter().filter(|host| **host != self.own);
        let targets = others.choose_multiple(&mut self.generator, self.settings.fanout);
        for target in targets {
            for chunk in &chunks {
                let action = LoadAction::Send(target.clone(), chunk.clone());
                self.actions.push(action);
            }
        }
    }

    /// Takes in a summary of another failure domain.
    fn take_summary(&mut self, summary: PoolSummary, now: TimePoint) {
        if summary.domain == self.domain {
            return;
        }
        self.summarized.insert(summary.domain.clone(), now);
        let key = (
            summary.domain.clone(),
            summary.pool.clone(),
            summary.version.clone(),
            summary.part,
        );
        self.summaries.insert(key, (summary, now));
        self.report_summaries(now);
    }

    /// Reports the servers of other failure domains at the mean load of their summary.
    fn report_summaries(&mut self, now: TimePoint) {
        let bound = self.settings.summary_bound;
        self.summaries
            .retain(|_, (_, heard)| now.since(*heard) <= bound);
        let mut reports: BTreeMap<ServerName, (LoadReport, Duration)> = BTreeMap::new();
        for (summary, heard) in self.summaries.values() {
            let count = u32::try_from(summary.servers.len()).unwrap_or(u32::MAX);
            let count = count.max(1);
            let load = ServerLoad {
                running: summary.running.div_ceil(count),
                waiting: summary.waiting.div_ceil(count),
                ..Default::default()
            };
            for name in summary.servers.iter().filter_map(|tag| self.tags.get(tag)) {
                let (report, age) = reports.entry(name.clone()).or_default();
                report.load = load;
                report.versions.extend(summary.version.clone());
                *age = now.since(*heard);
            }
        }
        for (name, (report, age)) in reports {
            self.actions.push(LoadAction::Report(name, report, age));
        }
    }
}
