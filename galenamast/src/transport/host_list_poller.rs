//! Reads the host list and the servers' load reports, and publishes the server table.

use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use http::Method;

use crate::coordination::{HostList, LoadReport, ServerDirectory};
use crate::logging::log_fault;
use crate::state::{RouteTables, ServerName};
use crate::transport::host_context::HostContext;

/// Longest time to wait for a load report.
const LOAD_TIMEOUT: Duration = Duration::from_secs(1);

/// Keeps the server table of a host current until the task is aborted.
pub async fn poll_servers(context: Arc<HostContext>) {
    let mut directory = ServerDirectory::default();
    let mut ticks = context
        .timers
        .subscribe(context.settings.routing.load_period);
    loop {
        refresh_servers(&context, &mut directory).await;
        ticks.tick().await;
    }
}

/// Reads the host list and every load report once.
async fn refresh_servers(context: &HostContext, directory: &mut ServerDirectory) {
    if let Some(address) = context.settings.platform.host_list {
        let address = address.to_string();
        let timeout = context.settings.platform.call_timeout;
        let list: Result<HostList, _> = context
            .client
            .call_json(Method::GET, &address, "/hosts", None::<&()>, timeout)
            .await;
        match list {
            Ok(list) => directory.apply_host_list(&list),
            Err(error) => log_fault("host_list", &error),
        }
    }
    let targets: Vec<(ServerName, String)> = directory
        .records()
        .map(|record| (record.name.clone(), record.address.clone()))
        .collect();
    let calls = targets.iter().map(|(name, address)| async move {
        let call =
            context
                .client
                .call_json(Method::GET, address, "/load", None::<&()>, LOAD_TIMEOUT);
        (name, call.await)
    });
    for (name, result) in join_all(calls).await {
        let result: Result<LoadReport, _> = result;
        match result {
            Ok(report) => directory.apply_load(name, &report, context.timers.now()),
            Err(error) => log_fault("load", &error),
        }
    }
    let current = context.tables.load();
    let tables = RouteTables {
        servers: directory.snapshot(),
        ..RouteTables::clone(&current)
    };
    context.tables.store(Arc::new(tables));
}
