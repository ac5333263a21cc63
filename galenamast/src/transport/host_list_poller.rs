//! Reads the host list and the servers' load reports, and publishes the server table.

use std::collections::BTreeSet;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use http::Method;
use tokio::sync::mpsc;

use crate::coordination::{DirectoryEvent, HostList, LifeSettings, LoadReport, ServerDirectory};
use crate::logging::log_fault;
use crate::state::{RouteTables, ServerLife, ServerName};
use crate::transport::host_context::HostContext;

/// Longest time to wait for a load report.
const LOAD_TIMEOUT: Duration = Duration::from_secs(1);
/// Load periods without a report after which a server is suspected.
const SILENT_PERIODS: u32 = 3;

/// Keeps the server table of a host current until the task is aborted.
pub async fn follow_servers(
    context: Arc<HostContext>,
    mut events: mpsc::UnboundedReceiver<DirectoryEvent>,
) {
    let routing = &context.settings.routing;
    let settings = LifeSettings {
        suspect_after: routing.load_period * SILENT_PERIODS + LOAD_TIMEOUT,
        leaving_bound: routing.leaving_bound,
        ..LifeSettings::default()
    };
    let mut directory = ServerDirectory::new(settings);
    while let Some(event) = events.recv().await {
        directory.handle(&event, context.timers.now());
        while let Ok(event) = events.try_recv() {
            directory.handle(&event, context.timers.now());
        }
        publish(&context, &directory);
    }
}

/// Publishes the servers and lets waiting requests take the free places.
fn publish(context: &HostContext, directory: &ServerDirectory) {
    let image = context.image.load();
    let mut servers = directory.snapshot();
    for pool in image.pools.values() {
        servers.drain(&pool.name, &pool.drained_servers);
    }
    context.tables.rcu(|tables| RouteTables {
        servers: servers.clone(),
        ..RouteTables::clone(tables)
    });
    for pool in context.queue.pools() {
        let slots = image
            .pools
            .get(&pool)
            .map_or(1, |spec| spec.slots_per_server);
        let free: u32 = servers
            .servers_in(&pool)
            .filter(|server| server.life == ServerLife::Live)
            .map(|server| slots.saturating_sub(server.load.running.max(server.in_flight.get())))
            .sum();
        context
            .queue
            .release(&pool, free as usize, context.timers.now());
    }
}

/// Reads the host list at its own period until the task is aborted.
pub async fn poll_host_list(context: Arc<HostContext>) {
    let Some(address) = context.settings.platform.host_list else {
        return;
    };
    let address = address.to_string();
    let platform = &context.settings.platform;
    let period = platform.host_list_period;
    let mut ticks = context.timers.subscribe(period);
    loop {
        let timeout = platform.call_timeout;
        let list: Result<HostList, _> = context
            .client
            .call_json(Method::GET, &address, "/hosts", None::<&()>, timeout)
            .await;
        match list {
            Ok(list) => context.report_servers(DirectoryEvent::ListRead(list)),
            Err(error) => log_fault("host_list", &error),
        }
        ticks.tick().await;
    }
}

/// Reads the load of every server at the load period; a slow server delays no other.
pub async fn poll_loads(context: Arc<HostContext>) {
    let busy: Arc<Mutex<BTreeSet<ServerName>>> = Arc::default();
    let mut known: BTreeSet<ServerName> = BTreeSet::new();
    let period = context.settings.routing.load_period;
    let mut ticks = context.timers.subscribe(period);
    // A server that is new on the list is asked at once.
    let newcomers = period.min(Duration::from_millis(50));
    let mut checks = context.timers.subscribe(newcomers);
    loop {
        let is_round = tokio::select! {
            _ = ticks.tick() => true,
            _ = checks.tick() => false,
        };
        let tables = context.tables.load();
        for server in tables.servers.servers() {
            if known.insert(server.name.clone()) || is_round {
                spawn_poll(&context, &busy, &server.name, &server.address);
            }
        }
        if is_round {
            context.report_servers(DirectoryEvent::Tick);
        }
    }
}

/// Asks one server for its load, unless it is still being asked.
fn spawn_poll(
    context: &Arc<HostContext>,
    busy: &Arc<Mutex<BTreeSet<ServerName>>>,
    name: &ServerName,
    address: &str,
) {
    let started = busy
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .insert(name.clone());
    if !started {
        return;
    }
    context.load_polls.fetch_add(1, Ordering::Relaxed);
    let (context, busy) = (context.clone(), busy.clone());
    let (name, address) = (name.clone(), address.to_owned());
    tokio::spawn(async move {
        let call = context.client.call_json::<LoadReport>(
            Method::GET,
            &address,
            "/load",
            None::<&()>,
            LOAD_TIMEOUT,
        );
        let event = match call.await {
            Ok(report) => DirectoryEvent::Reported(name.clone(), report),
            Err(_) => DirectoryEvent::ConnectFailed(name.clone()),
        };
        context.report_servers(event);
        busy.lock()
            .unwrap_or_else(PoisonError::into_inner)
            .remove(&name);
    });
}
