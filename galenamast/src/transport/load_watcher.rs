//! Asks backend servers for their load and shares what it measures with other entry hosts.

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

/// Longest time to wait for a load report.
pub const LOAD_TIMEOUT: Duration = Duration::from_secs(1);
/// Time between two rounds in which new measurements are passed on.
const FLUSH_PERIOD: Duration = Duration::from_millis(250);
/// Longest time until a server that is new on the list is asked.
const NEWCOMER_PERIOD: Duration = Duration::from_millis(50);
/// Time between two summaries for other failure domains that differ in load alone.
const SUMMARY_PERIOD: Duration = Duration::from_secs(10);
/// Time between two looks at which servers a summary would name.
const SUMMARY_CHECK: Duration = Duration::from_millis(500);
/// Messages of other hosts that wait to be taken in.
const EVENT_QUEUE: usize = 1_024;
/// Task name by which the host is chosen that summarizes for its failure domain.
const SUMMARY_TASK: &str = "pool-summary";

/// Board with what it needs to act.
struct LoadWatcher {
    context: Arc<HostContext>,
    board: LoadTracker,
    events: mpsc::Sender<LoadEvent>,
    busy: BTreeSet<ServerName>,
    known: BTreeSet<ServerName>,
    summaries: Vec<PoolSummary>,
    summarized_at: TimePoint,
}

/// Watches the load of backend servers until the task is aborted.
pub async fn watch_loads(context: Arc<HostContext>) {
    let (events, mut receiver) = mpsc::channel(EVENT_QUEUE);
    follow_peers(&context, &events);
    let host = &context.settings.host;
    let settings = LoadSettings::default();
    let seed = context.next_seed();
    let mut watcher = LoadWatcher {
        board: LoadTracker::new(host.name.clone(), host.domain.clone(), settings, seed),
        events,
        busy: BTreeSet::new(),
        known: BTreeSet::new(),
        summaries: Vec::new(),
        summarized_at: TimePoint::ZERO,
        context: context.clone(),
    };
    let period = context.settings.routing.load_period;
    let mut ticks = context.timers.subscribe(period);
    let mut checks = context.timers.subscribe(period.min(NEWCOMER_PERIOD));
    let mut flushes = context.timers.subscribe(FLUSH_PERIOD);
    let mut summaries = context.timers.subscribe(SUMMARY_CHECK);
    loop {
        tokio::select! {
            event = receiver.recv() => {
                let Some(event) = event else {
                    return;
                };
                watcher.handle(event);
            }
            _ = ticks.tick() => watcher.tick(),
            _ = checks.tick() => watcher.check_newcomers(),
            _ = flushes.tick() => watcher.handle(LoadEvent::Flush),
            _ = summaries.tick() => watcher.summarize(),
        }
    }
}

/// Hands the measurements and summaries of other hosts to the watcher.
fn follow_peers(context: &HostContext, events: &mpsc::Sender<LoadEvent>) {
    let Some(mesh) = context.peers.get() else {
        return;
    };
    // A full queue drops a message, as the network might have done.
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
    /// Hands an event to the board and performs its actions.
    fn handle(&mut self, event: LoadEvent) {
        if let LoadEvent::Polled(name, _) = &event {
            self.busy.remove(name);
        }
        let actions = self.board.handle(event, self.context.timers.now());
        for action in actions {
            self.perform(action);
        }
    }

    /// Starts a round of load reports.
    fn tick(&mut self) {
        self.take_members();
        self.take_servers();
        self.handle(LoadEvent::Tick);
        self.context.report_server_event(DirectoryEvent::Tick);
    }

    /// Asks a server that is new on the list at once.
    fn check_newcomers(&mut self) {
        let tables = self.context.tables.load();
        let mut servers = tables.servers.servers();
        if servers.any(|server| !self.known.contains(&server.name)) {
            self.take_members();
            self.take_servers();
        }
    }

    /// Tells the board which entry hosts are known.
    fn take_members(&mut self) {
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

    /// Tells the board which servers are known.
    fn take_servers(&mut self) {
        let tables = self.context.tables.load_full();
        let target = |server: &Arc<crate::state::ServerRecord>| WatchTarget {
            name: server.name.clone(),
            domain: server.domain.clone(),
        };
        let targets: Vec<WatchTarget> = tables.servers.servers().map(target).collect();
        self.known = targets.iter().map(|target| target.name.clone()).collect();
        self.handle(LoadEvent::Servers(targets));
    }

    /// Performs an action of the board.
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

    /// Asks one server for its load, unless it is still being asked.
    fn poll(&mut self, name: ServerName) {
        let tables = self.context.tables.load();
        let mut servers = tables.servers.servers();
        let Some(server) = servers.find(|server| server.name == name) else {
            return;
        };
        if !self.busy.insert(name.clone()) {
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

    /// Tells other failure domains of the own servers, if this host is the one to do so.
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
        let named = |summaries: &[PoolSummary]| -> Vec<_> {
            let servers = summaries.iter();
            servers.map(|summary| summary.servers.clone()).collect()
        };
        let changed = named(&summaries) != named(&self.summaries);
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
