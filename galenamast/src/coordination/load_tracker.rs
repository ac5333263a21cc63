//! Tracks the load of backend servers by polling them and by gossip among entry hosts.
//!
//! Two hosts of a failure domain poll each of its servers. The first one shares its measurements;
//! the second one does so only when the first goes silent. A host forwards each new measurement
//! once, to a few random hosts. A host that receives no measurement of a server polls it itself.

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

/// Number of shared measurements that carry a server's versions after these changed.
const VERSION_SHARES: u32 = 3;
/// Maximum age of a shared measurement; older ones are ignored.
const MAX_ENTRY_AGE: Duration = Duration::from_secs(5);
/// Maximum size of the measurements in one message, in bytes.
const MAX_DIGEST_BYTES: usize = 1_050;

/// State of one tracked server.
#[derive(Clone, Debug)]
struct WatchedServer {
    domain: DomainName,
    /// Rank of the local host among the server's potential watchers; zero shares first.
    rank: usize,
    entry: LoadEntry,
    versions: BTreeSet<VersionKey>,
    /// Number of further shares that carry the versions.
    version_shares: u32,
    /// Time of the measurement in `entry`.
    measured_at: TimePoint,
    /// Time of the last measurement, by this host or another one; initially the time of listing.
    updated_at: TimePoint,
    /// Time when a measurement of another host was last adopted.
    adopted_at: Option<TimePoint>,
    /// Time of the last answered poll; `None` if the last poll failed.
    answered_at: Option<TimePoint>,
    polled_at: Option<TimePoint>,
    shared_at: Option<TimePoint>,
    /// Whether `entry` has to be forwarded.
    pending: bool,
}

/// Key of a summary: failure domain, pool, version and part.
type SummaryKey = (DomainName, PoolName, Option<VersionKey>, u8);

/// Load of all servers as known to one entry host.
#[derive(Clone, Debug)]
pub struct LoadTracker {
    local_host: HostName,
    domain: DomainName,
    settings: LoadSettings,
    hosts: BTreeSet<HostName>,
    reachable: BTreeSet<DomainName>,
    servers: BTreeMap<ServerName, WatchedServer>,
    tags: BTreeMap<ServerTag, ServerName>,
    summaries: BTreeMap<SummaryKey, (PoolSummary, TimePoint)>,
    /// Time of the last summary of each failure domain.
    summarized_at: BTreeMap<DomainName, TimePoint>,
    generator: ChaCha8Rng,
    actions: Vec<LoadAction>,
}

impl LoadTracker {
    /// Creates a tracker without servers.
    pub fn new(
        local_host: HostName,
        domain: DomainName,
        settings: LoadSettings,
        seed: u64,
    ) -> Self {
        Self {
            hosts: [local_host.clone()].into(),
            local_host,
            domain,
            settings,
            reachable: BTreeSet::new(),
            servers: BTreeMap::new(),
            tags: BTreeMap::new(),
            summaries: BTreeMap::new(),
            summarized_at: BTreeMap::new(),
            generator: ChaCha8Rng::seed_from_u64(seed),
            actions: Vec::new(),
        }
    }

    /// Handles an event and returns the actions to perform.
    pub fn handle(&mut self, event: LoadEvent, now: TimePoint) -> Vec<LoadAction> {
        match event {
            LoadEvent::Members { hosts, domains } => self.set_members(hosts, domains),
            LoadEvent::Servers(targets) => self.set_servers(targets, now),
            LoadEvent::Polled(name, report) => self.handle_poll(&name, report, now),
            LoadEvent::Received(entries) => {
                for entry in entries {
                    self.merge_entry(entry, now);
                }
            }
            LoadEvent::Summary(summary) => self.merge_summary(summary, now),
            LoadEvent::Tick => self.tick(now),
            LoadEvent::Flush => self.flush(now),
        }
        std::mem::take(&mut self.actions)
    }

    /// Returns the hosts that poll a server; the one that shares its measurements comes first.
    pub fn watchers(&self, name: &ServerName) -> Vec<HostName> {
        let mut ranked = rank_hosts(name.as_str(), &self.hosts);
        ranked.truncate(self.settings.watchers);
        ranked
    }

    /// Replaces the live hosts of the local failure domain and the other domains with a live
    /// contact.
    fn set_members(&mut self, hosts: BTreeSet<HostName>, domains: BTreeSet<DomainName>) {
        self.reachable = domains;
        if hosts == self.hosts {
            return;
        }
        self.hosts = hosts;
        let ranks: Vec<usize> = self
            .servers
            .keys()
            .map(|name| self.local_rank(name))
            .collect();
        for (server, rank) in self.servers.values_mut().zip(ranks) {
            server.rank = rank;
        }
    }

    /// Returns the rank of the local host among those that could poll a server.
    fn local_rank(&self, name: &ServerName) -> usize {
        let ranked = rank_hosts(name.as_str(), &self.hosts);
        let rank = ranked.iter().position(|host| *host == self.local_host);
        rank.unwrap_or(0)
    }

    /// Replaces the tracked servers by those of the host list.
    fn set_servers(&mut self, targets: Vec<WatchTarget>, now: TimePoint) {
        let names: BTreeSet<&ServerName> = targets.iter().map(|target| &target.name).collect();
        self.servers.retain(|name, _| names.contains(name));
        for target in targets {
            if self.servers.contains_key(&target.name) {
                continue;
            }
            let tag = ServerTag::of_name(&target.name);
            let server = WatchedServer {
                rank: self.local_rank(&target.name),
                domain: target.domain,
                entry: LoadEntry {
                    tag,
                    ..Default::default()
                },
                versions: BTreeSet::new(),
                version_shares: 0,
                measured_at: TimePoint::ZERO,
                updated_at: now,
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

    /// Returns whether the hosts of the local failure domain poll a server.
    ///
    /// They poll the servers of their own domain, and those of other domains without a live contact
    /// or without a recent summary and measurement.
    fn is_watched(&self, server: &WatchedServer, now: TimePoint) -> bool {
        if server.domain == self.domain || !self.reachable.contains(&server.domain) {
            return true;
        }
        let summarized_at = self.summarized_at.get(&server.domain);
        let updated_at = summarized_at
            .copied()
            .unwrap_or(TimePoint::ZERO)
            .max(server.updated_at);
        now.since(updated_at) > self.settings.summary_bound
    }

    /// Polls the servers that are due, and reports those of other failure domains.
    fn tick(&mut self, now: TimePoint) {
        let mut due = Vec::new();
        for (name, server) in &self.servers {
            if !self.is_watched(server, now) {
                continue;
            }
            let since_poll = server.polled_at.map(|at| now.since(at));
            let silent = now.since(server.updated_at) > self.settings.silence_bound;
            let poll_allowed = since_poll.is_none_or(|since| since > self.settings.silence_bound);
            if server.rank < self.settings.watchers || (silent && poll_allowed) {
                due.push(name.clone());
            }
        }
        for name in due {
            self.poll(&name, now);
        }
        self.report_summaries(now);
    }

    /// Requests a poll of a server.
    fn poll(&mut self, name: &ServerName, now: TimePoint) {
        if let Some(server) = self.servers.get_mut(name) {
            server.polled_at = Some(now);
            self.actions.push(LoadAction::Poll(name.clone()));
        }
    }

    /// Handles the result of a poll; the report is `None` if the server did not answer.
    fn handle_poll(&mut self, name: &ServerName, report: Option<LoadReport>, now: TimePoint) {
        let (watchers, period) = (self.settings.watchers, self.settings.share_period);
        let Some(server) = self.servers.get_mut(name) else {
            return;
        };
        server.measured_at = now;
        server.updated_at = now;
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
        let is_primary = server.rank == 0;
        let is_stale = |at: Option<TimePoint>, bound| at.is_none_or(|at| now.since(at) >= bound);
        let due = if is_primary {
            changed || is_stale(server.shared_at, period)
        } else {
            let now_draining = changed && server.entry.polled_state == PolledState::Draining;
            let last_share = server.adopted_at.max(server.shared_at);
            now_draining || is_stale(last_share, period * 2)
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
        // A change of state, such as a failed or draining server, is forwarded without delay.
        if shared && changed {
            self.flush(now);
        }
    }

    /// Merges a measurement that another host shared.
    fn merge_entry(&mut self, entry: LoadEntry, now: TimePoint) {
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
        // An answer that this host got recently outweighs another host's failed poll.
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
            server.updated_at = now - age;
        } else {
            // The loaded versions are unknown, so the entry is not forwarded and the server is
            // polled.
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

    /// Forwards new measurements to a few random hosts.
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
        let others = self.hosts.iter().filter(|host| **host != self.local_host);
        let targets = others.choose_multiple(&mut self.generator, self.settings.fanout);
        for target in targets {
            for chunk in &chunks {
                let action = LoadAction::Send(target.clone(), chunk.clone());
                self.actions.push(action);
            }
        }
    }

    /// Stores a summary of another failure domain.
    fn merge_summary(&mut self, summary: PoolSummary, now: TimePoint) {
        if summary.domain == self.domain {
            return;
        }
        self.summarized_at.insert(summary.domain.clone(), now);
        let key = (
            summary.domain.clone(),
            summary.pool.clone(),
            summary.version.clone(),
            summary.part,
        );
        self.summaries.insert(key, (summary, now));
        self.report_summaries(now);
    }

    /// Reports each server of other failure domains with the mean load of its summary.
    fn report_summaries(&mut self, now: TimePoint) {
        let bound = self.settings.summary_bound;
        self.summaries
            .retain(|_, (_, received_at)| now.since(*received_at) <= bound);
        let mut reports: BTreeMap<ServerName, (LoadReport, Duration)> = BTreeMap::new();
        for (summary, received_at) in self.summaries.values() {
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
                *age = now.since(*received_at);
            }
        }
        for (name, (report, age)) in reports {
            self.actions.push(LoadAction::Report(name, report, age));
        }
    }
}
