//! Keeps the requests to cold servers few, over all hosts together.
//!
//! Load pattern: a server returns, or turns cold without notice, while all others of its service are
//! loaded, so that every host of a fleet would choose it in the same second. While a server is cold or
//! suspected to be, a few hosts hold whole shares of what it tolerates and all others send it nothing.
//! A server that no host uses is suspected too, because hosts that know nothing of its state would
//! otherwise choose it together; it is opened once it has been in use for as long as the store may
//! take to tell that it is cold.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use galenamast::state::TimePoint;

use crate::coordination::permits::cold_server::{
    ColdServer, ColdSuspicion, END_TOLERANCE, RAMP_STEP, RAMP_STEPS, SHARED_PART, StatedCold,
    WINDOW, bound, share_settings,
};
use crate::coordination::permits::cold_settings::ColdSettings;
use crate::coordination::permits::cold_source::ColdSource;
use crate::coordination::permits::limit_share::rank;
use crate::coordination::permits::server_permits::SendDenial;
use crate::coordination::placement::short_server_id;
use crate::state::{ColdReport, ColdSpec, HostPresence, ServerEntry};

/// Longest time for which a server is taken to be cold by one statement.
const MAX_COLD_TIME: Duration = Duration::from_secs(600);
/// Mean time between the reports of two hosts on the same server. It is longer than a report takes to
/// reach the other hosts, so that few hosts report, whatever their number.
const REPORT_SPREAD_PER_HOST: Duration = Duration::from_millis(4);
/// Longest delay of a host's report, in which another host's may arrive.
const MAX_REPORT_DELAY: Duration = Duration::from_millis(1_500);
/// Time for which load reports may still show requests that were sent before a failure.
const USE_REPORT_LAG: Duration = Duration::from_secs(1);

/// A server that has become cold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ColdChange {
    /// Identifier of the server.
    pub server: Arc<str>,
    /// Time for which it stays cold.
    pub remaining: Duration,
    /// Requests that this host may send in each window; 0 without a share.
    pub share_requests: usize,
    /// Where the host learned it.
    pub source: ColdSource,
}

/// The servers that may be cold, and what this host sends them.
#[derive(Clone, Debug)]
pub struct ColdServers {
    settings: Option<ColdSettings>,
    host: Arc<str>,
    hosts: Vec<HostPresence>,
    specs: BTreeMap<Arc<str>, ColdSpec>,
    servers: BTreeMap<Arc<str>, ColdServer>,
    short_ids: BTreeMap<u32, Arc<str>>,
}

impl ColdServers {
    /// Creates the state of a host that knows no servers. Without `settings` servers are never cold.
    pub fn new(host: Arc<str>, settings: Option<ColdSettings>) -> Self {
        Self {
            settings,
            host,
            hosts: Vec::new(),
            specs: BTreeMap::new(),
            servers: BTreeMap::new(),
            short_ids: BTreeMap::new(),
        }
    }

    /// Returns whether the settings and the configuration state that servers may be cold.
    pub fn is_enabled(&self) -> bool {
        self.settings.is_some() && !self.specs.is_empty()
    }

    /// Replaces the list of hosts, which includes this one once it is listed.
    pub fn set_hosts(&mut self, hosts: &[HostPresence]) {
        if self.settings.is_some() {
            self.hosts = hosts.to_vec();
            self.servers
                .values_mut()
                .for_each(|server| server.share = None);
        }
    }

    /// Replaces what the servers of each service tolerate while they are cold.
    pub fn set_specs(&mut self, specs: BTreeMap<Arc<str>, ColdSpec>) {
        if self.specs == specs {
            return;
        }
        self.servers
            .retain(|_, server| specs.contains_key(&server.service));
        for server in self.servers.values_mut() {
            if let Some(spec) = specs.get(&server.service) {
                (server.spec, server.share) = (*spec, None);
            }
        }
        self.specs = specs;
    }

    /// Returns the state of a server's start, which is created if needed; `None` if the servers of its
    /// service are never cold.
    fn entry(&mut self, entry: &ServerEntry) -> Option<&mut ColdServer> {
        self.settings?;
        let known = self.servers.get(&entry.id);
        if !known.is_some_and(|server| server.is_start_of(entry)) {
            let spec = *self.specs.get(&entry.service)?;
            let short_id = short_server_id(&entry.id);
            self.short_ids.insert(short_id, entry.id.clone());
            let server = ColdServer::new(entry, spec);
            self.servers.insert(entry.id.clone(), server);
        }
        self.servers.get_mut(&entry.id)
    }

    /// Records the entry of a server, which was read in a change of the store (`is_change`) or in a
    /// list. Returns the change if the server has become cold.
    pub fn record_entry(
        &mut self,
        entry: &ServerEntry,
        is_change: bool,
        now: TimePoint,
    ) -> Option<ColdChange> {
        let delay = self.report_delay(&entry.id);
        let server = self.entry(entry)?;
        let cold_for = entry.cold_for.min(MAX_COLD_TIME);
        let previous = server.listed_for.replace(cold_for);
        // An entry that is read again states the time as of its last change.
        if !is_change && previous == Some(cold_for) {
            return None;
        }
        if is_change && previous.is_some() {
            server.suspicion = None;
        }
        if !cold_for.is_zero() && server.is_reported(cold_for, now) {
            return None;
        }
        let source = ColdSource::List;
        let known = server.stated;
        let until = match known {
            // The server may have stated a later end in an answer since this entry was written.
            Some(known) if known.source != source => known.until.max(now + cold_for),
            _ => now + cold_for,
        };
        if cold_for.is_zero() {
            // A list may be an older one, to which the store has returned.
            let ends = |known: &StatedCold| is_change && known.source == source;
            if let Some(known) = known.filter(|known| ends(known) && now < known.until) {
                server.stated = Some(StatedCold {
                    until: now,
                    ..known
                });
            }
            return None;
        }
        let is_later = known.is_none_or(|known| until > known.until + END_TOLERANCE);
        if is_later {
            server.report_at = Some(now + delay);
        }
        let is_new = server.set_cold(until, source, now);
        self.cold_change(&entry.id, is_new, now)
    }

    /// Records an answer of a server to a request sent at `sent_at`, and the time for which it stays
    /// cold, if the answer states one. Returns the change if the server has become cold.
    pub fn record_answer(
        &mut self,
        entry: &ServerEntry,
        cold_for: Option<Duration>,
        sent_at: TimePoint,
        now: TimePoint,
    ) -> Option<ColdChange> {
        let delay = self.report_delay(&entry.id);
        let server = self.entry(entry)?;
        server.record_use(now);
        if server
            .suspicion
            .is_some_and(|suspicion| sent_at >= suspicion.since)
        {
            server.record_success(now);
        }
        let cold_for = cold_for?.min(MAX_COLD_TIME);
        let known = server.stated;
        if cold_for.is_zero() {
            if let Some(known) = known.filter(|known| sent_at >= known.stated_at) {
                let until = known.until.min(now);
                server.stated = Some(StatedCold { until, ..known });
            }
            let is_older = |suspicion: &mut ColdSuspicion| sent_at >= suspicion.since;
            server.suspicion.take_if(is_older);
            return None;
        }
        let until = now + cold_for;
        if known.is_none_or(|known| until > known.until + END_TOLERANCE) {
            server.report_at = Some(now + delay);
        }
        let source = ColdSource::Answer;
        let until = match known {
            Some(known) if known.source != source => known.until.max(until),
            _ => until,
        };
        let is_new = server.set_cold(until, source, now);
        self.cold_change(&entry.id, is_new, now)
    }

    /// Records the report of another host. Returns the change if the server has become cold. Reports of
    /// unknown servers and other starts change nothing.
    pub fn record_report(&mut self, report: &ColdReport, now: TimePoint) -> Option<ColdChange> {
        let id = self.short_ids.get(&report.server)?.clone();
        let server = self.servers.get_mut(&id)?;
        if server.started_ms != report.started_ms {
            return None;
        }
        let remaining = Duration::from_millis(report.remaining_ms.into()).min(MAX_COLD_TIME);
        let until = now + remaining;
        server.reported = Some((now, remaining));
        let known = server.stated.map(|stated| stated.until);
        if known.is_none_or(|known| until + END_TOLERANCE >= known) {
            server.report_at = None;
        }
        if known.is_some_and(|known| until <= known) {
            return None;
        }
        let is_cold = known.is_some_and(|known| now < known);
        let source = server.stated.filter(|_| is_cold).map(|known| known.source);
        let is_new = server.set_cold(until, source.unwrap_or(ColdSource::Host), now);
        self.cold_change(&id, is_new, now)
    }

    /// Records that a server may have started anew: a connection to it failed, or another host reports
    /// that it crashed.
    pub fn record_failure(&mut self, server: &str, now: TimePoint) {
        if let Some(server) = self.servers.get_mut(server) {
            server.suspicion = Some(ColdSuspicion {
                since: now,
                first_use: None,
            });
        }
    }

    /// Suspects servers for the cold time of their service, until their entries change.
    pub fn suspect(&mut self, servers: &[Arc<str>], now: TimePoint) {
        for id in servers {
            if let Some(server) = self.servers.get_mut(id) {
                server.suspicion = Some(ColdSuspicion {
                    since: now,
                    first_use: Some(now),
                });
            }
        }
    }

    /// Records the servers, by short identifier, that another host uses.
    pub fn record_peer_use(&mut self, short_ids: impl Iterator<Item = u32>, now: TimePoint) {
        for short_id in short_ids {
            let id = self.short_ids.get(&short_id);
            if let Some(server) = id.and_then(|id| self.servers.get_mut(id)) {
                server.record_use(now);
                let is_later =
                    |suspicion: ColdSuspicion| now.since(suspicion.since) >= USE_REPORT_LAG;
                if server.suspicion.is_some_and(is_later) {
                    server.record_success(now);
                }
            }
        }
    }

    /// Records that this host has requests running on servers, by short identifier.
    pub fn record_own_use(&mut self, short_ids: impl Iterator<Item = u32>, now: TimePoint) {
        for short_id in short_ids {
            let id = self.short_ids.get(&short_id);
            if let Some(server) = id.and_then(|id| self.servers.get_mut(id)) {
                server.record_use(now);
            }
        }
    }

    /// Returns the short identifiers of the servers that this host sent a request at `since` or later.
    pub fn sent_since(&self, since: TimePoint) -> Vec<u32> {
        let is_sent = |server: &ColdServer| server.sends.back().is_some_and(|at| *at >= since);
        let servers = self.servers.iter().filter(|(_, server)| is_sent(server));
        servers.map(|(id, _)| short_server_id(id)).collect()
    }

    /// Returns the short identifiers of the servers of a failure domain that any host is known to have
    /// used at `since` or later. Only hosts of that domain report them to others, so that a report does
    /// not come back as a new one.
    pub fn used_since(&self, domain: &str, since: TimePoint) -> Vec<u32> {
        let is_used = |server: &ColdServer| {
            *server.domain == *domain && server.last_used.is_some_and(|at| at >= since)
        };
        let servers = self.servers.iter().filter(|(_, server)| is_used(server));
        servers.map(|(id, _)| short_server_id(id)).collect()
    }

    /// Returns why this host may not send a server a request now; `None` if it may.
    pub fn denial(&mut self, entry: &ServerEntry, now: TimePoint) -> Option<SendDenial> {
        let settings = self.settings?;
        let known = self.servers.get_mut(&entry.id);
        // This runs for each server of a service, so a known one is looked up only once.
        if let Some(server) = known.filter(|server| server.is_start_of(entry)) {
            let restriction = server.restriction(now)?;
            let share = server.share(&entry.id, &self.host, &self.hosts, &settings);
            return server.denial(share, restriction, now);
        }
        self.entry(entry)?;
        self.denial(entry, now)
    }

    /// Returns whether nothing speaks for a server being cold but that no host is known to use it, and
    /// this host has sent it nothing lately. `in_flight` are the requests of all hosts that are known to
    /// be there.
    pub fn is_unused(&mut self, entry: &ServerEntry, in_flight: u32, now: TimePoint) -> bool {
        let Some(settings) = self.settings else {
            return false;
        };
        let Some(server) = self.entry(entry) else {
            return false;
        };
        // Half of what the shares leave of the bound, since load reports lag.
        let most_in_flight = bound(&server.spec, &settings) * (1.0 - SHARED_PART) / 2.0;
        let is_suspicion_old = server
            .suspicion
            .is_none_or(|suspicion| now.since(suspicion.since) >= server.spec.duration);
        server.restriction(now).is_some()
            && server.stated_restriction(now).is_none()
            && is_suspicion_old
            && f64::from(in_flight) <= most_in_flight
    }

    /// Returns whether this host sent a server nothing lately, so that it may be granted a request.
    pub fn may_grant(&mut self, entry: &ServerEntry, now: TimePoint) -> bool {
        let shortest = WINDOW + share_settings().arrival_jitter;
        self.entry(entry).is_none_or(|server| {
            let window = server.share.map_or(shortest, |share| share.window);
            let last_sent = server.sends.back();
            last_sent.is_none_or(|at| now.since(*at) >= window)
        })
    }

    /// Allows this host one request to a server of which it holds no share, because no server of the
    /// service is known to be in use.
    pub fn grant(&mut self, entry: &ServerEntry, now: TimePoint) {
        if let Some(server) = self.entry(entry) {
            server.granted_at = Some(now);
        }
    }

    /// Records that a permit for a request was taken.
    pub fn record_taken(&mut self, entry: &ServerEntry, now: TimePoint) {
        if let Some(server) = self.entry(entry) {
            // Only requests within the window of a share count; no share is needed to drop the rest.
            let window = server.share.map_or(2 * WINDOW, |share| share.window);
            server.sends.retain(|at| now.since(*at) < window);
            server.sends.push_back(now);
        }
    }

    /// Records that a permit taken at `taken_at` was given back.
    pub fn give_back(&mut self, server: &str, taken_at: TimePoint) {
        if let Some(server) = self.servers.get_mut(server)
            && let Some(index) = server.sends.iter().position(|at| *at == taken_at)
        {
            server.sends.remove(index);
        }
    }

    /// Records that a request is written.
    pub fn record_written(&mut self, entry: &ServerEntry, now: TimePoint) {
        if let Some(server) = self.entry(entry) {
            server.record_use(now);
        }
    }

    /// Returns the reports to send to the other hosts now.
    pub fn due_reports(&mut self, now: TimePoint) -> Vec<ColdReport> {
        let mut reports = Vec::new();
        for (id, server) in &mut self.servers {
            if server.report_at.take_if(|at| *at <= now).is_none() {
                continue;
            }
            let until = server.stated.map_or(now, |stated| stated.until);
            let remaining_ms = until.since(now).as_millis();
            if remaining_ms > 0 {
                reports.push(ColdReport {
                    server: short_server_id(id),
                    started_ms: server.started_ms,
                    remaining_ms: u32::try_from(remaining_ms).unwrap_or(u32::MAX),
                });
            }
        }
        reports
    }

    /// Returns the servers that were cold and are open to all hosts again since the last call.
    pub fn newly_warm(&mut self, now: TimePoint) -> Vec<Arc<str>> {
        let mut warm = Vec::new();
        for (id, server) in &mut self.servers {
            if server.is_logged && server.stated_restriction(now).is_none() {
                server.is_logged = false;
                warm.push(id.clone());
            }
        }
        warm
    }

    /// Returns when `due_reports` or `newly_warm` has something next, as far as is known now.
    pub fn next_event_at(&self) -> Option<TimePoint> {
        let warm_at = |server: &ColdServer| {
            let stated = server.stated.filter(|_| server.is_logged)?;
            Some(stated.until + RAMP_STEP * RAMP_STEPS)
        };
        let servers = self.servers.values();
        servers
            .filter_map(|server| match (server.report_at, warm_at(server)) {
                (Some(report_at), Some(warm_at)) => Some(report_at.min(warm_at)),
                (report_at, warm_at) => report_at.or(warm_at),
            })
            .min()
    }

    /// Drops the servers that `is_kept` does not hold for.
    pub fn retain(&mut self, is_kept: impl Fn(&Arc<str>) -> bool) {
        self.servers.retain(|id, _| is_kept(id));
        self.short_ids.retain(|_, id| is_kept(id));
    }

    /// Returns the delay after which this host reports what it learned of a server, unless another host
    /// does so before. All hosts learn it from the list within moments.
    fn report_delay(&self, server: &str) -> Duration {
        // Another hash than that of the shares, whose holders would report first otherwise.
        let fraction = rank(&self.host, server) as f64 / u64::MAX as f64;
        let hosts = u32::try_from(self.hosts.len()).unwrap_or(u32::MAX);
        let longest = REPORT_SPREAD_PER_HOST.saturating_mul(hosts.max(1));
        longest.min(MAX_REPORT_DELAY).mul_f64(fraction)
    }

    /// Returns the change to log if a server has become cold.
    fn cold_change(&mut self, id: &Arc<str>, is_new: bool, now: TimePoint) -> Option<ColdChange> {
        if !is_new {
            return None;
        }
        let settings = self.settings?;
        let server = self.servers.get_mut(id)?;
        let share = server.share(id, &self.host, &self.hosts, &settings);
        server.is_logged = true;
        let stated = server.stated?;
        Some(ColdChange {
            server: id.clone(),
            remaining: stated.until.since(now),
            share_requests: share.requests,
            source: stated.source,
        })
    }
}
