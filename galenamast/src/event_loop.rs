//! Runs an entry host: starts its tasks, reloads its settings and stops it gracefully.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use log::Level;
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use crate::config::Settings;
use crate::logging::{log_fault, log_record};
use crate::protocol::LogRecord;
use crate::transport::caller_server::CallerServer;
use crate::transport::caller_tls::load_tls;
use crate::transport::crash_sharing::{subscribe_crash_notes, sync_crash_notes};
use crate::transport::demand_runner::{publish_demand, subscribe_demand};
use crate::transport::host_list_poller::{maintain_server_table, poll_host_list};
use crate::transport::load_watcher::watch_loads;
use crate::transport::metrics_reporter::{report_gauges, start_metrics};
use crate::transport::operator_server::start_operator_server;
use crate::transport::quality_monitor::{monitor_quality, subscribe_quality_updates};
use crate::transport::settings_reload::reload_settings;
use crate::transport::statistics_reporter::report_statistics;
use crate::transport::{
    HostContext, TimerService, TransportError, start_peer_tasks, start_singleton_jobs,
    start_usage_peers,
};

/// Time between two checks for requests in flight during shutdown.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A running entry host.
#[derive(Debug)]
pub struct EntryHost {
    context: Arc<HostContext>,
    caller_address: SocketAddr,
    operator_address: SocketAddr,
    stopped: CancellationToken,
    serving: JoinHandle<()>,
    tasks: Vec<JoinHandle<()>>,
}

impl EntryHost {
    /// Starts an entry host and returns once its sockets are open.
    ///
    /// # Errors
    ///
    /// Returns an error if a socket cannot be opened or a certificate cannot be read.
    pub async fn start(settings: Settings) -> Result<Self, TransportError> {
        let address = settings.callers.listen;
        let tls = load_tls(&settings.callers)?;
        let context = HostContext::new(settings, TimerService::system());
        context.caller_tls.store(tls);
        let listen_error = |source| TransportError::Listen { address, source };
        let listener = TcpListener::bind(address).await.map_err(listen_error)?;
        let caller_address = listener.local_addr().map_err(listen_error)?;
        let mut tasks = vec![tokio::spawn(poll_host_list(context.clone()))];
        if let Some(events) = context.take_server_events() {
            tasks.push(tokio::spawn(maintain_server_table(context.clone(), events)));
        }
        tasks.extend(start_peer_tasks(&context)?);
        tasks.push(tokio::spawn(watch_loads(context.clone())));
        tasks.extend(start_usage_peers(&context));
        tasks.extend(start_singleton_jobs(&context));
        tasks.push(tokio::spawn(report_statistics(context.clone())));
        subscribe_crash_notes(&context);
        tasks.push(tokio::spawn(sync_crash_notes(context.clone())));
        subscribe_quality_updates(&context);
        subscribe_demand(&context);
        tasks.push(tokio::spawn(publish_demand(context.clone())));
        if let Some(quality_events) = context.take_quality_events() {
            tasks.push(tokio::spawn(monitor_quality(
                context.clone(),
                quality_events,
            )));
        }
        if let Some(ledger) = context.ledger.clone() {
            tasks.push(tokio::spawn(ledger.run()));
        }
        let stopped = CancellationToken::new();
        let operators = start_operator_server(context.clone(), stopped.clone()).await?;
        tasks.push(operators.serving);
        let server = CallerServer {
            context: context.clone(),
            listener,
            stopped: stopped.clone(),
        };
        let serving = tokio::spawn(server.serve());
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
            stopped,
            serving,
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

    /// Returns the state that the tasks of the host share.
    pub fn context(&self) -> &Arc<HostContext> {
        &self.context
    }

    /// Stops the host once the requests in flight have ended, or the drain timeout has passed.
    pub async fn stop(self) {
        self.stop_with_interrupt(std::future::pending()).await;
    }

    /// Stops the host like [`stop`](Self::stop), but ends the drain once `interrupt` is ready.
    ///
    /// Requests that are still in flight after the drain are abandoned, and their identifiers are
    /// logged.
    pub async fn stop_with_interrupt(mut self, interrupt: impl Future<Output = ()>) {
        self.context.shutting_down.store(true, Ordering::SeqCst);
        log_record(Level::Info, &LogRecord::HostLeaving);
        if let Some(peers) = self.context.peers.get() {
            peers.announce_leaving();
        }
        tokio::select! {
            () = self.drain() => {}
            () = interrupt => {}
        }
        for request_id in self.context.request_registry.requests() {
            log_record(Level::Warn, &LogRecord::RequestAbandoned { request_id });
        }
        self.serving.abort();
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

    /// Serves until the load balancer has noticed that the host is unready, then waits for the
    /// requests in flight, for at most the drain timeout.
    async fn drain(&mut self) {
        let settings = self.context.current_settings();
        let shutdown = &settings.shutdown;
        let timers = &self.context.timers;
        timers.sleep(shutdown.balancer_lag).await;
        self.stopped.cancel();
        let drained = async {
            let _ = (&mut self.serving).await;
            // Claimed requests continue after their callers have disconnected.
            while !self.context.request_registry.is_empty() {
                timers.sleep(DRAIN_POLL_INTERVAL).await;
            }
            if let Some(claims) = &self.context.claims {
                claims.drain(shutdown.drain_timeout).await;
            }
            if let Some(ledger) = &self.context.ledger {
                ledger.drain(shutdown.drain_timeout).await;
            }
        };
        tokio::select! {
            () = drained => {}
            () = timers.sleep(shutdown.drain_timeout) => {}
        }
    }
}

/// Runs an entry host until SIGTERM or SIGINT.
///
/// SIGHUP reloads the settings with `load_settings`, which returns `None` if they are invalid. A
/// second SIGTERM or SIGINT ends the drain early.
///
/// # Errors
///
/// Returns an error if the host cannot start.
pub async fn run(
    settings: Settings,
    load_settings: impl Fn() -> Option<Settings> + Send + 'static,
) -> Result<(), TransportError> {
    // Installed first, so that signals during the start are handled once the host runs.
    let hangup = signal(SignalKind::hangup()).ok();
    let mut terminate = signal(SignalKind::terminate()).ok();
    let mut interrupt = signal(SignalKind::interrupt()).ok();
    let metrics = start_metrics(&settings.metrics);
    let mut host = EntryHost::start(settings).await?;
    if let Some(sink) = metrics {
        let reporting = report_gauges(host.context.clone(), sink);
        host.tasks.push(tokio::spawn(reporting));
    }
    let reloading = reload_on_hangup(host.context.clone(), hangup, load_settings);
    host.tasks.push(tokio::spawn(reloading));
    wait_for_signal(&mut terminate, &mut interrupt).await;
    host.stop_with_interrupt(wait_for_signal(&mut terminate, &mut interrupt))
        .await;
    Ok(())
}

/// Reloads the settings at each SIGHUP.
async fn reload_on_hangup(
    context: Arc<HostContext>,
    mut hangup: Option<Signal>,
    load_settings: impl Fn() -> Option<Settings>,
) {
    loop {
        receive_signal(&mut hangup).await;
        let Some(changed) = load_settings() else {
            log_fault(
                "settings",
                &"the settings could not be loaded; the ones in force stay",
            );
            continue;
        };
        match reload_settings(&context, &changed) {
            Ok(()) => log_record(Level::Info, &LogRecord::SettingsReloaded),
            Err(error) => log_fault("settings", &error),
        }
    }
}

/// Waits for SIGTERM or SIGINT.
async fn wait_for_signal(terminate: &mut Option<Signal>, interrupt: &mut Option<Signal>) {
    tokio::select! {
        () = receive_signal(terminate) => {}
        () = receive_signal(interrupt) => {}
    }
}

/// Waits for one kind of signal, forever if its handler could not be installed.
async fn receive_signal(signal: &mut Option<Signal>) {
    match signal {
        Some(signal) => {
            signal.recv().await;
        }
        None => std::future::pending().await,
    }
}
