//! Load trackers of the hosts of one failure domain, in memory and on virtual time.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use galenamast::coordination::{
    LoadAction, LoadEntry, LoadEvent, LoadReport, LoadSettings, LoadTracker, WatchTarget,
};
use galenamast::protocol::{PeerMessage, encode_frame};
use galenamast::state::{HostName, ServerLoad, ServerName, TimePoint, VersionKey};

/// Bytes that the headers of QUIC, UDP and IP add to a message.
pub(crate) const OVERHEAD_BYTES: usize = 70;
/// Virtual time that one step takes.
pub(crate) const STEP: Duration = Duration::from_millis(50);
/// Steps between two ticks of a tracker, which poll the servers.
const TICK_STEPS: u64 = 10;
/// Steps between two flushes of a tracker, which send pending entries to other hosts.
const FLUSH_STEPS: u64 = 5;

/// The true state of a backend server.
#[derive(Clone, Debug, Default)]
pub(crate) struct FakeServer {
    pub(crate) report: LoadReport,
    pub(crate) dead: bool,
}

/// The last result that a tracker gave for a server.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum ServerView {
    Report(LoadReport, TimePoint),
    Failed,
}

/// The hosts and backend servers of one failure domain.
pub(crate) struct LoadFleet {
    pub(crate) trackers: BTreeMap<HostName, LoadTracker>,
    pub(crate) servers: BTreeMap<ServerName, FakeServer>,
    pub(crate) views: BTreeMap<HostName, BTreeMap<ServerName, ServerView>>,
    /// Hosts whose messages are dropped in both directions.
    pub(crate) isolated: BTreeSet<HostName>,
    /// Hosts that handle no events.
    pub(crate) stopped: BTreeSet<HostName>,
    pub(crate) polls: BTreeMap<ServerName, BTreeMap<HostName, u64>>,
    pub(crate) bytes: usize,
    pub(crate) messages: usize,
    pub(crate) now: TimePoint,
    /// Whether the load of each server changes at each step.
    pub(crate) load_changes: bool,
    steps: u64,
    in_transit: Vec<(HostName, HostName, Vec<LoadEntry>)>,
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
            trackers: BTreeMap::new(),
            servers,
            views: names
                .iter()
                .map(|name| (name.clone(), BTreeMap::new()))
                .collect(),
            isolated: BTreeSet::new(),
            stopped: BTreeSet::new(),
            polls: BTreeMap::new(),
            bytes: 0,
            messages: 0,
            now: TimePoint::from_millis(1_000),
            load_changes: false,
            steps: 0,
            in_transit: Vec::new(),
        };
        for (seed, name) in names.iter().enumerate() {
            let domain = "jamnagar".into();
            let tracker = LoadTracker::new(name.clone(), domain, settings, seed as u64);
            fleet.trackers.insert(name.clone(), tracker);
        }
        fleet.set_members(&names);
        let targets: Vec<WatchTarget> = fleet.servers.keys().map(target).collect();
        for name in &names {
            fleet.deliver(name, LoadEvent::Servers(targets.clone()));
        }
        fleet
    }

    /// Sets the live hosts on each of them.
    pub(crate) fn set_members(&mut self, hosts: &BTreeSet<HostName>) {
        for name in hosts {
            let event = LoadEvent::Members {
                hosts: hosts.clone(),
                domains: BTreeSet::new(),
            };
            self.deliver(name, event);
        }
    }

    /// Runs steps until the virtual time has advanced by `time`.
    pub(crate) fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    /// Advances the virtual time by one step.
    fn step(&mut self) {
        self.steps += 1;
        self.now = self.now + STEP;
        if self.load_changes {
            for server in self.servers.values_mut() {
                server.report.load.running = (server.report.load.running + 1) % 40;
            }
        }
        for (from, to, entries) in std::mem::take(&mut self.in_transit) {
            if !self.isolated.contains(&from) && !self.isolated.contains(&to) {
                self.deliver(&to, LoadEvent::Received(entries));
            }
        }
        let names: Vec<HostName> = self.trackers.keys().cloned().collect();
        for (index, name) in names.iter().enumerate() {
            // The hosts tick and flush at different steps.
            let steps = self.steps + index as u64;
            if steps.is_multiple_of(TICK_STEPS) {
                self.deliver(name, LoadEvent::Tick);
            }
            if steps.is_multiple_of(FLUSH_STEPS) {
                self.deliver(name, LoadEvent::Flush);
            }
        }
    }

    /// Delivers an event to a host and performs the resulting actions.
    pub(crate) fn deliver(&mut self, host: &HostName, event: LoadEvent) {
        if self.stopped.contains(host) {
            return;
        }
        let Some(tracker) = self.trackers.get_mut(host) else {
            return;
        };
        for action in tracker.handle(event, self.now) {
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
                self.deliver(host, LoadEvent::Polled(name, report));
            }
            LoadAction::Report(name, report, age) => {
                let view = ServerView::Report(report, self.now - age);
                self.views.get_mut(host).expect("a host").insert(name, view);
            }
            LoadAction::Fail(name) => {
                let views = self.views.get_mut(host).expect("a host");
                views.insert(name, ServerView::Failed);
            }
            LoadAction::Send(to, entries) => {
                let message = PeerMessage::Loads(entries.clone());
                let size = encode_frame(&message).expect("it encodes").len();
                assert!(size <= 1_100, "a message of {size} bytes fits no datagram");
                self.bytes += size + OVERHEAD_BYTES;
                self.messages += 1;
                self.in_transit.push((host.clone(), to, entries));
            }
        }
    }

    /// Returns the share of hosts whose view of a server satisfies a condition.
    pub(crate) fn share_of_hosts(
        &self,
        server: &ServerName,
        holds: impl Fn(&ServerView) -> bool,
    ) -> f64 {
        let count = self
            .views
            .values()
            .filter(|views| views.get(server).is_some_and(&holds));
        count.count() as f64 / self.views.len() as f64
    }

    /// Returns the ages of all measurements on all hosts, in ascending order.
    pub(crate) fn ages(&self) -> Vec<Duration> {
        let views = self.views.values().flat_map(BTreeMap::values);
        let mut ages: Vec<Duration> = views
            .filter_map(|view| match view {
                ServerView::Report(_, measured) => Some(self.now.since(*measured)),
                ServerView::Failed => None,
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

/// Returns the watch target of a server.
fn target(name: &ServerName) -> WatchTarget {
    WatchTarget {
        name: name.clone(),
        domain: "jamnagar".into(),
    }
}

/// Returns a load with a number of running requests.
pub(crate) fn load(running: u32) -> ServerLoad {
    ServerLoad {
        running,
        ..Default::default()
    }
}
