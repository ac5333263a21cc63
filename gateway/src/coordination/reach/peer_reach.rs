//! Tracks which other hosts accept connections, so that requests are passed on only to those.
//!
//! Load pattern: entries of hosts that are gone for good stay listed, in a fleet of any size. A host that
//! is silent in datagrams may be idle, so a failure to connect counts instead, once for all services.
//! Checks in the background find out when a host is back; no request waits for it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use galenamast::state::TimePoint;

use crate::state::HostPresence;

/// Settings of the checks of other hosts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PeerSettings {
    /// Time from a host's first failure to the next check; it doubles with each further failure.
    pub check_pause: Duration,
    /// Longest time between checks of a host that accepts no connection.
    pub max_check_pause: Duration,
    /// Time for which a connection shows that a host is there.
    pub reached_validity: Duration,
    /// Greatest number of hosts that are checked at once.
    pub checks_at_once: usize,
    /// Timeout for opening a connection to another host.
    pub connect_timeout: Duration,
}

impl Default for PeerSettings {
    fn default() -> Self {
        Self {
            check_pause: Duration::from_millis(250),
            max_check_pause: Duration::from_secs(8),
            reached_validity: Duration::from_secs(30),
            checks_at_once: 8,
            connect_timeout: Duration::from_millis(150),
        }
    }
}

/// What is known of the path to another host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PeerStanding {
    /// It accepted a connection lately.
    Reached,
    /// It was not tried lately.
    Unknown,
    /// It accepted no connection when it was last tried.
    Suspect,
    /// It accepted no connection several times in a row.
    Gone,
}

/// What is known of one host.
#[derive(Clone, Copy, Debug)]
struct PeerState {
    failures: u32,
    check_at: TimePoint,
}

/// The hosts that accepted a connection of this one, or did not.
#[derive(Clone, Debug, Default)]
pub struct PeerReach {
    settings: PeerSettings,
    peers: BTreeMap<SocketAddr, PeerState>,
}

impl PeerReach {
    /// Creates the state of a host that has tried no other one.
    pub fn new(settings: PeerSettings) -> Self {
        Self {
            settings,
            peers: BTreeMap::new(),
        }
    }

    /// Records that a host accepted a connection.
    pub fn record_reached(&mut self, peer: SocketAddr, now: TimePoint) {
        let state = PeerState {
            failures: 0,
            check_at: now + self.settings.reached_validity,
        };
        self.peers.insert(peer, state);
    }

    /// Records that a host accepted no connection, or broke one. Failures of requests that met it at the
    /// same time count once.
    pub fn record_failure(&mut self, peer: SocketAddr, now: TimePoint) {
        let failures = match self.peers.get(&peer) {
            Some(state) if state.failures > 0 && now < state.check_at => return,
            Some(state) => state.failures.saturating_add(1),
            None => 1,
        };
        let factor = 2_u32.saturating_pow(failures - 1);
        let pause = self.settings.check_pause.saturating_mul(factor);
        let check_at = now + pause.min(self.settings.max_check_pause);
        self.peers.insert(peer, PeerState { failures, check_at });
    }

    /// Returns what is known of the path to a host.
    pub fn standing(&self, peer: SocketAddr, now: TimePoint) -> PeerStanding {
        match self.peers.get(&peer) {
            None => PeerStanding::Unknown,
            Some(state) if state.failures > 1 => PeerStanding::Gone,
            Some(state) if state.failures == 1 => PeerStanding::Suspect,
            Some(state) if now < state.check_at => PeerStanding::Reached,
            Some(_) => PeerStanding::Unknown,
        }
    }

    /// Returns the hosts to check now, those of the own failure domain first; the others only while none
    /// of the own domain is known to be there. Hosts that are no longer listed are forgotten.
    pub fn due_checks<'a>(
        &mut self,
        hosts: impl Iterator<Item = &'a HostPresence> + Clone,
        own: &HostPresence,
        draw: u64,
        now: TimePoint,
    ) -> Vec<SocketAddr> {
        let others = hosts.filter(|host| host.host != own.host);
        let mut known = BTreeMap::new();
        for host in others.clone() {
            if let Some(state) = self.peers.get(&host.address) {
                known.insert(host.address, *state);
            }
        }
        self.peers = known;
        let is_near = |host: &&HostPresence| host.domain == own.domain;
        let is_reached =
            |host: &HostPresence| self.standing(host.address, now) == PeerStanding::Reached;
        let is_due = |host: &&HostPresence| {
            let state = self.peers.get(&host.address);
            state.is_none_or(|state| state.check_at <= now)
        };
        let has_near = others.clone().filter(is_near).any(is_reached);
        let rotated = |mut due: Vec<SocketAddr>| {
            let count = u64::try_from(due.len()).unwrap_or(u64::MAX).max(1);
            due.rotate_left(usize::try_from(draw % count).unwrap_or(0));
            due
        };
        let near = others.clone().filter(is_near).filter(is_due);
        let mut due = rotated(near.map(|host| host.address).collect());
        if !has_near {
            let far = others.filter(|host| !is_near(host)).filter(is_due);
            due.extend(rotated(far.map(|host| host.address).collect()));
        }
        due.truncate(self.settings.checks_at_once);
        due
    }
}
