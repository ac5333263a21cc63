//! A running entry host: starts its tasks and stops them gracefully.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use galenamast::state::TimePoint;
use log::Level;
use tokio::net::{TcpListener, UdpSocket};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio_util::sync::CancellationToken;
use tokio_util::task::AbortOnDropHandle;

use crate::coordination::shutdown::StopSchedule;
use crate::protocol::{GatewayRecord, PlatformFormat, WIRE_VERSION};
use crate::transport::caller_listener::CallerListener;
use crate::transport::connection_pool::open_socket;
use crate::transport::evacuation_feed::run_evacuations;
use crate::transport::gateway_context::GatewayContext;
use crate::transport::gateway_error::GatewayError;
use crate::transport::gateway_settings::GatewaySettings;
use crate::transport::peer_gossip::run_peer_gossip;
use crate::transport::reach_probe::watch_reach;
use crate::transport::ready_listener::serve_readiness;
use crate::transport::record_log::log_record;
use crate::transport::rollout_writer::write_reports;
use crate::transport::store_confirmer::{catch_up_with_peers, confirm_store};
use crate::transport::store_feeds::start_store_feeds;

/// Number of ports that are tried if any free one will do.
const PORT_TRIES: u32 = 16;
/// Number of connections that wait to be accepted.
const BACKLOG: u32 = 1_024;
/// Interval at which a stopping host checks for open connections.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A running entry host; dropping it aborts its tasks.
#[derive(Debug)]
pub struct GatewayHost {
    context: Arc<GatewayContext>,
    callers: Arc<CallerListener>,
    caller_address: SocketAddr,
    readiness_address: SocketAddr,
    _tasks: Vec<AbortOnDropHandle<()>>,
}

impl GatewayHost {
    /// Starts an entry host; returns when its sockets are open.
    ///
    /// # Errors
    ///
    /// Returns an error if a socket cannot be opened at one of the configured addresses.
    pub async fn start(
        settings: GatewaySettings,
        format: PlatformFormat,
    ) -> Result<Self, GatewayError> {
        let (callers, caller_address) = listen(settings.caller_address, &settings)?;
        let (ready, readiness_address) = listen(settings.readiness_address, &settings)?;
        let (datagrams, relays) = bind_peer_sockets(&settings).await?;
        let datagrams = Arc::new(datagrams);
        let context = GatewayContext::new(settings, format);
        let listener = Arc::new(CallerListener {
            context: context.clone(),
            close_idle: CancellationToken::new(),
            close_sockets: CancellationToken::new(),
            accepting: AtomicUsize::new(0),
        });
        let mut tasks = start_store_feeds(&context);
        tasks.push(tokio::spawn(listener.clone().accept(callers)));
        tasks.push(tokio::spawn(listener.clone().accept_relays(relays)));
        tasks.push(tokio::spawn(serve_readiness(context.clone(), ready)));
        tasks.push(tokio::spawn(write_reports(context.clone())));
        tasks.push(tokio::spawn(run_peer_gossip(context.clone(), datagrams)));
        tasks.push(tokio::spawn(watch_reach(context.clone())));
        tasks.push(tokio::spawn(confirm_store(context.clone())));
        tasks.push(tokio::spawn(catch_up_with_peers(context.clone())));
        if context.settings.evacuation_bound.is_some() {
            tasks.push(tokio::spawn(run_evacuations(context.clone())));
        }
        let record = GatewayRecord::Started {
            host: context.settings.host.clone(),
            domain: context.settings.domain.clone(),
            callers: caller_address.to_string(),
            build: env!("CARGO_PKG_VERSION"),
            wire_version: WIRE_VERSION,
        };
        log_record(Level::Info, &record);
        let tasks = tasks.into_iter().map(AbortOnDropHandle::new).collect();
        Ok(Self {
            context,
            callers: listener,
            caller_address,
            readiness_address,
            _tasks: tasks,
        })
    }

    /// Returns the address that callers connect to.
    pub fn caller_address(&self) -> SocketAddr {
        self.caller_address
    }

    /// Returns the address that serves readiness and metrics.
    pub fn readiness_address(&self) -> SocketAddr {
        self.readiness_address
    }

    /// Returns the shared state of the host.
    pub fn context(&self) -> &Arc<GatewayContext> {
        &self.context
    }

    /// Stops the host once all connections are closed, or when the grace period is over.
    ///
    /// The host serves everything until the balancer lag has passed. Then it closes idle connections, and
    /// refuses the requests that may last longer than the process. At the end it answers those that are
    /// still in progress, but for streams whose response has begun.
    pub async fn stop(self) {
        let context = &self.context;
        let in_flight = context.in_flight.load(Ordering::Relaxed);
        log_record(Level::Info, &GatewayRecord::Stopping { in_flight });
        let schedule = StopSchedule::new(context.now(), context.settings.stop);
        let schedule = *context.stop.get_or_init(|| schedule);
        context
            .timers
            .sleep(schedule.drains_at().since(context.now()))
            .await;
        self.callers.close_idle.cancel();
        self.wait_for_connections(schedule.answers_until()).await;
        // Connections that wait to be accepted are still served if there is time.
        self.callers.close_sockets.cancel();
        self.wait_for_connections(schedule.answers_until()).await;
        context.last_answers.cancel();
        self.wait_for_connections(schedule.ends_at()).await;
        context.grace_over.store(true, Ordering::Relaxed);
        let elapsed = context.now().since(schedule.signalled_at());
        let record = GatewayRecord::Stopped {
            abandoned: context.connections.callers(),
            in_flight: context.in_flight.load(Ordering::Relaxed),
            elapsed_ms: u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX),
        };
        log_record(Level::Info, &record);
    }

    /// Waits until no connection is open and none waits to be accepted, or until `end`.
    async fn wait_for_connections(&self, end: TimePoint) {
        let context = &self.context;
        while self.callers.is_busy() && context.now() < end {
            let left = end.since(context.now());
            context.timers.sleep(STOP_POLL_INTERVAL.min(left)).await;
        }
    }
}

/// Opens the sockets for datagrams and for relayed requests on one port. A free port is found by trying,
/// as a port may be free for one of them only.
async fn bind_peer_sockets(
    settings: &GatewaySettings,
) -> Result<(UdpSocket, TcpListener), GatewayError> {
    let address = settings.peer_address;
    let failed = |source| GatewayError::Listen { address, source };
    let mut tries = if address.port() == 0 { PORT_TRIES } else { 1 };
    loop {
        let datagrams = UdpSocket::bind(address).await.map_err(failed)?;
        let bound = datagrams.local_addr().map_err(failed)?;
        tries -= 1;
        match listen(bound, settings) {
            Ok((relays, _)) => return Ok((datagrams, relays)),
            Err(error) if tries == 0 => return Err(error),
            Err(_) => {}
        }
    }
}

/// Opens a listening socket and returns it with its bound address. Its connections have buffers of a fixed
/// size, as the kernel would otherwise enlarge those of callers that send faster than they are read, or that
/// do not read.
fn listen(
    address: SocketAddr,
    settings: &GatewaySettings,
) -> Result<(TcpListener, SocketAddr), GatewayError> {
    let failed = |source| GatewayError::Listen { address, source };
    let open = || {
        let socket = open_socket(address, settings.caller_receive_bytes)?;
        socket.set_send_buffer_size(settings.caller_send_bytes)?;
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(BACKLOG)
    };
    let listener = open().map_err(failed)?;
    let bound = listener.local_addr().map_err(failed)?;
    Ok((listener, bound))
}

/// Runs an entry host until the process receives SIGTERM or SIGINT. On SIGHUP the settings are only
/// read with `reload_settings` and logged as valid or not.
///
/// # Errors
///
/// Returns an error if the host cannot start or a signal handler cannot be installed.
pub async fn run_gateway(
    settings: GatewaySettings,
    format: PlatformFormat,
    reload_settings: impl Fn() -> Option<GatewaySettings>,
) -> Result<(), GatewayError> {
    let listen_to = |kind| signal(kind).map_err(GatewayError::Signals);
    let mut hangup = listen_to(SignalKind::hangup())?;
    let mut terminate = listen_to(SignalKind::terminate())?;
    let mut interrupt = listen_to(SignalKind::interrupt())?;
    let host = GatewayHost::start(settings, format).await?;
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            () = wait_for_signal(&mut hangup) => {
                let valid = reload_settings().is_some();
                log_record(Level::Info, &GatewayRecord::SettingsReloaded { valid });
            }
        }
    }
    host.stop().await;
    Ok(())
}

/// Waits for a signal.
async fn wait_for_signal(signal: &mut Signal) {
    signal.recv().await;
}
