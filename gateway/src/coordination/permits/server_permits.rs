//! What backend servers ask of the hosts, and what this host has sent them since.
//!
//! A demand belongs to one start of a server. It outlives the server's entry in the list, which may
//! lapse while the store is unavailable and return unchanged.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use galenamast::state::TimePoint;

use crate::coordination::permits::brittle_servers::{BrittleServers, BrittleSettings};
use crate::coordination::permits::cold_servers::ColdServers;
use crate::coordination::permits::cold_settings::ColdSettings;
use crate::coordination::permits::limit_share::{
    HostShare, LimitSettings, holds_share, open_slot, plan_shares, plan_slot, rank,
};
use crate::state::{DemandReport, HostPresence, ServerDemand, ServerEntry};

/// Relative difference from which a limit counts as changed.
const RELEVANT_CHANGE: f64 = 0.05;
/// Longest pause that a server gets; one request finds out whether it wants more.
const MAX_PAUSE: Duration = Duration::from_secs(600);
/// Part of a pause by which hosts return later than the server asks, each by another fraction of it.
const RETURN_SPREAD: f64 = 0.25;
/// Longest time by which a host returns later than the server asks.
const MAX_RETURN_SPREAD: Duration = Duration::from_millis(500);
/// Time after which a request that follows a pause is taken for lost, and another may be sent.
const PROBE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for which the demands of a removed server are kept.
const REMOVED_RETENTION: Duration = Duration::from_secs(60);

/// Times after a host read a change in an answer at which it reports the change to the others.
const REPORT_DELAYS: [Duration; 3] = [
    Duration::ZERO,
    Duration::from_secs(1),
    Duration::from_secs(3),
];

/// A change of what a server asks of the hosts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DemandChange {
    /// The server leaves.
    Leaving,
    /// The server wants no request of this host for a time.
    Paused(Duration),
    /// The server names another limit, in requests per second.
    Limit {
        /// Limit before; `None` if there was none.
        from: Option<f64>,
        /// Limit from now on; `None` if it ended.
        to: Option<f64>,
    },
    /// The server tolerates another number of refusals in a second, or is no longer brittle.
    Brittle(Option<u32>),
    /// The server is brittle and refused a request of this host for want of room.
    Refused,
}

/// Why this host may not send a request to a server now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendDenial {
    /// The server leaves.
    Leaving,
    /// The server asked this host for a pause, or gets a first request after it.
    Paused {
        /// When a request may be sent again.
        until: TimePoint,
    },
    /// The host has used its share of the server's limit.
    ShareUsed {
        /// When a request may be sent again.
        until: TimePoint,
    },
    /// The host holds no share of the server's limit, or of what it tolerates while it may be cold for
    /// an unknown time.
    NoShare,
    /// The server is brittle and has no room, or refused a request a short time ago.
    Full {
        /// When a request may be sent again.
        until: TimePoint,
    },
    /// The server's failure domain is evacuated.
    Evacuated,
    /// The server is cold or suspected to be, and the host has used its share or holds none.
    Cold {
        /// When a request may be sent again.
        until: TimePoint,
    },
}

/// One start of a listed server.
#[derive(Clone, Copy, Debug, PartialEq)]
struct ServerStart {
    started_ms: Option<u64>,
    // When the server was removed from the list.
    removed_at: Option<TimePoint>,
}

/// A pause that a server asked this host for. It lasts until a request after it was answered.
#[derive(Clone, Copy, Debug)]
struct ServerPause {
    until: TimePoint,
    // When a request was sent after the pause.
    probed_at: Option<TimePoint>,
}

impl ServerPause {
    /// Returns when a request may be sent, if that is later than `now`.
    fn open_from(&self, now: TimePoint) -> Option<TimePoint> {
        let probe_ends = self.probed_at.map(|probed_at| probed_at + PROBE_TIMEOUT);
        let opens = probe_ends.map_or(self.until, |ends| ends.max(self.until));
        (now < opens).then_some(opens)
    }
}

/// The demands of one start of a server.
#[derive(Clone, Debug, Default)]
struct PermitEntry {
    limit: Option<f64>,
    // A server that leaves does so until it ends.
    leaving: bool,
    pause: Option<ServerPause>,
    // When the server last stated a limit, or that it has none.
    stated_at: TimePoint,
    // Requests of this host since the limit was named, within the window of its share.
    sends: VecDeque<TimePoint>,
    // This host's share of the limit; `None` if it has to be computed.
    share: Option<HostShare>,
    // Reports to send of what the server stated to this host; `None` if there is nothing new.
    reports: Option<PendingReports>,
}

/// Reports of a change that this host read in an answer.
#[derive(Clone, Copy, Debug)]
struct PendingReports {
    changed_at: TimePoint,
    sent: usize,
}

impl PendingReports {
    /// Returns the reports of a change at `changed_at`, none of them sent.
    const fn new(changed_at: TimePoint) -> Self {
        Self {
            changed_at,
            sent: 0,
        }
    }
}

impl PermitEntry {
    /// Returns the report of the demands of a server's start.
    fn report(
        &self,
        server: &Arc<str>,
        started_ms: Option<u64>,
        brittle: Option<u32>,
        now: TimePoint,
    ) -> DemandReport {
        let age = now.since(self.stated_at).as_millis();
        DemandReport {
            server: server.clone(),
            started_ms,
            limit: self.limit,
            leaving: self.leaving,
            age_ms: u32::try_from(age).unwrap_or(u32::MAX),
            brittle,
            full: false,
        }
    }

    /// Sets the limit; returns the change, if it is relevant.
    fn set_limit(&mut self, limit: Option<f64>, stated_at: TimePoint) -> Option<DemandChange> {
        let from = self.limit;
        self.limit = limit;
        self.stated_at = stated_at;
        self.share = None;
        if limit.is_none() {
            self.sends.clear();
        }
        let is_relevant = match (from, limit) {
            (Some(from), Some(to)) => (from - to).abs() > from.max(to) * RELEVANT_CHANGE,
            (from, to) => from.is_some() != to.is_some(),
        };
        is_relevant.then_some(DemandChange::Limit { from, to: limit })
    }
}

/// The servers' demands, and the list of hosts that share them.
#[derive(Clone, Debug)]
pub struct ServerPermits {
    settings: LimitSettings,
    host: Arc<str>,
    hosts: Vec<HostPresence>,
    starts: BTreeMap<Arc<str>, ServerStart>,
    // Servers that have ever stated a demand.
    entries: BTreeMap<Arc<str>, PermitEntry>,
    brittle: BrittleServers,
    cold: ColdServers,
}

impl ServerPermits {
    /// Creates the permits of a host that knows no demands and no other hosts.
    pub fn new(host: Arc<str>, settings: LimitSettings) -> Self {
        Self {
            settings,
            cold: ColdServers::new(host.clone(), None),
            host,
            hosts: Vec::new(),
            starts: BTreeMap::new(),
            entries: BTreeMap::new(),
            brittle: BrittleServers::new(BrittleSettings::default()),
        }
    }

    /// Returns the permits with the bound on requests to cold servers.
    pub fn with_cold(mut self, settings: Option<ColdSettings>) -> Self {
        self.cold = ColdServers::new(self.host.clone(), settings);
        self
    }

    /// Returns the servers that may be cold.
    pub fn cold(&mut self) -> &mut ColdServers {
        &mut self.cold
    }

    /// Suspects servers to be cold, for the cold time of their service or until their entries change;
    /// for a failure domain whose evacuation ended.
    pub fn suspect_cold(&mut self, servers: &[Arc<str>], now: TimePoint) {
        self.cold.suspect(servers, now);
    }

    /// Replaces the list of hosts, which includes this one once it is listed.
    pub fn set_hosts(&mut self, hosts: Vec<HostPresence>) {
        self.cold.set_hosts(&hosts);
        self.hosts = hosts;
        for entry in self.entries.values_mut() {
            entry.share = None;
        }
    }

    /// Records that a server is listed, with the Unix time of its start in milliseconds. The demands
    /// of an earlier start end.
    pub fn record_start(&mut self, server: &Arc<str>, started_ms: Option<u64>) {
        let start = ServerStart {
            started_ms,
            removed_at: None,
        };
        let previous = self.starts.insert(server.clone(), start);
        if previous.is_none_or(|previous| previous.started_ms != started_ms) {
            self.entries.remove(server);
            self.brittle.remove(server);
        }
    }

    /// Records that a server is no longer listed, and drops those removed long ago.
    pub fn record_removal(&mut self, server: &str, now: TimePoint) {
        if let Some(start) = self.starts.get_mut(server) {
            start.removed_at = Some(now);
        }
        let is_kept = |removed_at: TimePoint| now.since(removed_at) < REMOVED_RETENTION;
        self.starts
            .retain(|_, start| start.removed_at.is_none_or(is_kept));
        self.entries
            .retain(|server, _| self.starts.contains_key(server));
        self.cold.retain(|server| self.starts.contains_key(server));
    }

    /// Records the head of a server's answer to a request that was sent at `sent_at`. Returns the
    /// relevant changes of the server's demands.
    pub fn record_answer(
        &mut self,
        server: &Arc<str>,
        demand: &ServerDemand,
        sent_at: TimePoint,
        now: TimePoint,
    ) -> Vec<DemandChange> {
        let mut changes = Vec::new();
        if demand.leaving {
            changes.extend(self.record_leaving(server, now, now));
        }
        match demand.pause {
            Some(pause) => changes.push(self.record_pause(server, pause, now)),
            None => self.record_return(server, sent_at),
        }
        changes.extend(self.record_limit(server, demand, sent_at, now));
        changes.extend(self.record_brittleness(server, demand, sent_at, now));
        changes
    }

    /// Records whether a server states in an answer to a request sent at `sent_at` that it is brittle,
    /// and whether it refused the request for want of room.
    fn record_brittleness(
        &mut self,
        server: &Arc<str>,
        demand: &ServerDemand,
        sent_at: TimePoint,
        now: TimePoint,
    ) -> Vec<DemandChange> {
        let mut changes = Vec::new();
        // An answer that was begun before the statement does not end it.
        let stated_at = if demand.brittle.is_some() {
            now
        } else {
            sent_at
        };
        let is_readable = demand.brittle.is_some() || !demand.malformed;
        if is_readable
            && self
                .brittle
                .record_statement(server, demand.brittle, stated_at)
        {
            changes.push(DemandChange::Brittle(demand.brittle));
            let entry = self.entries.entry(server.clone()).or_default();
            entry.reports = Some(PendingReports::new(now));
        }
        if !demand.full {
            self.brittle.record_accepted(server, sent_at);
        } else if self.brittle.tolerated(server).is_some() {
            self.record_refusal(server, now);
            changes.push(DemandChange::Refused);
        }
        changes
    }

    /// Records that a brittle server refused a request of any host.
    fn record_refusal(&mut self, server: &str, now: TimePoint) {
        let fraction = rank(server, &self.host) as f64 / u64::MAX as f64;
        let hosts = self.hosts.len();
        self.brittle.record_refusal(server, hosts, fraction, now);
    }

    /// Records the limit that a server states in an answer to a request sent at `sent_at`, or that
    /// it states none.
    fn record_limit(
        &mut self,
        server: &Arc<str>,
        demand: &ServerDemand,
        sent_at: TimePoint,
        now: TimePoint,
    ) -> Option<DemandChange> {
        if demand.limit.is_none() {
            let entry = self.entries.get(server)?;
            // An answer that was begun before the limit was named does not end it.
            let ends_limit = !demand.malformed && entry.stated_at <= sent_at;
            if entry.limit.is_none() || !ends_limit {
                return None;
            }
        }
        let entry = self.entries.entry(server.clone()).or_default();
        let change = entry.set_limit(demand.limit, now)?;
        entry.reports = Some(PendingReports::new(now));
        Some(change)
    }

    /// Records that a server refused a request of this host and wants none for a time.
    fn record_pause(&mut self, server: &Arc<str>, pause: Duration, now: TimePoint) -> DemandChange {
        let pause = pause.min(MAX_PAUSE);
        let fraction = rank(server, &self.host) as f64 / u64::MAX as f64;
        let spread = pause
            .mul_f64(RETURN_SPREAD * fraction)
            .min(MAX_RETURN_SPREAD);
        let until = now + pause + spread;
        let entry = self.entries.entry(server.clone()).or_default();
        let until = entry.pause.map_or(until, |known| known.until.max(until));
        let probed_at = None;
        entry.pause = Some(ServerPause { until, probed_at });
        DemandChange::Paused(pause)
    }

    /// Records an answer without a pause to a request sent at `sent_at`: if that was after the pause
    /// of the server, requests need no longer go there one at a time.
    fn record_return(&mut self, server: &str, sent_at: TimePoint) {
        if let Some(entry) = self.entries.get_mut(server) {
            entry.pause.take_if(|pause| pause.until <= sent_at);
        }
    }

    /// Records that a server stated at `stated_at` that it leaves; returns whether this is new.
    pub fn record_leaving(
        &mut self,
        server: &Arc<str>,
        stated_at: TimePoint,
        now: TimePoint,
    ) -> Option<DemandChange> {
        let entry = self.entries.entry(server.clone()).or_default();
        if entry.leaving {
            return None;
        }
        entry.leaving = true;
        entry.stated_at = stated_at;
        entry.reports = (stated_at == now).then(|| PendingReports::new(now));
        Some(DemandChange::Leaving)
    }

    /// Returns the reports to send to the other hosts now, of changes that this host read in
    /// answers.
    pub fn due_reports(&mut self, now: TimePoint) -> Vec<DemandReport> {
        let mut due = Vec::new();
        for (server, entry) in &mut self.entries {
            let Some(pending) = &mut entry.reports else {
                continue;
            };
            if now.since(pending.changed_at) < REPORT_DELAYS[pending.sent] {
                continue;
            }
            pending.sent += 1;
            if pending.sent == REPORT_DELAYS.len() {
                entry.reports = None;
            }
            let started_ms = self.starts.get(server).and_then(|start| start.started_ms);
            let brittle = self.brittle.tolerated(server);
            due.push(entry.report(server, started_ms, brittle, now));
        }
        due
    }

    /// Returns the report that a brittle server has refused a request of this host.
    pub fn refusal_report(&self, server: &Arc<str>, now: TimePoint) -> DemandReport {
        let started_ms = self.starts.get(server).and_then(|start| start.started_ms);
        let entry = self.entries.get(server).cloned().unwrap_or_default();
        DemandReport {
            full: true,
            ..entry.report(server, started_ms, self.brittle.tolerated(server), now)
        }
    }

    /// Records what another host reports of a listed server. Returns the relevant change of the
    /// server's demands; reports of another start, or older than what is known, change nothing.
    pub fn record_report(&mut self, report: &DemandReport, now: TimePoint) -> Option<DemandChange> {
        let is_valid = |rate: f64| rate.is_finite() && rate >= 0.0;
        let start = self.starts.get(&report.server)?;
        if start.started_ms != report.started_ms || !report.limit.is_none_or(is_valid) {
            return None;
        }
        let stated_at = now - Duration::from_millis(report.age_ms.into());
        let brittle_at = if report.full { now } else { stated_at };
        let is_change = self
            .brittle
            .record_statement(&report.server, report.brittle, brittle_at);
        if report.full {
            self.record_refusal(&report.server, now);
        }
        let change = self.record_reported_demand(report, stated_at, now);
        change.or_else(|| is_change.then_some(DemandChange::Brittle(report.brittle)))
    }

    /// Records whether a server leaves and which limit it names, as another host reports.
    fn record_reported_demand(
        &mut self,
        report: &DemandReport,
        stated_at: TimePoint,
        now: TimePoint,
    ) -> Option<DemandChange> {
        if report.leaving {
            return self.record_leaving(&report.server, stated_at, now);
        }
        let entry = self.entries.entry(report.server.clone()).or_default();
        if stated_at < entry.stated_at {
            return None;
        }
        let change = entry.set_limit(report.limit, stated_at)?;
        entry.reports = None;
        Some(change)
    }

    /// Returns the limit that a server names, in requests per second.
    pub fn limit(&self, server: &str) -> Option<f64> {
        self.entries.get(server)?.limit
    }

    /// Returns what this host may send to a server that names a limit.
    pub fn share(&mut self, server: &ServerEntry) -> Option<HostShare> {
        let entry = self.entries.get_mut(&server.id)?;
        let rate = entry.limit?;
        let (hosts, settings) = (&self.hosts, &self.settings);
        let share = entry.share.get_or_insert_with(|| {
            let plan = plan_shares(rate, hosts.len(), settings);
            let (id, domain, host) = (&server.id, &server.domain, &self.host);
            if holds_share(id, domain, host, hosts.iter(), plan.holders) {
                let (requests, window) = (plan.requests, plan.window);
                HostShare::Held { requests, window }
            } else {
                plan_slot(id, host, rate, hosts.len(), settings)
            }
        });
        Some(*share)
    }

    /// Returns whether a server leaves.
    pub fn is_leaving(&self, server: &str) -> bool {
        self.entries.get(server).is_some_and(|entry| entry.leaving)
    }

    /// Returns why a brittle server may get no request now, of which all hosts together are known to
    /// have `in_flight` there; `None` if it may.
    pub fn room_denial(
        &self,
        server: &ServerEntry,
        in_flight: u32,
        now: TimePoint,
    ) -> Option<SendDenial> {
        let until = self
            .brittle
            .closed_until(&server.id, in_flight, server.slots, now)?;
        Some(SendDenial::Full { until })
    }

    /// Returns why this host may not send a request to a server now, whatever room it has; `None` if it
    /// may.
    pub fn denial(&mut self, server: &ServerEntry, now: TimePoint) -> Option<SendDenial> {
        let denial = self.demand_denial(server, now);
        denial.or_else(|| self.cold.denial(server, now))
    }

    /// Returns why what a server asks of the hosts allows this one no request now; `None` if it does.
    pub fn demand_denial(&mut self, server: &ServerEntry, now: TimePoint) -> Option<SendDenial> {
        if self.is_leaving(&server.id) {
            return Some(SendDenial::Leaving);
        }
        let pause = self.entries.get(&server.id)?.pause;
        if let Some(until) = pause.and_then(|pause| pause.open_from(now)) {
            return Some(SendDenial::Paused { until });
        }
        let share = self.share(server)?;
        let entry = self.entries.get_mut(&server.id)?;
        match share {
            HostShare::Held { requests, window } => {
                entry.sends.retain(|sent_at| now.since(*sent_at) < window);
                let until = *entry.sends.front()? + window;
                (entry.sends.len() >= requests).then_some(SendDenial::ShareUsed { until })
            }
            HostShare::Slot {
                period,
                offset,
                length,
            } => {
                let slot = open_slot(now, period, offset, length);
                let is_free = slot.is_some_and(|start| {
                    let last = entry.sends.back();
                    last.is_none_or(|sent_at| *sent_at < start)
                });
                (!is_free).then_some(SendDenial::NoShare)
            }
        }
    }

    /// Takes the permit for one request to a server.
    ///
    /// # Errors
    ///
    /// Returns why the request may not be sent now.
    pub fn take(&mut self, server: &ServerEntry, now: TimePoint) -> Result<(), SendDenial> {
        let denial = self.denial(server, now);
        if let Some(denial) = denial.or_else(|| self.room_denial(server, 0, now)) {
            return Err(denial);
        }
        self.brittle.record_sent(&server.id, now);
        self.cold.record_taken(server, now);
        if let Some(entry) = self.entries.get_mut(&server.id) {
            if entry.limit.is_some() {
                entry.sends.push_back(now);
            }
            if let Some(pause) = &mut entry.pause {
                pause.probed_at = Some(now);
            }
        }
        Ok(())
    }

    /// Confirms a permit taken at `taken_at` just before the request is written. A demand that was
    /// stated since then counts.
    ///
    /// # Errors
    ///
    /// Returns why the request may not be sent any more.
    pub fn confirm(
        &mut self,
        server: &ServerEntry,
        taken_at: TimePoint,
        now: TimePoint,
    ) -> Result<(), SendDenial> {
        self.give_back(&server.id, taken_at);
        self.take(server, now)?;
        self.cold.record_written(server, now);
        Ok(())
    }

    /// Gives back a permit taken at `taken_at` for a request that was not written.
    pub fn give_back(&mut self, server: &str, taken_at: TimePoint) {
        self.brittle.give_back(server, taken_at);
        self.cold.give_back(server, taken_at);
        let Some(entry) = self.entries.get_mut(server) else {
            return;
        };
        if let Some(pause) = &mut entry.pause {
            pause.probed_at.take_if(|probed_at| *probed_at == taken_at);
        }
        if let Some(index) = entry.sends.iter().position(|sent_at| *sent_at == taken_at) {
            entry.sends.remove(index);
        }
    }
}
