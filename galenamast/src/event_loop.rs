//! A running entry host: starts its parts, keeps them running and stops them.

use std::net::SocketAddr;
use std::sync::Arc;

use log::Level;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use crate::config::Settings;
use crate::logging::{log_fault, log_record};
use crate::protocol::LogRecord;
use crate::transport::caller_server::caller_routes;
use crate::transport::config_loader::load_config;
use crate::transport::host_list_poller::poll_servers;
use crate::transport::metrics_reporter::{report_gauges, start_metrics};
use crate::transport::operator_server::start_operator_server;
use crate::transport::{HostContext, ObjectClient, TimerService, TransportError};

/// A running entry host.
#[derive(Debug)]
pub struct EntryHost {
    context: Arc<HostContext>,
    caller_address: SocketAddr,
    operator_address: SocketAddr,
    shutdown: CancellationToken,
    tasks: Vec<JoinHandle<()>>,
}

impl EntryHost {
    /// Starts an entry host and returns when its sockets are open.
    ///
    /// # Errors
    ///
    /// Returns an error if a socket cannot be opened.
    pub async fn start(settings: Settings) -> Result<Self, TransportError> {
        let address = settings.callers.listen;
        let context = HostContext::new(settings, TimerService::system());
        let listener = TcpListener::bind(address)
            .await
            .map_err(|source| TransportError::Listen { address, source })?;
        let caller_address = listener
            .local_addr()
            .map_err(|source| TransportError::Listen { address, source })?;
        let shutdown = CancellationToken::new();
        let mut tasks = vec![tokio::spawn(poll_servers(context.clone()))];
        if let Some(objects) = context.objects.clone() {
            tasks.push(tokio::spawn(follow_config(context.clone(), objects)));
        }
        let operators = start_operator_server(context.clone(), shutdown.clone()).await?;
        tasks.push(operators.serving);
        let routes = caller_routes(context.clone());
        let stopped = shutdown.clone().cancelled_owned();
        tasks.push(tokio::spawn(async move {
            let serving = axum::serve(listener, routes).with_graceful_shutdown(stopped);
            if let Err(error) = serving.await {
                log_fault("callers", &error);
            }
        }));
        log_record(
            Level::Info,
            &LogRecord::HostStarted {
                callers: caller_address.to_string(),
                operators: operators.address.to_string(),
            },
        );
        Ok(Self {
            context,
            caller_address,
            operator_address: operators.address,
            shutdown,
            tasks,
        })
    }

    /// Returns the address that callers connect to.
    pub fn caller_address(&self) -> SocketAddr {
        self.caller_address
    }

    /// Returns the address that operators connect to.
    pub fn operator_address(&self) -> SocketAddr {
        self.operator_address
    }

    /// Returns the shared parts of the host.
    pub fn context(&self) -> &Arc<HostContext> {
        &self.context
    }

    /// Stops the host after the requests in flight have ended.
    pub async fn stop(mut self) {
        self.shutdown.cancel();
        if let Some(serving) = self.tasks.pop() {
            let timeout = self.context.settings.shutdown.drain_timeout;
            if tokio::time::timeout(timeout, serving).await.is_err() {
                log_fault(
                    "callers",
                    &"requests were still in flight when the drain timeout passed",
                );
            }
        }
        for task in &self.tasks {
            task.abort();
        }
        log_record(Level::Info, &LogRecord::HostStopped);
    }
}

/// Runs an entry host until the process is told to stop.
///
/// # Errors
///
/// Returns an error if the host cannot start.
pub async fn run(settings: Settings) -> Result<(), TransportError> {
    let metrics = start_metrics(&settings.metrics);
    let mut host = EntryHost::start(settings).await?;
    if let Some(sink) = metrics {
        let reporting = report_gauges(host.context.clone(), sink);
        host.tasks.insert(0, tokio::spawn(reporting));
    }
    wait_for_signal().await;
    host.stop().await;
    Ok(())
}

/// Waits for a signal that asks the process to stop.
async fn wait_for_signal() {
    use tokio::signal::unix::{SignalKind, signal};

    let Ok(mut terminate) = signal(SignalKind::terminate()) else {
        return;
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = tokio::signal::ctrl_c() => {}
    }
}

/// Adopts newer configurations from the platform until the task is aborted.
async fn follow_config(context: Arc<HostContext>, objects: ObjectClient) {
    let mut ticks = context
        .timers
        .subscribe(context.settings.platform.host_list_period);
    loop {
        match load_config(&objects).await {
            Ok(Some(image)) if image.generation > context.image.load().generation => {
                let generation = image.generation;
                context.image.store(Arc::new(image));
                log_record(Level::Info, &LogRecord::ConfigAdopted { generation });
            }
            Ok(_) => {}
            Err(error) => log_fault("config", &error),
        }
        ticks.tick().await;
    }
}
