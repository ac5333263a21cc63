//! Keeps the refusals of brittle servers few, over all hosts together.
//!
//! Load pattern: a service is asked for more than it can run while its servers fall over when they refuse
//! several requests in a second. A server gets no request while all its slots are known to be taken, and
//! after a refusal none from any host for a time. Hosts return to it one after the other, each with one
//! request, and the first that is refused holds the others back again. How long depends on how many
//! refusals came together, since requests that were under way are refused too.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use galenamast::state::TimePoint;

/// Settings of the protection of brittle servers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BrittleSettings {
    /// Time in which the platform counts refusals.
    pub window: Duration,
    /// Time after a refusal in which further ones are of requests that were under way.
    pub burst_time: Duration,
    /// Time between the returns of two hosts, on average; longer than a refusal takes to reach all hosts.
    pub return_interval: Duration,
    /// Longest time over which the hosts return.
    pub max_return_time: Duration,
    /// Time after which a host's first request is taken for accepted without an answer.
    pub probe_time: Duration,
    /// Time after which a server that is full is asked again, for the caller.
    pub retry_time: Duration,
}

impl Default for BrittleSettings {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(1),
            burst_time: Duration::from_millis(100),
            return_interval: Duration::from_millis(40),
            max_return_time: Duration::from_secs(3),
            probe_time: Duration::from_millis(500),
            retry_time: Duration::from_millis(300),
        }
    }
}

/// One brittle server.
#[derive(Clone, Debug)]
struct BrittleServer {
    tolerated: u32,
    stated_at: TimePoint,
    // When this host may send again after a refusal.
    closed_until: TimePoint,
    // Whether one request was accepted since.
    is_open: bool,
    probed_at: Option<TimePoint>,
    // Refusals since `burst_at`, and the most that came together.
    burst: u32,
    burst_at: TimePoint,
    largest_burst: u32,
    // Refusals within the window.
    refusals: VecDeque<TimePoint>,
}

/// The servers that state that they are brittle.
#[derive(Clone, Debug, Default)]
pub struct BrittleServers {
    settings: BrittleSettings,
    servers: BTreeMap<Arc<str>, BrittleServer>,
}

impl BrittleServers {
    /// Creates an empty set.
    pub fn new(settings: BrittleSettings) -> Self {
        Self {
            settings,
            servers: BTreeMap::new(),
        }
    }

    /// Returns how many refusals in a second a server tolerates; `None` if it is not brittle.
    pub fn tolerated(&self, server: &str) -> Option<u32> {
        self.servers.get(server).map(|entry| entry.tolerated)
    }

    /// Records what a server stated at `stated_at`; returns whether that changed.
    pub fn record_statement(
        &mut self,
        server: &Arc<str>,
        tolerated: Option<u32>,
        stated_at: TimePoint,
    ) -> bool {
        let known = self.servers.get_mut(server);
        match (known, tolerated) {
            (None, None) => false,
            (Some(known), _) if stated_at < known.stated_at => false,
            (Some(known), Some(tolerated)) => {
                let is_change = known.tolerated != tolerated;
                (known.tolerated, known.stated_at) = (tolerated, stated_at);
                is_change
            }
            (Some(_), None) => self.servers.remove(server).is_some(),
            (None, Some(tolerated)) => {
                let entry = BrittleServer {
                    tolerated,
                    stated_at,
                    closed_until: TimePoint::ZERO,
                    is_open: true,
                    probed_at: None,
                    burst: 0,
                    burst_at: TimePoint::ZERO,
                    largest_burst: 0,
                    refusals: VecDeque::new(),
                };
                self.servers.insert(server.clone(), entry);
                true
            }
        }
    }

    /// Records that a brittle server refused a request of any of `hosts` hosts. `fraction` is this
    /// host's place among them, from 0 to 1, another for each server.
    pub fn record_refusal(&mut self, server: &str, hosts: usize, fraction: f64, now: TimePoint) {
        let settings = self.settings;
        let Some(entry) = self.servers.get_mut(server) else {
            return;
        };
        let hosts = u32::try_from(hosts).unwrap_or(u32::MAX);
        let return_time = settings
            .return_interval
            .saturating_mul(hosts)
            .min(settings.max_return_time);
        if now.since(entry.burst_at) >= settings.burst_time {
            (entry.burst_at, entry.burst) = (now, 0);
        }
        entry.burst += 1;
        entry.largest_burst = entry.largest_burst.max(entry.burst);
        entry.refusals.push_back(now);
        entry.refusals.retain(|at| now.since(*at) < settings.window);
        // The next try may lead to one refusal more than came together so far.
        let tolerated = usize::try_from(entry.tolerated).unwrap_or(usize::MAX);
        let next_burst = usize::try_from(entry.largest_burst + 1).unwrap_or(usize::MAX);
        let allowed = tolerated.saturating_sub(next_burst);
        let opens_at = match entry.refusals.len().checked_sub(allowed + 1) {
            Some(index) => entry.refusals[index] + settings.window,
            None => now + settings.burst_time,
        };
        let opens_at = opens_at.max(now + settings.burst_time);
        let closed_until = opens_at + return_time.mul_f64(fraction);
        entry.closed_until = entry.closed_until.max(closed_until);
        (entry.is_open, entry.probed_at) = (false, None);
    }

    /// Records that a server accepted a request sent at `sent_at`.
    pub fn record_accepted(&mut self, server: &str, sent_at: TimePoint) {
        if let Some(entry) = self.servers.get_mut(server) {
            entry.is_open |= sent_at >= entry.closed_until;
        }
    }

    /// Records that this host sends a server a request.
    pub fn record_sent(&mut self, server: &str, now: TimePoint) {
        if let Some(entry) = self.servers.get_mut(server).filter(|entry| !entry.is_open) {
            entry.probed_at = Some(now);
        }
    }

    /// Records that a request that was to be sent at `taken_at` was not.
    pub fn give_back(&mut self, server: &str, taken_at: TimePoint) {
        if let Some(entry) = self.servers.get_mut(server) {
            entry.probed_at.take_if(|probed_at| *probed_at == taken_at);
        }
    }

    /// Returns until when this host may not send a server a request, if it may not now; `in_flight` are
    /// the requests of all hosts that are known to be there, `slots` those that it runs at once.
    pub fn closed_until(
        &self,
        server: &str,
        in_flight: u32,
        slots: u32,
        now: TimePoint,
    ) -> Option<TimePoint> {
        let entry = self.servers.get(server)?;
        if now < entry.closed_until {
            return Some(entry.closed_until);
        }
        let probe_ends = entry.probed_at.map(|at| at + self.settings.probe_time);
        if let Some(ends) = probe_ends.filter(|ends| !entry.is_open && now < *ends) {
            return Some(ends);
        }
        (in_flight >= slots).then(|| now + self.settings.retry_time)
    }

    /// Forgets a server that is gone or started anew.
    pub fn remove(&mut self, server: &str) {
        self.servers.remove(server);
    }
}
