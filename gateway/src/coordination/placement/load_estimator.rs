//! What a host has learnt of each backend server from its own requests.
//!
//! Answers servers that turn slow, fail part of their requests or go silent while their health is
//! good: each shows within a few answers, loses work in proportion and gets it back by the answers
//! to the requests that it still gets.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use galenamast::state::TimePoint;
use serde::{Deserialize, Serialize};

use crate::coordination::placement::short_server_id;

/// Tokens whose reading takes as long as what does not depend on the prompt.
pub(super) const FIXED_TOKENS: f64 = 500.0;

/// Settings of the estimates.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadSettings {
    /// Weight of a new observation of speed.
    pub speed_weight: f64,
    /// Weight of a new observation of success or failure.
    pub failure_weight: f64,
    /// Time in which half of the belief in failures fades, so that a server is tried again.
    pub failure_half_life: Duration,
    /// Time for which an address that refuses connections is not tried.
    pub refused_pause: Duration,
    /// Cost of an address that refuses connections, in seconds.
    pub paused_cost: f64,
    /// Cost of a server that fails all requests, in seconds, beside what is divided by its success.
    pub failure_cost: f64,
    /// Seconds by which each request that a server has delays the next one.
    pub request_drag: f64,
    /// Seconds a token of a class of which nothing is known yet.
    pub first_pace: f64,
    /// Weight of a new observation of what a prediction missed.
    pub excess_weight: f64,
    /// Time for which the word of another host counts.
    pub told_lifetime: Duration,
}

impl Default for LoadSettings {
    fn default() -> Self {
        Self {
            speed_weight: 0.25,
            failure_weight: 0.3,
            failure_half_life: Duration::from_secs(3),
            refused_pause: Duration::from_millis(700),
            paused_cost: 30.0,
            failure_cost: 1.0,
            request_drag: 0.005,
            first_pace: 0.000_02,
            excess_weight: 0.1,
            told_lifetime: Duration::from_millis(1_500),
        }
    }
}

/// What is believed of one server.
#[derive(Clone, Debug)]
pub struct ServerLoad {
    /// Requests of this host that it has.
    pub in_flight: u32,
    /// Work of those whose answer has not begun, in seconds of an ordinary server.
    pub waiting_work: f64,
    /// Observed time to the first byte against the expected one; 1 is ordinary.
    pub slowness: f64,
    failures: f64,
    failures_at: TimePoint,
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
            paused_until: TimePoint::ZERO,
        }
    }
}

impl ServerLoad {
    /// Returns the share of requests that is believed to fail now.
    pub fn failure_share(&self, half_life: Duration, now: TimePoint) -> f64 {
        let halves = now.since(self.failures_at).as_secs_f64() / half_life.as_secs_f64();
        self.failures * 0.5_f64.powf(halves)
    }
}

/// The beliefs about all servers.
#[derive(Clone, Debug, Default)]
pub struct LoadEstimator {
    settings: LoadSettings,
    loads: BTreeMap<Arc<str>, ServerLoad>,
    expected: BTreeMap<(Arc<str>, u8), f64>,
    paces: BTreeMap<Arc<str>, f64>,
    excesses: BTreeMap<Arc<str>, f64>,
    peers: BTreeMap<SocketAddr, ToldShares>,
    // Sums of what the hosts told, and until when all of it counts.
    told: BTreeMap<u32, HostLoad>,
    told_until: Option<TimePoint>,
}

/// What one host told.
#[derive(Clone, Debug)]
struct ToldShares {
    shares: Vec<HostLoad>,
    at: TimePoint,
}

impl HostLoad {
    /// Adds what another host has sent to the server.
    fn add(&mut self, other: &Self) {
        // A senseless word of another host must not end this one.
        self.in_flight = self.in_flight.saturating_add(other.in_flight);
        self.waiting_work += other.waiting_work;
    }

    /// Takes away what a host had sent to the server.
    fn remove(&mut self, other: &Self) {
        self.in_flight = self.in_flight.saturating_sub(other.in_flight);
        self.waiting_work = (self.waiting_work - other.waiting_work).max(0.0);
    }
}

/// What one host has sent to one server.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct HostLoad {
    /// Short hash of the server's identifier.
    pub server: u32,
    /// Requests that the server has.
    pub in_flight: u32,
    /// Work of those whose answer has not begun, in seconds of an ordinary server.
    pub waiting_work: f64,
}

impl LoadEstimator {
    /// Creates a book without beliefs.
    pub fn new(settings: LoadSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Returns what is believed of a server.
    pub fn load(&self, server: &str) -> ServerLoad {
        self.loads.get(server).cloned().unwrap_or_default()
    }

    /// Returns the seconds after which a server would begin with a request that takes `work`
    /// seconds; servers that fail or refuse cost more.
    pub fn cost(&self, server: &Arc<str>, work: f64, lanes: f64, now: TimePoint) -> f64 {
        let load = self.loads.get(server);
        let queue = self.queue_of(load, server, lanes, now);
        let Some(load) = load else {
            return queue + work;
        };
        let seconds = (queue + work) * load.slowness;
        let share = load.failure_share(self.settings.failure_half_life, now);
        let success = (1.0 - share).max(0.05);
        let paused = if now < load.paused_until {
            self.settings.paused_cost
        } else {
            0.0
        };
        (seconds + self.settings.failure_cost * share) / (success * success) + paused
    }

    /// Returns the seconds for which what a server has delays the next request, if the server is
    /// an ordinary one.
    pub fn queue(&self, server: &Arc<str>, lanes: f64, now: TimePoint) -> f64 {
        self.queue_of(self.loads.get(server), server, lanes, now)
    }

    /// Returns the seconds for which what a server with a known load has delays the next request.
    fn queue_of(&self, load: Option<&ServerLoad>, server: &str, lanes: f64, now: TimePoint) -> f64 {
        let told = self.told(short_server_id(server), now);
        let waiting = load.map_or(0.0, |load| load.waiting_work) + told.waiting_work;
        let running = load
            .map_or(0, |load| load.in_flight)
            .saturating_add(told.in_flight);
        let drag = f64::from(running) * self.settings.request_drag;
        (waiting + drag) / lanes
    }

    /// Returns what other hosts have sent to a server.
    fn told(&self, server: u32, now: TimePoint) -> HostLoad {
        if self.told_until.is_none_or(|until| now <= until) {
            return self.told.get(&server).cloned().unwrap_or_default();
        }
        let fresh = self.peers.values().filter(|told| self.is_fresh(told, now));
        let mut sum = HostLoad::default();
        for share in fresh.flat_map(|told| &told.shares) {
            if share.server == server {
                sum.add(share);
            }
        }
        sum
    }

    /// Returns whether what a host told still counts.
    fn is_fresh(&self, told: &ToldShares, now: TimePoint) -> bool {
        now.since(told.at) <= self.settings.told_lifetime
    }

    /// Takes in what another host has sent where.
    pub fn record_remote(&mut self, peer: SocketAddr, shares: &[HostLoad], now: TimePoint) {
        let told = ToldShares {
            shares: shares.to_vec(),
            at: now,
        };
        let before = self.peers.insert(peer, told);
        for share in before.iter().flat_map(|told| &told.shares) {
            if let Some(sum) = self.told.get_mut(&share.server) {
                sum.remove(share);
            }
        }
        for share in shares {
            self.told.entry(share.server).or_default().add(share);
        }
        self.drop_stale(now);
    }

    /// Drops what was told too long ago; choices are fast only after it.
    pub fn drop_stale(&mut self, now: TimePoint) {
        if self.told_until.is_some_and(|until| now <= until) {
            return;
        }
        let lifetime = self.settings.told_lifetime;
        self.peers.retain(|_, told| now.since(told.at) <= lifetime);
        self.told.clear();
        for share in self.peers.values().flat_map(|told| &told.shares) {
            self.told.entry(share.server).or_default().add(share);
        }
        let oldest = self.peers.values().map(|told| told.at).min();
        self.told_until = oldest.map(|at| at + lifetime);
    }

    /// Returns what this host has sent where, for other hosts.
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

    /// Returns the work of a request of a class, in seconds of an ordinary server.
    pub fn work(&self, class: &Arc<str>, tokens: u32) -> f64 {
        let pace = self
            .paces
            .get(class)
            .copied()
            .unwrap_or(self.settings.first_pace);
        (f64::from(tokens) + FIXED_TOKENS) * pace
    }

    /// Returns whether a server is believed to be in order.
    pub fn is_sound(&self, server: &str, now: TimePoint) -> bool {
        let Some(load) = self.loads.get(server) else {
            return true;
        };
        let share = load.failure_share(self.settings.failure_half_life, now);
        share < 0.5 && load.slowness < 4.0 && now >= load.paused_until
    }

    /// Counts a request that is sent, with its work.
    pub fn record_sent(&mut self, server: &Arc<str>, work: f64) {
        let load = self.entry(server);
        load.in_flight += 1;
        load.waiting_work += work;
    }

    /// Counts the work of a request whose answer began, or that ended before.
    pub fn record_begun(&mut self, server: &Arc<str>, work: f64) {
        let load = self.entry(server);
        load.waiting_work = (load.waiting_work - work).max(0.0);
    }

    /// Counts a request that ended, however it did.
    pub fn record_ended(&mut self, server: &Arc<str>) {
        let load = self.entry(server);
        load.in_flight = load.in_flight.saturating_sub(1);
    }

    /// Returns the expected time to the first byte of requests of a class and size.
    pub fn expected_first_byte(&self, class: &Arc<str>, size: u8) -> Option<Duration> {
        let key = (class.clone(), size);
        self.expected
            .get(&key)
            .map(|seconds| Duration::from_secs_f64(*seconds))
    }

    /// Takes in the time to the first byte of an answer to a prompt of some tokens.
    pub fn record_first_byte(
        &mut self,
        server: &Arc<str>,
        class: &Arc<str>,
        size: u8,
        tokens: u32,
        took: Duration,
    ) {
        let weight = self.settings.speed_weight;
        let took = took.as_secs_f64().max(0.000_1);
        let pace = took / (f64::from(tokens) + FIXED_TOKENS);
        let known = self.paces.entry(class.clone()).or_insert(pace);
        // The pace without waiting is wanted: short times move it fast, long ones slowly.
        let pace_weight = if pace < *known { 0.2 } else { 0.01 };
        *known += pace_weight * (pace - *known);
        let expected = self.expected.entry((class.clone(), size)).or_insert(took);
        let ratio = (took / *expected).clamp(0.1, 20.0);
        // Outliers move the expectation little, so that one slow server does not become ordinary.
        *expected += 0.05 * (took.min(*expected * 3.0) - *expected);
        let load = self.entry(server);
        load.slowness += weight * (ratio - load.slowness);
        load.slowness = load.slowness.max(0.2);
    }

    /// Returns the seconds by which answers of a route lately began later than predicted; engines
    /// that are full keep less urgent routes waiting in ways that no host sees.
    pub fn excess(&self, route: &str) -> f64 {
        self.excesses.get(route).copied().unwrap_or(0.0).max(0.0)
    }

    /// Takes in when an answer of a route began, against the predicted seconds.
    pub fn record_prediction(&mut self, route: &Arc<str>, predicted: f64, took: Duration) {
        let missed = took.as_secs_f64() - predicted;
        let excess = self.excesses.entry(route.clone()).or_insert(0.0);
        *excess += self.settings.excess_weight * (missed - *excess);
    }

    /// Takes in that a request succeeded.
    pub fn record_success(&mut self, server: &Arc<str>, now: TimePoint) {
        self.record_outcome(server, 0.0, now);
    }

    /// Takes in that a request failed at a server.
    pub fn record_failure(&mut self, server: &Arc<str>, now: TimePoint) {
        self.record_outcome(server, 1.0, now);
    }

    /// Takes in that a request got no answer within the time that is usual.
    pub fn record_timeout(&mut self, server: &Arc<str>, now: TimePoint) {
        self.record_outcome(server, 1.0, now);
        let load = self.entry(server);
        load.slowness = (load.slowness * 1.5).min(20.0);
    }

    /// Takes in that a server accepts no connection.
    pub fn record_connect_failure(&mut self, server: &Arc<str>, now: TimePoint) {
        let pause = self.settings.refused_pause;
        self.record_outcome(server, 1.0, now);
        self.entry(server).paused_until = now + pause;
    }

    /// Forgets what was believed of a server that started anew; its requests in flight stay.
    pub fn reset(&mut self, server: &Arc<str>) {
        let load = self.entry(server);
        *load = ServerLoad {
            in_flight: load.in_flight,
            ..ServerLoad::default()
        };
    }

    /// Forgets a server that is gone.
    pub fn forget(&mut self, server: &str) {
        if self
            .loads
            .get(server)
            .is_some_and(|load| load.in_flight == 0)
        {
            self.loads.remove(server);
        }
    }

    /// Takes in a success or failure.
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

    /// Returns the belief about a server, to change it.
    fn entry(&mut self, server: &Arc<str>) -> &mut ServerLoad {
        self.loads.entry(server.clone()).or_default()
    }
}
