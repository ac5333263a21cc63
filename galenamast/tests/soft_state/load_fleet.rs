//! Boards of server loads of one failure domain in memory, on virtual time.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use galenamast::coordination::{
    LoadAction, LoadEntry, LoadEvent, LoadReport, LoadSettings, LoadTracker, WatchTarget,
};
use galenamast::protocol::{PeerMessage, encode_frame};
use galenamast::state::{HostName, ServerLoad, ServerName, TimePoint, VersionKey};

/// Bytes that QUIC, UDP and IP add to a message.
pub(crate) const OVERHEAD_BYTES: usize = 70;
/// Time of one step.
pub(crate) const STEP: Duration = Duration::from_millis(50);
/// Steps between two rounds of load reports.
const TICK_STEPS: u64 = 10;
/// Steps between two rounds of passing on.
const FLUSH_STEPS: u64 = 5;

/// One server as it really is.
#[derive(Clone, Debug, Default)]
pub(crate) struct FakeServer {
    pub(crate) report: LoadReport,
    pub(crate) dead: bool,
}

/// What a board last said of a server.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Seen {
    Report(LoadReport, TimePoint),
    Failed,
}

/// Hosts and servers of one failure domain.
pub(crate) struct LoadFleet {
    pub(crate) boards: BTreeMap<HostName, LoadTracker>,
    pub(crate) servers: BTreeMap<ServerName, FakeServer>,
    pub(crate) seen: BTreeMap<HostName, BTreeMap<ServerName, Seen>>,
    /// Hosts that neither send nor receive.
    pub(crate) cut: BTreeSet<HostName>,
    /// Hosts that do nothing at all.
    pub(crate) stopped: BTreeSet<HostName>,
    pub(crate) polls: BTreeMap<ServerName, BTreeMap<HostName, u64>>,
    pub(crate) bytes: usize,
    pub(crate) messages: usize,
    pub(crate) now: TimePoint,
    /// Whether the load of each server changes at each step.
    pub(crate) busy: bool,
    steps: u64,
    wire: Vec<(HostName, HostName, Vec<LoadEntry>)>,
}

impl LoadFleet {
    /// Starts hosts that know each other and all servers.
    pub(crate) fn new(hosts: usize, servers: usize, settings: LoadSettings) -> Self {
        let names: BTreeSet<HostName> = (0..hosts)
            .map(|index| HostName::new(&format!("jamnagar-host-{index:02}")))
            .collect();
        let versions: BTreeSet<VersionKey> = [VersionKey::new("translate", "v12")].into();
        let servers: BTreeMap<ServerName, FakeServer> = (0..servers)
            .map(|index| {
                let report = LoadReport {
                    incarnation: 1,
                    versions: versions.clone(),
                    ..Default::default()
                };
                let name = ServerName::new(&format!("jamnagar-runner-{index:03}"));
                (
                    name,
                    FakeServer {
                        report,
                        dead: false,
                    },
                )
            })
            .collect();
        let mut fleet = Self {
            boards: BTreeMap::new(),
            servers,
            seen: names
                .iter()
                .map(|name| (name.clone(), BTreeMap::new()))
                .collect(),
            cut: BTreeSet::new(),
            stopped: BTreeSet::new(),
            polls: BTreeMap::new(),
            bytes: 0,
            messages: 0,
            now: TimePoint::from_millis(1_000),
            busy: false,
            steps: 0,
            wire: Vec::new(),
        };
        for (seed, name) in names.iter().enumerate() {
            let domain = "jamnagar".into();
            let board = LoadTracker::new(name.clone(), domain, settings, seed as u64);
            fleet.boards.insert(name.clone(), board);
        }
        fleet.set_members(&names);
        let targets: Vec<WatchTarget> = fleet.servers.keys().map(target).collect();
        for name in &names {
            fleet.hand(name, LoadEvent::Servers(targets.clone()));
        }
        fleet
    }

    /// Tells every host who is live.
    pub(crate) fn set_members(&mut self, hosts: &BTreeSet<HostName>) {
        for name in hosts {
            let event = LoadEvent::Members {
                hosts: hosts.clone(),
                domains: BTreeSet::new(),
            };
            self.hand(name, event);
        }
    }

    /// Lets time pass.
    pub(crate) fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    /// Lets one step pass.
    fn step(&mut self) {
        self.steps += 1;
        self.now = self.now + STEP;
        if self.busy {
            for server in self.servers.values_mut() {
                server.report.load.running = (server.report.load.running + 1) % 40;
            }
        }
        for (from, to, entries) in std::mem::take(&mut self.wire) {
            if !self.cut.contains(&from) && !self.cut.contains(&to) {
                self.hand(&to, LoadEvent::Received(entries));
            }
        }
        let names: Vec<HostName> = self.boards.keys().cloned().collect();
        for (index, name) in names.iter().enumerate() {
            // The hosts are out of step with each other.
            let steps = self.steps + index as u64;
            if steps.is_multiple_of(TICK_STEPS) {
                self.hand(name, LoadEvent::Tick);
            }
            if steps.is_multiple_of(FLUSH_STEPS) {
                self.hand(name, LoadEvent::Flush);
            }
        }
    }

    /// Hands an event to a host and performs its actions.
    pub(crate) fn hand(&mut self, host: &HostName, event: LoadEvent) {
        if self.stopped.contains(host) {
            return;
        }
        let Some(board) = self.boards.get_mut(host) else {
            return;
        };
        for action in board.handle(event, self.now) {
            self.perform(host, action);
        }
    }

    /// Performs an action of a host.
    fn perform(&mut self, host: &HostName, action: LoadAction) {
        match action {
            LoadAction::Poll(name) => {
                let polls = self.polls.entry(name.clone()).or_default();
                *polls.entry(host.clone()).or_default() += 1;
                let server = &self.servers[&name];
                let report = (!server.dead).then(|| server.report.clone());
                self.hand(host, LoadEvent::Polled(name, report));
            }
            LoadAction::Report(name, report, age) => {
                let seen = Seen::Report(report, self.now - age);
                self.seen.get_mut(host).expect("a host").insert(name, seen);
            }
            LoadAction::Fail(name) => {
                let seen = self.seen.get_mut(host).expect("a host");
                seen.insert(name, Seen::Failed);
            }
            LoadAction::Send(to, entries) => {
                let message = PeerMessage::Loads(entries.clone());
                let size = encode_frame(&message).expect("it encodes").len();
                assert!(size <= 1_100, "a message of {size} bytes fits no datagram");
                self.bytes += size + OVERHEAD_BYTES;
                self.messages += 1;
                self.wire.push((host.clone(), to, entries));
            }
        }
    }

    /// Returns the share of hosts for which something holds of a server.
    pub(crate) fn share(&self, server: &ServerName, holds: impl Fn(&Seen) -> bool) -> f64 {
        let count = self
            .seen
            .values()
            .filter(|seen| seen.get(server).is_some_and(&holds));
        count.count() as f64 / self.seen.len() as f64
    }

    /// Returns the ages of all measurements on all hosts, ascending.
    pub(crate) fn ages(&self) -> Vec<Duration> {
        let seen = self.seen.values().flat_map(BTreeMap::values);
        let mut ages: Vec<Duration> = seen
            .filter_map(|seen| match seen {
                Seen::Report(_, measured) => Some(self.now.since(*measured)),
                Seen::Failed => None,
            })
            .collect();
        ages.sort();
        ages
    }

    /// Returns the number of polls so far.
    pub(crate) fn poll_count(&self) -> u64 {
        self.polls.values().flat_map(BTreeMap::values).sum()
    }
}

/// Returns a server as the host list names it.
fn target(name: &ServerName) -> WatchTarget {
    WatchTarget {
        name: name.clone(),
        domain: "jamnagar".into(),
    }
}

/// Returns a load.
pub(crate) fn load(running: u32) -> ServerLoad {
    ServerLoad {
        running,
        ..Default::default()
    }
}
