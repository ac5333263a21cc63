//! Polls the host list and publishes the server table.

use std::sync::Arc;

use http::Method;
use tokio::sync::mpsc;

use crate::coordination::{
    DirectoryEvent, HostList, LifecycleSettings, LoadSettings, ServerDirectory,
};
use crate::logging::log_fault;
use crate::state::{RouteTables, ServerLifecycle};
use crate::transport::host_context::HostContext;
use crate::transport::load_watcher::LOAD_TIMEOUT;

/// Load periods without a report after which a server becomes suspect.
const SILENT_PERIODS: u32 = 3;

/// Applies events to the server directory and publishes its table until the task is aborted.
///
/// A burst of events leads to one publication.
pub async fn maintain_server_table(
    context: Arc<HostContext>,
    mut events: mpsc::UnboundedReceiver<DirectoryEvent>,
) {
    let routing = &context.settings.routing;
    let settings = LifecycleSettings {
        suspect_after: routing.load_period * SILENT_PERIODS
            + LOAD_TIMEOUT
            + LoadSettings::default().silence_bound,
        leaving_bound: routing.leaving_bound,
        ..LifecycleSettings::default()
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

/// Publishes the servers and releases waiting requests for the free slots.
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
            .filter(|server| server.lifecycle == ServerLifecycle::Live)
            .map(|server| slots.saturating_sub(server.load.running.max(server.in_flight.get())))
            .sum();
        context
            .queue
            .release(&pool, free as usize, context.timers.now());
    }
}

/// Polls the host list periodically until the task is aborted; does nothing if the settings name
/// none.
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
            Ok(list) => context.report_server_event(DirectoryEvent::ListRead(list)),
            Err(error) => log_fault("host_list", &error),
        }
        ticks.tick().await;
    }
}
