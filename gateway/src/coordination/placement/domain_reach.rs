//! Tracks failure domains whose servers accept no connections.
//!
//! Load pattern: a network partition, or a loss of power, takes all servers of a failure domain at
//! once. A host that learns of each server by a failed connection would use up the attempts of many
//! requests; after a few servers it avoids the domain, and tries it again by single requests.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use galenamast::state::TimePoint;

/// Settings of the avoidance of failure domains.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DomainReachSettings {
    /// Number of different servers that must accept no connection, none answering in between.
    pub min_unreachable: usize,
    /// Time for which the domain is avoided then; it doubles with each further failure.
    pub initial_pause: Duration,
    /// Longest time for which the domain is avoided.
    pub max_pause: Duration,
}

impl Default for DomainReachSettings {
    fn default() -> Self {
        Self {
            min_unreachable: 3,
            initial_pause: Duration::from_millis(700),
            max_pause: Duration::from_millis(2_800),
        }
    }
}

/// Failures of one domain since one of its servers last answered.
#[derive(Clone, Debug, Default)]
struct DomainFailures {
    servers: BTreeSet<Arc<str>>,
    pause: Duration,
    paused_until: TimePoint,
}

/// The failure domains with servers that accept no connections.
#[derive(Clone, Debug, Default)]
pub struct DomainReach {
    settings: DomainReachSettings,
    failures: BTreeMap<Arc<str>, DomainFailures>,
}

impl DomainReach {
    /// Creates the state of a host that reaches all domains.
    pub fn new(settings: DomainReachSettings) -> Self {
        Self {
            settings,
            failures: BTreeMap::new(),
        }
    }

    /// Records that a server of a domain accepted no connection.
    pub fn record_unreachable(&mut self, domain: &Arc<str>, server: &Arc<str>, now: TimePoint) {
        let settings = self.settings;
        let failures = self.failures.entry(domain.clone()).or_default();
        failures.servers.insert(server.clone());
        if failures.servers.len() < settings.min_unreachable || now < failures.paused_until {
            return;
        }
        failures.pause = (failures.pause * 2).clamp(settings.initial_pause, settings.max_pause);
        failures.paused_until = now + failures.pause;
    }

    /// Records that a server of a domain answered.
    pub fn record_answer(&mut self, domain: &str) {
        self.failures.remove(domain);
    }

    /// Returns whether a domain is avoided.
    pub fn is_avoided(&self, domain: &str, now: TimePoint) -> bool {
        self.failures
            .get(domain)
            .is_some_and(|failures| now < failures.paused_until)
    }
}
