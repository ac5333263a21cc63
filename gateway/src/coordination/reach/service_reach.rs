//! Tracks the services of which this host reaches no server.
//!
//! Load pattern: the host is cut off from all servers, while most other hosts are not. Several servers
//! in a row that accept no connection are a suspicion, which a probe of others confirms or refutes; so a
//! request learns of the cut within one connect timeout after the first of them, and later requests do
//! not try at all.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use galenamast::state::TimePoint;

/// Greatest number of services in the report of a host.
const MAX_REPORTED_SERVICES: usize = 32;

/// Settings of the detection of lost paths.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReachSettings {
    /// Number of different servers that must accept no connection, with no connection made in between,
    /// before others are probed; fewer if the service has fewer.
    pub min_unreachable: usize,
    /// Greatest number of servers that are probed at once.
    pub probed_servers: usize,
    /// Mean time between probes while the path is lost.
    pub probe_pause: Duration,
    /// Interval at which a host reports its lost paths.
    pub report_interval: Duration,
    /// Time for which another host's report counts.
    pub report_validity: Duration,
}

impl Default for ReachSettings {
    fn default() -> Self {
        Self {
            min_unreachable: 2,
            probed_servers: 5,
            probe_pause: Duration::from_millis(500),
            report_interval: Duration::from_secs(1),
            report_validity: Duration::from_secs(3),
        }
    }
}

/// A change of whether a service's servers are reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReachChange {
    /// No server is reached any more.
    Lost,
    /// A server is reached again, after this time.
    Restored(Duration),
}

/// What is known of the path to one service.
#[derive(Clone, Debug, Default)]
struct PathState {
    unreachable: BTreeSet<Arc<str>>,
    is_probed: bool,
    lost_since: Option<TimePoint>,
}

/// The services whose servers accept no connection of this host.
#[derive(Clone, Debug, Default)]
pub struct ServiceReach {
    settings: ReachSettings,
    paths: BTreeMap<Arc<str>, PathState>,
    // Until when another host is taken to reach no server of a service.
    lost_peers: BTreeMap<(SocketAddr, Arc<str>), TimePoint>,
}

impl ServiceReach {
    /// Creates the state of a host that reaches all services.
    pub fn new(settings: ReachSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Records that one of a service's `listed` servers accepted no connection. Returns whether others
    /// are to be probed.
    pub fn record_unreachable(
        &mut self,
        service: &Arc<str>,
        server: &Arc<str>,
        listed: usize,
    ) -> bool {
        let path = self.paths.entry(service.clone()).or_default();
        path.unreachable.insert(server.clone());
        let is_suspect = path.unreachable.len() >= self.settings.min_unreachable.min(listed);
        let is_due = is_suspect && !path.is_probed && path.lost_since.is_none();
        path.is_probed |= is_due;
        is_due
    }

    /// Records that a server of a service accepted a connection.
    pub fn record_connected(&mut self, service: &str) {
        if self
            .paths
            .get(service)
            .is_some_and(|path| path.lost_since.is_none())
        {
            self.paths.remove(service);
        }
    }

    /// Records whether any of the probed servers of a service accepted a connection.
    pub fn record_probe(
        &mut self,
        service: &Arc<str>,
        reached: bool,
        now: TimePoint,
    ) -> Option<ReachChange> {
        if reached {
            let lost_since = self.paths.remove(service)?.lost_since?;
            return Some(ReachChange::Restored(now.since(lost_since)));
        }
        let path = self.paths.entry(service.clone()).or_default();
        path.is_probed = false;
        if path.lost_since.is_some() {
            return None;
        }
        path.lost_since = Some(now);
        Some(ReachChange::Lost)
    }

    /// Returns the services to probe: those that are lost or suspect.
    pub fn to_probe(&self) -> Vec<Arc<str>> {
        let is_due = |path: &PathState| path.is_probed || path.lost_since.is_some();
        let due = self.paths.iter().filter(|(_, path)| is_due(path));
        due.map(|(service, _)| service.clone()).collect()
    }

    /// Returns whether no server of a service is reached.
    pub fn is_lost(&self, service: &str) -> bool {
        self.paths
            .get(service)
            .is_some_and(|path| path.lost_since.is_some())
    }

    /// Returns whether servers of a service are being probed, because several accepted no connection.
    pub fn is_suspect(&self, service: &str) -> bool {
        self.paths.get(service).is_some_and(|path| path.is_probed)
    }

    /// Returns the services of which no server is reached.
    pub fn lost_services(&self) -> Vec<Arc<str>> {
        let lost = self
            .paths
            .iter()
            .filter(|(_, path)| path.lost_since.is_some());
        lost.map(|(service, _)| service.clone()).collect()
    }

    /// Probes all of `services` next, as they may be out of reach together.
    pub fn suspect_all(&mut self, services: impl Iterator<Item = Arc<str>>) {
        for service in services {
            self.suspect(&service);
        }
    }

    /// Probes a service next, unless its path is known to be lost.
    ///
    /// ```
    /// use std::sync::Arc;
    /// use galenamast::state::TimePoint;
    /// use galenamast_gateway::coordination::reach::ServiceReach;
    ///
    /// let (mut reach, service) = (ServiceReach::default(), Arc::from("engines"));
    /// reach.suspect(&service);
    /// assert!(reach.is_suspect(&service));
    /// reach.record_probe(&service, false, TimePoint::ZERO);
    /// reach.suspect(&service);
    /// assert!(reach.is_lost(&service) && !reach.is_suspect(&service));
    /// ```
    pub fn suspect(&mut self, service: &Arc<str>) {
        let path = self.paths.entry(service.clone()).or_default();
        path.is_probed |= path.lost_since.is_none();
    }

    /// Records that another host reported the services of which it reaches no server.
    pub fn record_peer(&mut self, peer: SocketAddr, services: &[Arc<str>], now: TimePoint) {
        self.lost_peers
            .retain(|(host, _), until| *host != peer && *until > now);
        let until = now + self.settings.report_validity;
        for service in services.iter().take(MAX_REPORTED_SERVICES) {
            self.record_peer_lost(peer, service, until);
        }
    }

    /// Records that another host is not to get requests for a service until a time.
    pub fn record_peer_lost(&mut self, peer: SocketAddr, service: &Arc<str>, until: TimePoint) {
        self.lost_peers.insert((peer, service.clone()), until);
    }

    /// Returns whether another host is taken to reach no server of a service.
    pub fn is_peer_lost(&self, peer: SocketAddr, service: &Arc<str>, now: TimePoint) -> bool {
        let until = self.lost_peers.get(&(peer, service.clone()));
        until.is_some_and(|until| now < *until)
    }
}
