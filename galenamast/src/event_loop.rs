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
use crate::transport::host_list_poller::poll_servers;
use crate::transport::{HostContext, TimerService, TransportError, start_fleet};

/// A running entry host.
#[derive(Debug)]
pub struct EntryHost {
    context: Arc<HostContext>,
    caller_address: SocketAddr,
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
        tasks.extend(start_fleet(&context)?);
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
            },
        );
        Ok(Self {
            context,
            caller_address,
            shutdown,
            tasks,
        })
    }

    /// Returns the address that callers connect to.
    pub fn caller_address(&self) -> SocketAddr {
        self.caller_address
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
        if let Some(leases) = &self.context.leases {
            leases.stop().await;
        }
        if let Some(peers) = self.context.peers.get() {
            peers.leave().await;
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
    let host = EntryHost::start(settings).await?;
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
