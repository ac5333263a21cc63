//! A running entry host: starts its parts, keeps them running and stops them.

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

/// Time between two looks at the requests that are still in flight during shutdown.
const DRAIN_CHECK: Duration = Duration::from_millis(10);

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
    /// Starts an entry host and returns when its sockets are open.
    ///
    /// # Errors
    ///
    /// Returns an error if a socket cannot be opened or a certificate cannot be read.
    pub async fn start(settings: Settings) -> Result<Self, TransportError> {
        let address = settings.callers.listen;
        let tls = load_tls(&settings.callers)?;
        let context = HostContext::new(settings, TimerService::system());
        context.caller_tls.store(tls);
        let listen = |source| TransportError::Listen { address, source };
        let listener = TcpListener::bind(address).await.map_err(listen)?;
        let caller_address = listener.local_addr().map_err(listen)?;
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

    /// Returns the shared parts of the host.
    pub fn context(&self) -> &Arc<HostContext> {
        &self.context
    }

    /// Stops the host after the requests in flight have ended.
    pub async fn stop(self) {
        self.stop_with_interrupt(std::future::pending()).await;
    }

    /// Stops the host; requests that are in flight when the drain timeout passes or `hurry` is
    /// ready are given up, and the log names them.
    pub async fn stop_with_interrupt(mut self, hurry: impl Future<Output = ()>) {
        self.context.shutting_down.store(true, Ordering::SeqCst);
        log_record(Level::Info, &LogRecord::HostLeaving);
        if let Some(peers) = self.context.peers.get() {
            peers.announce_leaving();
        }
        tokio::select! {
            () = self.drain() => {}
            () = hurry => {}
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

    /// Serves through the balancer's lag and lets the requests in flight end.
    async fn drain(&mut self) {
        let settings = self.context.current_settings();
        let shutdown = &settings.shutdown;
        let timers = &self.context.timers;
        timers.sleep(shutdown.balancer_lag).await;
        self.stopped.cancel();
        let ended = async {
            let _ = (&mut self.serving).await;
            // Claimed requests run on after their callers have left.
            while !self.context.request_registry.is_empty() {
                timers.sleep(DRAIN_CHECK).await;
            }
            if let Some(claims) = &self.context.claims {
                claims.drain(shutdown.drain_timeout).await;
            }
            if let Some(ledger) = &self.context.ledger {
                ledger.drain(shutdown.drain_timeout).await;
            }
        };
        tokio::select! {
            () = ended => {}
            () = timers.sleep(shutdown.drain_timeout) => {}
        }
    }
}

/// Runs an entry host until the process is told to stop; a hang-up signal reads the settings again.
///
/// # Errors
///
/// Returns an error if the host cannot start.
pub async fn run(
    settings: Settings,
    read_again: impl Fn() -> Option<Settings> + Send + 'static,
) -> Result<(), TransportError> {
    // Signals that come while the host starts wait until it runs.
    let hangup = signal(SignalKind::hangup()).ok();
    let mut terminate = signal(SignalKind::terminate()).ok();
    let mut interrupt = signal(SignalKind::interrupt()).ok();
    let metrics = start_metrics(&settings.metrics);
    let mut host = EntryHost::start(settings).await?;
    if let Some(sink) = metrics {
        let reporting = report_gauges(host.context.clone(), sink);
        host.tasks.push(tokio::spawn(reporting));
    }
    let reloading = follow_settings(host.context.clone(), hangup, read_again);
    host.tasks.push(tokio::spawn(reloading));
    wait_for_signal(&mut terminate, &mut interrupt).await;
    host.stop_with_interrupt(wait_for_signal(&mut terminate, &mut interrupt))
        .await;
    Ok(())
}

/// Puts changed settings into force at each hang-up signal.
async fn follow_settings(
    context: Arc<HostContext>,
    mut hangup: Option<Signal>,
    read_again: impl Fn() -> Option<Settings>,
) {
    loop {
        receive(&mut hangup).await;
        let Some(changed) = read_again() else {
            log_fault("settings", &"the settings were not taken over");
            continue;
        };
        match reload_settings(&context, &changed) {
            Ok(()) => log_record(Level::Info, &LogRecord::SettingsReloaded),
            Err(error) => log_fault("settings", &error),
        }
    }
}

/// Waits for a signal that asks the process to stop.
async fn wait_for_signal(terminate: &mut Option<Signal>, interrupt: &mut Option<Signal>) {
    tokio::select! {
        () = receive(terminate) => {}
        () = receive(interrupt) => {}
    }
}

/// Waits for one kind of signal; a kind that cannot be listened for never comes.
async fn receive(signal: &mut Option<Signal>) {
    match signal {
        Some(signal) => {
            signal.recv().await;
        }
        None => std::future::pending().await,
    }
}
