//! Estimates the load and health of each backend server from this host's own requests.
//!
//! Covers servers that become slow, fail part of their requests or stop answering while their
//! health checks pass. A few answers are enough to show it; the server then gets proportionally
//! less work, and regains it through the answers to the requests that it still receives.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use galenamast::state::TimePoint;
use serde::{Deserialize, Serialize};

use crate::coordination::placement::{DomainReach, DomainReachSettings, short_server_id};
use crate::coordination::speeds::{ServerSpeeds, SpeedChange, SpeedSettings};

/// Fixed cost of a request, as the number of prompt tokens that take as long to read.
pub(super) const FIXED_COST_TOKENS: f64 = 500.0;

/// Most work that one host is believed to have waiting at one server, in seconds; it is longer than
/// any caller waits.
const MAX_REPORTED_WORK: f64 = 600.0;
/// Most requests that one host is believed to have in flight at one server.
const MAX_REPORTED_REQUESTS: u32 = 100_000;

/// Settings of the load estimates.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadSettings {
    /// Weight of a new speed observation in the moving average, from 0 to 1.
    pub speed_weight: f64,
    /// Weight of a new success or failure in the moving average, from 0 to 1.
    pub failure_weight: f64,
    /// Half-life of the failure estimate. It decays so that a failing server is tried again.
    pub failure_half_life: Duration,
    /// Time for which an address that refused a connection is avoided; it doubles with each further
    /// refusal.
    pub connect_failure_pause: Duration,
    /// Longest time for which such an address is avoided.
    pub max_connect_failure_pause: Duration,
    /// Avoidance of failure domains whose servers accept no connections.
    pub domain_reach: DomainReachSettings,
    /// Cost added to a server whose address refused a connection, in seconds.
    pub paused_cost: f64,
    /// Cost added in proportion to a server's failure share, in seconds. The sum is also divided by
    /// the square of its success share.
    pub failure_cost: f64,
    /// Delay that each request in flight on a server adds to the next one, in seconds.
    pub per_request_delay: f64,
    /// Seconds per prompt token that are assumed for a class without observations.
    pub initial_token_time: f64,
    /// Weight of a new prediction error in the moving average, from 0 to 1.
    pub excess_weight: f64,
    /// Time for which a load report from another host stays valid.
    pub remote_lifetime: Duration,
    /// Lasting speeds of servers.
    pub speeds: SpeedSettings,
}

impl Default for LoadSettings {
    fn default() -> Self {
        Self {
            speed_weight: 0.25,
            failure_weight: 0.3,
            failure_half_life: Duration::from_secs(3),
            connect_failure_pause: Duration::from_millis(700),
            max_connect_failure_pause: Duration::from_millis(2_800),
            domain_reach: DomainReachSettings::default(),
            paused_cost: 30.0,
            failure_cost: 1.0,
            per_request_delay: 0.005,
            initial_token_time: 0.000_02,
            excess_weight: 0.1,
            remote_lifetime: Duration::from_millis(1_500),
            speeds: SpeedSettings::default(),
        }
    }
}

/// Estimates for one server.
#[derive(Clone, Debug)]
pub struct ServerLoad {
    /// Requests of this host that are in flight on the server.
    pub in_flight: u32,
    /// Work of the requests whose answers have not begun, in seconds on a typical server.
    pub waiting_work: f64,
    /// Ratio of the observed to the expected time to the first byte, given the server's lasting
    /// speed; 1 is typical.
    pub slowness: f64,
    failures: f64,
    failures_at: TimePoint,
    pause: Duration,
    paused_until: TimePoint,
}

impl Default for ServerLoad {
    fn default() -> Self {
        Self {
            in_flight: 0,
            waiting_work: 0.0,
            slowness: 1.0,
            failures: 0.0,
            failures_at: TimePoint::ZERO,
            pause: Duration::ZERO,
            paused_until: TimePoint::ZERO,
        }
    }
}

impl ServerLoad {
    /// Returns the estimated share of requests that fail, from 0 to 1, decayed to `now`.
    pub fn failure_share(&self, half_life: Duration, now: TimePoint) -> f64 {
        let halves = now.since(self.failures_at).as_secs_f64() / half_life.as_secs_f64();
        self.failures * 0.5_f64.powf(halves)
    }

    /// Takes a change of the lasting factor out of `slowness`, as far as it had been observed there.
    /// Otherwise it would count twice until the server answers, which it seldom does then.
    fn move_to_factor(&mut self, change: f64) {
        let moved = self.slowness / change;
        if change > 1.0 && self.slowness > 1.0 {
            self.slowness = moved.max(1.0);
        } else if change < 1.0 && self.slowness < 1.0 {
            self.slowness = moved.min(1.0);
        }
    }
}

/// Estimates for one request on one server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServerEstimate {
    /// Seconds until the server begins to answer, if it answers.
    pub starts_in: f64,
    /// The same, and higher for a server that fails or refuses connections.
    pub cost: f64,
    /// Requests in flight on the server, those of other hosts included.
    pub in_flight: u32,
}

/// Load estimates for all servers, including what other hosts report.
#[derive(Clone, Debug, Default)]
pub struct LoadEstimator {
    settings: LoadSettings,
    loads: BTreeMap<Arc<str>, ServerLoad>,
    expected: BTreeMap<(Arc<str>, u8), f64>,
    token_times: BTreeMap<Arc<str>, f64>,
    excesses: BTreeMap<Arc<str>, f64>,
    prediction_errors: BTreeMap<Arc<str>, f64>,
    peer_loads: BTreeMap<SocketAddr, PeerLoads>,
    // Totals of the peers' reports by server, and the time until which every report is valid.
    remote_totals: BTreeMap<u32, HostLoad>,
    remote_valid_until: Option<TimePoint>,
    domain_reach: DomainReach,
    speeds: ServerSpeeds,
}

/// The latest load report of one host.
#[derive(Clone, Debug)]
struct PeerLoads {
    loads: Vec<HostLoad>,
    at: TimePoint,
}

impl HostLoad {
    /// Adds the load that another host put on the server.
    fn add(&mut self, other: &Self) {
        // Saturates, because an invalid report from another host must not crash this one.
        self.in_flight = self.in_flight.saturating_add(other.in_flight);
        self.waiting_work += other.waiting_work;
    }

    /// Returns the load as far as it is plausible; a report from another host may hold any number.
    fn clamped(&self) -> Self {
        let work = if self.waiting_work.is_nan() {
            0.0
        } else {
            self.waiting_work.clamp(0.0, MAX_REPORTED_WORK)
        };
        Self {
            server: self.server,
            in_flight: self.in_flight.min(MAX_REPORTED_REQUESTS),
            waiting_work: work,
        }
    }

    /// Subtracts the load that another host had put on the server.
    fn remove(&mut self, other: &Self) {
        self.in_flight = self.in_flight.saturating_sub(other.in_flight);
        self.waiting_work = (self.waiting_work - other.waiting_work).max(0.0);
    }
}

/// Load that one host put on one server, as sent to other hosts.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct HostLoad {
    /// Short identifier of the server.
    pub server: u32,
    /// Requests in flight.
    pub in_flight: u32,
    /// Work of the requests whose answers have not begun, in seconds on a typical server.
    pub waiting_work: f64,
}

impl LoadEstimator {
    /// Creates an estimator without observations.
    pub fn new(settings: LoadSettings) -> Self {
        Self {
            settings,
            domain_reach: DomainReach::new(settings.domain_reach),
            speeds: ServerSpeeds::new(settings.speeds),
            ..Self::default()
        }
    }

    /// Returns the failure domains with servers that accept no connections.
    pub fn domain_reach_mut(&mut self) -> &mut DomainReach {
        &mut self.domain_reach
    }

    /// Returns the lasting speeds of the servers.
    pub fn speeds(&self) -> &ServerSpeeds {
        &self.speeds
    }

    /// Returns the lasting speeds of the servers, to record samples and reports.
    pub fn speeds_mut(&mut self) -> &mut ServerSpeeds {
        &mut self.speeds
    }

    /// Computes the lasting speeds anew, and returns those that changed considerably.
    pub fn refresh_speeds(&mut self, now: TimePoint) -> Vec<SpeedChange> {
        let factors = |speeds: &ServerSpeeds| -> Vec<f64> {
            let servers = self.loads.keys();
            servers.map(|server| speeds.factor(server)).collect()
        };
        let before = factors(&self.speeds);
        let changes = self.speeds.refresh(now);
        let after = factors(&self.speeds);
        for (load, (before, after)) in self.loads.values_mut().zip(before.into_iter().zip(after)) {
            load.move_to_factor(after / before);
        }
        changes
    }

    /// Returns the cost of sending a request to a failure domain, in seconds; 0 unless it is
    /// avoided.
    pub fn domain_cost(&self, domain: &str, now: TimePoint) -> f64 {
        if self.domain_reach.is_avoided(domain, now) {
            self.settings.paused_cost
        } else {
            0.0
        }
    }

    /// Returns the estimates for a server, or the defaults if it has none.
    pub fn load(&self, server: &str) -> ServerLoad {
        self.loads.get(server).cloned().unwrap_or_default()
    }

    /// Returns the requests of all hosts that are known to be in flight at a server.
    pub fn in_flight(&self, server: &Arc<str>, now: TimePoint) -> u32 {
        let own = self.loads.get(server).map_or(0, |load| load.in_flight);
        own.saturating_add(self.remote_load(short_server_id(server), now).in_flight)
    }

    /// Returns the predicted seconds until a server begins to answer a request of `work` seconds.
    /// Servers that fail or refuse connections cost more.
    pub fn cost(&self, server: &Arc<str>, work: f64, concurrency: f64, now: TimePoint) -> f64 {
        self.estimate(server, work, concurrency, now).cost
    }

    /// Returns the estimates for a request of `work` seconds on a server.
    pub fn estimate(
        &self,
        server: &Arc<str>,
        work: f64,
        concurrency: f64,
        now: TimePoint,
    ) -> ServerEstimate {
        self.estimate_at_least(server, work, concurrency, 0.0, now)
    }

    /// Returns the estimates for a request of `work` seconds on a server whose queue delays it by at
    /// least `min_delay` seconds.
    pub fn estimate_at_least(
        &self,
        server: &Arc<str>,
        work: f64,
        concurrency: f64,
        min_delay: f64,
        now: TimePoint,
    ) -> ServerEstimate {
        let load = self.loads.get(server);
        let short = short_server_id(server);
        let remote = self.remote_load(short, now);
        let in_flight = load.map_or(0, |load| load.in_flight);
        let in_flight = in_flight.saturating_add(remote.in_flight);
        let waiting = load.map_or(0.0, |load| load.waiting_work) + remote.waiting_work;
        let delay = self.delay(waiting, in_flight, concurrency);
        let seconds = (delay.max(min_delay) + work) * self.speeds.short_factor(short);
        let Some(load) = load else {
            return ServerEstimate {
                starts_in: seconds,
                cost: seconds,
                in_flight,
            };
        };
        let seconds = seconds * load.slowness;
        let share = load.failure_share(self.settings.failure_half_life, now);
        let success = (1.0 - share).max(0.05);
        let paused = if now < load.paused_until {
            self.settings.paused_cost
        } else {
            0.0
        };
        let failing = (seconds + self.settings.failure_cost * share) / (success * success);
        ServerEstimate {
            starts_in: seconds,
            cost: failing + paused,
            in_flight,
        }
    }

    /// Returns the seconds by which a server's current load delays the next request, assuming a
    /// typical server.
    pub fn queue_delay(&self, server: &Arc<str>, concurrency: f64, now: TimePoint) -> f64 {
        let load = self.loads.get(server);
        let remote = self.remote_load(short_server_id(server), now);
        let waiting = load.map_or(0.0, |load| load.waiting_work) + remote.waiting_work;
        let running = load
            .map_or(0, |load| load.in_flight)
            .saturating_add(remote.in_flight);
        self.delay(waiting, running, concurrency)
    }

    /// Returns the seconds by which waiting work and requests in flight delay the next request.
    fn delay(&self, waiting_work: f64, in_flight: u32, concurrency: f64) -> f64 {
        (waiting_work + f64::from(in_flight) * self.settings.per_request_delay) / concurrency
    }

    /// Returns the load that other hosts put on a server.
    fn remote_load(&self, server: u32, now: TimePoint) -> HostLoad {
        if self.remote_valid_until.is_none_or(|until| now <= until) {
            return self.remote_totals.get(&server).cloned().unwrap_or_default();
        }
        let fresh = self
            .peer_loads
            .values()
            .filter(|peer| self.is_fresh(peer, now));
        let mut sum = HostLoad::default();
        for load in fresh.flat_map(|peer| &peer.loads) {
            if load.server == server {
                sum.add(load);
            }
        }
        sum
    }

    /// Returns whether a peer's report is still valid.
    fn is_fresh(&self, peer: &PeerLoads, now: TimePoint) -> bool {
        now.since(peer.at) <= self.settings.remote_lifetime
    }

    /// Returns the number of hosts whose last report is still valid.
    pub fn reporting_hosts(&self, now: TimePoint) -> usize {
        let peers = self.peer_loads.values();
        peers.filter(|peer| self.is_fresh(peer, now)).count()
    }

    /// Replaces the load report of another host.
    pub fn record_remote(&mut self, peer: SocketAddr, loads: &[HostLoad], now: TimePoint) {
        let loads: Vec<HostLoad> = loads.iter().map(HostLoad::clamped).collect();
        let reported = PeerLoads {
            loads: loads.clone(),
            at: now,
        };
        let previous = self.peer_loads.insert(peer, reported);
        for load in previous.iter().flat_map(|peer| &peer.loads) {
            if let Some(sum) = self.remote_totals.get_mut(&load.server) {
                sum.remove(load);
            }
        }
        for load in &loads {
            self.remote_totals.entry(load.server).or_default().add(load);
        }
        self.drop_stale(now);
    }

    /// Drops expired reports and rebuilds the totals. Until this runs, look-ups scan all peers.
    pub fn drop_stale(&mut self, now: TimePoint) {
        if self.remote_valid_until.is_some_and(|until| now <= until) {
            return;
        }
        let lifetime = self.settings.remote_lifetime;
        self.peer_loads
            .retain(|_, peer| now.since(peer.at) <= lifetime);
        self.remote_totals.clear();
        for load in self.peer_loads.values().flat_map(|peer| &peer.loads) {
            self.remote_totals.entry(load.server).or_default().add(load);
        }
        let oldest = self.peer_loads.values().map(|peer| peer.at).min();
        self.remote_valid_until = oldest.map(|at| at + lifetime);
    }

    /// Returns the load that this host put on each server, to send to other hosts.
    pub fn local_loads(&self) -> Vec<HostLoad> {
        let in_use = self.loads.iter().filter(|(_, load)| load.in_flight > 0);
        in_use
            .map(|(server, load)| HostLoad {
                server: short_server_id(server),
                in_flight: load.in_flight,
                waiting_work: load.waiting_work,
            })
            .collect()
    }

    /// Returns the work of a request of a class, in seconds on a typical server.
    pub fn work(&self, class: &Arc<str>, tokens: u32) -> f64 {
        let token_time = self
            .token_times
            .get(class)
            .copied()
            .unwrap_or(self.settings.initial_token_time);
        (f64::from(tokens) + FIXED_COST_TOKENS) * token_time
    }

    /// Returns whether a server fails less than half of its requests, takes less than four times
    /// the expected time, and is not avoided after a refused connection.
    pub fn is_healthy(&self, server: &str, now: TimePoint) -> bool {
        let Some(load) = self.loads.get(server) else {
            return true;
        };
        let share = load.failure_share(self.settings.failure_half_life, now);
        share < 0.5 && load.slowness * self.speeds.factor(server) < 4.0 && now >= load.paused_until
    }

    /// Counts a request that is sent, with its work.
    pub fn record_sent(&mut self, server: &Arc<str>, work: f64) {
        let load = self.entry(server);
        load.in_flight += 1;
        load.waiting_work += work;
    }

    /// Removes the work of a request from the waiting work, once its answer began or it ended.
    pub fn record_begun(&mut self, server: &Arc<str>, work: f64) {
        let load = self.entry(server);
        load.waiting_work = (load.waiting_work - work).max(0.0);
    }

    /// Counts a request that ended, whatever its outcome.
    pub fn record_ended(&mut self, server: &Arc<str>) {
        let load = self.entry(server);
        load.in_flight = load.in_flight.saturating_sub(1);
    }

    /// Returns the expected time to the first byte for a class and size of requests, if known.
    pub fn expected_first_byte(&self, class: &Arc<str>, size: u8) -> Option<Duration> {
        let key = (class.clone(), size);
        self.expected
            .get(&key)
            .map(|seconds| Duration::from_secs_f64(*seconds))
    }

    /// Records the time to the first byte of an answer to a prompt of `tokens` tokens.
    pub fn record_first_byte(
        &mut self,
        server: &Arc<str>,
        class: &Arc<str>,
        size: u8,
        tokens: u32,
        took: Duration,
    ) {
        let weight = self.settings.speed_weight;
        // What is typical is learned as if all servers had the same speed.
        let took = took.as_secs_f64().max(0.000_1) / self.speeds.factor(server);
        let token_time = took / (f64::from(tokens) + FIXED_COST_TOKENS);
        let known = self.token_times.entry(class.clone()).or_insert(token_time);
        // Estimates the time per token without queueing: shorter times move it fast, longer ones
        // slowly.
        let token_time_weight = if token_time < *known { 0.2 } else { 0.01 };
        *known += token_time_weight * (token_time - *known);
        let expected = self.expected.entry((class.clone(), size)).or_insert(took);
        let ratio = (took / *expected).clamp(0.1, 20.0);
        // Caps outliers, so that one slow server does not shift what counts as typical.
        *expected += 0.05 * (took.min(*expected * 3.0) - *expected);
        let load = self.entry(server);
        load.slowness += weight * (ratio - load.slowness);
        load.slowness = load.slowness.max(0.2);
    }

    /// Returns the seconds by which a route's recent answers began later than predicted. Full
    /// engines delay less urgent routes in ways that hosts cannot observe directly.
    pub fn excess(&self, route: &str) -> f64 {
        self.excesses.get(route).copied().unwrap_or(0.0).max(0.0)
    }

    /// Returns the mean absolute error of a route's recent predictions, in seconds.
    pub fn prediction_error(&self, route: &str) -> f64 {
        self.prediction_errors.get(route).copied().unwrap_or(0.0)
    }

    /// Records when an answer of a route began, against the predicted seconds.
    pub fn record_prediction(&mut self, route: &Arc<str>, predicted: f64, took: Duration) {
        let weight = self.settings.excess_weight;
        let missed = took.as_secs_f64() - predicted;
        let excess = self.excesses.entry(route.clone()).or_insert(0.0);
        *excess += weight * (missed - *excess);
        let error = self.prediction_errors.entry(route.clone()).or_insert(0.0);
        *error += weight * (missed.abs() - *error);
    }

    /// Records a successful request.
    pub fn record_success(&mut self, server: &Arc<str>, now: TimePoint) {
        self.record_outcome(server, 0.0, now);
        self.entry(server).pause = Duration::ZERO;
    }

    /// Records a failed request.
    pub fn record_failure(&mut self, server: &Arc<str>, now: TimePoint) {
        self.record_outcome(server, 1.0, now);
    }

    /// Records a request that got no answer within the usual time.
    pub fn record_timeout(&mut self, server: &Arc<str>, now: TimePoint) {
        self.record_outcome(server, 1.0, now);
        let load = self.entry(server);
        load.slowness = (load.slowness * 1.5).min(20.0);
    }

    /// Records that a server refused a connection.
    pub fn record_connect_failure(&mut self, server: &Arc<str>, now: TimePoint) {
        let shortest = self.settings.connect_failure_pause;
        let longest = self.settings.max_connect_failure_pause;
        self.record_outcome(server, 1.0, now);
        let load = self.entry(server);
        // Attempts that were sent together count as one failure.
        if now >= load.paused_until {
            load.pause = (load.pause * 2).clamp(shortest, longest);
        }
        load.paused_until = now + load.pause;
    }

    /// Resets the estimates of a server that restarted; its requests in flight stay counted.
    pub fn reset(&mut self, server: &Arc<str>) {
        let load = self.entry(server);
        *load = ServerLoad {
            in_flight: load.in_flight,
            ..ServerLoad::default()
        };
    }

    /// Drops a server that is gone, unless requests are still in flight on it.
    pub fn forget(&mut self, server: &str) {
        if self
            .loads
            .get(server)
            .is_some_and(|load| load.in_flight == 0)
        {
            self.loads.remove(server);
        }
    }

    /// Updates the failure estimate with a success (0.0) or a failure (1.0).
    fn record_outcome(&mut self, server: &Arc<str>, failed: f64, now: TimePoint) {
        let (weight, half_life) = (
            self.settings.failure_weight,
            self.settings.failure_half_life,
        );
        let load = self.entry(server);
        let share = load.failure_share(half_life, now);
        load.failures = share + weight * (failed - share);
        load.failures_at = now;
    }

    /// Returns the estimates for a server, creating them if needed.
    fn entry(&mut self, server: &Arc<str>) -> &mut ServerLoad {
        self.loads.entry(server.clone()).or_default()
    }
}
