//! Polls backend servers for their load and shares the measurements with other entry hosts.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http::Method;
use tokio::sync::mpsc;

use crate::coordination::{
    DirectoryEvent, LoadAction, LoadEvent, LoadReport, LoadSettings, LoadTracker, PeerScope,
    PoolSummary, WatchTarget, rank_hosts, summarize_pools,
};
use crate::logging::log_fault;
use crate::protocol::SoftState;
use crate::state::{HostName, ServerName, TimePoint};
use crate::transport::host_context::HostContext;
use crate::transport::peer_mesh::{LoadHandler, SoftStateHandler};

/// Timeout for one load report.
pub const LOAD_TIMEOUT: Duration = Duration::from_secs(1);
/// Time between two rounds of sending new measurements to other hosts.
const FLUSH_PERIOD: Duration = Duration::from_millis(250);
/// Longest time until a server that is new on the host list is polled.
const NEW_SERVER_PERIOD: Duration = Duration::from_millis(50);
/// Time between two summaries for other failure domains if only the load has changed.
const SUMMARY_PERIOD: Duration = Duration::from_secs(10);
/// Time between two checks whether the servers named in the summaries have changed.
const SUMMARY_CHECK_PERIOD: Duration = Duration::from_millis(500);
/// Capacity of the event queue; messages of other hosts are dropped when it is full.
const EVENT_CAPACITY: usize = 1_024;
/// Rendezvous task that selects the host that summarizes the pools of its failure domain.
const SUMMARY_TASK: &str = "pool-summary";

/// The load tracker and what is needed to perform its actions. `polling` holds the servers with a
/// poll in progress, `known_servers` those that the tracker has received.
struct LoadWatcher {
    context: Arc<HostContext>,
    tracker: LoadTracker,
    events: mpsc::Sender<LoadEvent>,
    polling: BTreeSet<ServerName>,
    known_servers: BTreeSet<ServerName>,
    summaries: Vec<PoolSummary>,
    summarized_at: TimePoint,
}

/// Polls the load of backend servers until the task is aborted.
pub async fn watch_loads(context: Arc<HostContext>) {
    let (events, mut receiver) = mpsc::channel(EVENT_CAPACITY);
    subscribe_peers(&context, &events);
    let host = &context.settings.host;
    let settings = LoadSettings::default();
    let seed = context.next_seed();
    let mut watcher = LoadWatcher {
        tracker: LoadTracker::new(host.name.clone(), host.domain.clone(), settings, seed),
        events,
        polling: BTreeSet::new(),
        known_servers: BTreeSet::new(),
        summaries: Vec::new(),
        summarized_at: TimePoint::ZERO,
        context: context.clone(),
    };
    let period = context.settings.routing.load_period;
    let mut ticks = context.timers.subscribe(period);
    let mut checks = context.timers.subscribe(period.min(NEW_SERVER_PERIOD));
    let mut flushes = context.timers.subscribe(FLUSH_PERIOD);
    let mut summaries = context.timers.subscribe(SUMMARY_CHECK_PERIOD);
    loop {
        tokio::select! {
            event = receiver.recv() => {
                let Some(event) = event else {
                    return;
                };
                watcher.handle(event);
            }
            _ = ticks.tick() => watcher.tick(),
            _ = checks.tick() => watcher.check_new_servers(),
            _ = flushes.tick() => watcher.handle(LoadEvent::Flush),
            _ = summaries.tick() => watcher.summarize(),
        }
    }
}

/// Subscribes to the measurements and summaries of other hosts.
fn subscribe_peers(context: &HostContext, events: &mpsc::Sender<LoadEvent>) {
    let Some(mesh) = context.peers.get() else {
        return;
    };
    // A full queue drops messages; peers must tolerate lost messages anyway.
    let sender = events.downgrade();
    let loads: LoadHandler = Arc::new(move |entries| {
        if let Some(sender) = sender.upgrade() {
            let _ = sender.try_send(LoadEvent::Received(entries));
        }
    });
    mesh.on_loads(loads);
    let sender = events.downgrade();
    let summaries: SoftStateHandler = Arc::new(move |_: &HostName, state: &SoftState| {
        if let (SoftState::Pool(summary), Some(sender)) = (state, sender.upgrade()) {
            let _ = sender.try_send(LoadEvent::Summary(summary.clone()));
        }
    });
    mesh.on_soft_state(&summaries);
}

impl LoadWatcher {
    /// Passes an event to the tracker and performs the resulting actions.
    fn handle(&mut self, event: LoadEvent) {
        if let LoadEvent::Polled(name, _) = &event {
            self.polling.remove(name);
        }
        let actions = self.tracker.handle(event, self.context.timers.now());
        for action in actions {
            self.perform(action);
        }
    }

    /// Starts a polling round.
    fn tick(&mut self) {
        self.update_members();
        self.update_servers();
        self.handle(LoadEvent::Tick);
        self.context.report_server_event(DirectoryEvent::Tick);
    }

    /// Informs the tracker of new servers without waiting for the next round.
    fn check_new_servers(&mut self) {
        let tables = self.context.tables.load();
        let mut servers = tables.servers.servers();
        if servers.any(|server| !self.known_servers.contains(&server.name)) {
            self.update_members();
            self.update_servers();
        }
    }

    /// Updates the known entry hosts of the tracker; without a mesh this host is the only one.
    fn update_members(&mut self) {
        let own = self.context.settings.host.name.clone();
        let event = match self.context.peers.get() {
            Some(mesh) => {
                let members = mesh.members();
                let contacts = members.contacts.values();
                let contacts = contacts.filter(|record| record.is_live());
                LoadEvent::Members {
                    hosts: members.live().map(|record| record.name.clone()).collect(),
                    domains: contacts.map(|record| record.domain.clone()).collect(),
                }
            }
            None => LoadEvent::Members {
                hosts: [own].into(),
                domains: BTreeSet::new(),
            },
        };
        self.handle(event);
    }

    /// Updates the known servers of the tracker.
    fn update_servers(&mut self) {
        let tables = self.context.tables.load_full();
        let target = |server: &Arc<crate::state::ServerRecord>| WatchTarget {
            name: server.name.clone(),
            domain: server.domain.clone(),
        };
        let targets: Vec<WatchTarget> = tables.servers.servers().map(target).collect();
        self.known_servers = targets.iter().map(|target| target.name.clone()).collect();
        self.handle(LoadEvent::Servers(targets));
    }

    /// Performs an action of the tracker.
    fn perform(&mut self, action: LoadAction) {
        match action {
            LoadAction::Poll(name) => self.poll(name),
            LoadAction::Report(name, report, age) if age.is_zero() => {
                let event = DirectoryEvent::Reported(name, report);
                self.context.report_server_event(event);
            }
            LoadAction::Report(name, report, age) => {
                let event = DirectoryEvent::ReportShared(name, report, age);
                self.context.report_server_event(event);
            }
            LoadAction::Fail(name) => {
                let event = DirectoryEvent::ConnectFailed(name);
                self.context.report_server_event(event);
            }
            LoadAction::Send(host, entries) => {
                if let Some(mesh) = self.context.peers.get() {
                    mesh.send_loads(&host, entries);
                }
            }
        }
    }

    /// Polls one server, unless its previous poll is still in progress.
    fn poll(&mut self, name: ServerName) {
        let tables = self.context.tables.load();
        let mut servers = tables.servers.servers();
        let Some(server) = servers.find(|server| server.name == name) else {
            return;
        };
        if !self.polling.insert(name.clone()) {
            return;
        }
        self.context.load_polls.fetch_add(1, Ordering::Relaxed);
        let address = server.address.clone();
        let (client, events) = (self.context.client.clone(), self.events.clone());
        tokio::spawn(async move {
            let call = client.call_json::<LoadReport>(
                Method::GET,
                &address,
                "/load",
                None::<&()>,
                LOAD_TIMEOUT,
            );
            let report = call.await.ok();
            // A closed channel means that the host has stopped.
            let _ = events.send(LoadEvent::Polled(name, report)).await;
        });
    }

    /// Broadcasts summaries of this failure domain's pools, if this host is selected to do so and
    /// they are due.
    fn summarize(&mut self) {
        let Some(mesh) = self.context.peers.get() else {
            return;
        };
        let members = mesh.members();
        let names = members.live().map(|record| &record.name);
        if rank_hosts(SUMMARY_TASK, names).first() != Some(mesh.own()) {
            return;
        }
        let now = self.context.timers.now();
        let tables = self.context.tables.load();
        let summaries = summarize_pools(&tables.servers, mesh.domain());
        let server_names = |summaries: &[PoolSummary]| -> Vec<_> {
            let servers = summaries.iter();
            servers.map(|summary| summary.servers.clone()).collect()
        };
        let changed = server_names(&summaries) != server_names(&self.summaries);
        if !changed && now.since(self.summarized_at) < SUMMARY_PERIOD {
            return;
        }
        for summary in &summaries {
            let state = SoftState::Pool(summary.clone());
            if let Err(error) = mesh.broadcast(PeerScope::FleetPeriodic, &state) {
                log_fault("loads", &error);
            }
        }
        self.summaries = summaries;
        self.summarized_at = now;
    }
}
