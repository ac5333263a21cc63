//! HTTP/1.1 connections to backend servers and to the store, and a pool of idle ones.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use galenamast::coordination::AllowanceSettings;
use galenamast::transport::{BodyError, BoundedBody, BoundedSocket, SharedAllowance};
use http::Request;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::Instant;
use tokio_util::task::AbortOnDropHandle;

use crate::coordination::liveness::ProbeResult;
use crate::transport::gateway_context::GatewayContext;
use crate::transport::open_connections::ServerSlot;

/// TCP keep-alive: idle time before the first probe, and time between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// TCP keep-alive: unanswered probes after which a connection is dead, unless a user timeout is set.
const KEEPALIVE_PROBES: u32 = 2;
/// TCP user timeout: how long sent bytes and keep-alive probes may stay unacknowledged. It decides when
/// probes give up, whatever their number.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(2_500);
/// How long an idle connection is kept if its server states no limit.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(3);
/// Longest time for which an idle connection is kept, whatever its server states.
const MAX_IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Fraction of the server's stated idle limit that is used, so that no request is sent while the
/// server closes the connection.
const IDLE_TIMEOUT_FRACTION: f64 = 0.6;
/// Timeout of a connection probe; a live server accepts far sooner.
const PROBE_TIMEOUT: Duration = Duration::from_millis(150);
/// Size of a connection's buffer, which bounds the head of a response and what one read of a body gives.
const READ_BUFFER_BYTES: usize = 8 * 1_024;
/// Error number of a host without room for a connection of its own: `ENOBUFS`.
const NO_ROOM: i32 = 105;
/// Largest number of idle connections kept for one address.
const MAX_IDLE_PER_ADDRESS: usize = 12;

/// A connection that can carry one request at a time.
#[derive(Debug)]
pub struct BackendConnection {
    /// Address of the peer.
    pub address: SocketAddr,
    /// Whether the connection has carried a request before.
    pub reused: bool,
    sender: SendRequest<Full<Bytes>>,
    allowance: SharedAllowance,
    // Room that the connection takes, if it counts against a host's.
    _slot: Option<ServerSlot>,
    // Closes the connection when the value is dropped, even in the middle of a response.
    _driver: AbortOnDropHandle<()>,
}

impl BackendConnection {
    /// Opens a connection with a receive buffer of `receive_bytes` within `timeout`.
    ///
    /// # Errors
    ///
    /// Returns an error if the peer does not accept the connection in time.
    pub async fn open(
        address: SocketAddr,
        receive_bytes: u32,
        timeout: Duration,
    ) -> io::Result<Self> {
        let socket = open_socket(address, receive_bytes)?;
        let connecting = tokio::time::timeout(timeout, socket.connect(address));
        let stream = connecting
            .await
            .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        stream.set_nodelay(true)?;
        let socket = SockRef::from(&stream);
        let keepalive = TcpKeepalive::new()
            .with_time(KEEPALIVE_INTERVAL)
            .with_interval(KEEPALIVE_INTERVAL);
        socket.set_tcp_keepalive(&keepalive.with_retries(KEEPALIVE_PROBES))?;
        socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))?;
        let mut builder = http1::Builder::new();
        builder.max_buf_size(READ_BUFFER_BYTES);
        let allowance = SharedAllowance::new(AllowanceSettings::default());
        let socket = BoundedSocket::new(stream, allowance.clone());
        let handshake = builder.handshake(TokioIo::new(socket));
        let (sender, connection) = handshake.await.map_err(io::Error::other)?;
        let driver = tokio::spawn(async move {
            // Whoever waits for the response gets the error.
            let _ = connection.await;
        });
        Ok(Self {
            address,
            reused: false,
            sender,
            allowance,
            _slot: None,
            _driver: AbortOnDropHandle::new(driver),
        })
    }

    /// Opens a connection that takes room of a host. Idle connections are closed if there is none.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no room, or the peer does not accept the connection in time.
    pub(crate) async fn open_counted(
        context: &Arc<GatewayContext>,
        address: SocketAddr,
        timeout: Duration,
    ) -> io::Result<Self> {
        let slot = ServerSlot::take(context).await;
        let slot = slot.ok_or_else(|| io::Error::from_raw_os_error(NO_ROOM))?;
        let receive_bytes = context.settings.server_receive_bytes;
        let connection = Self::open(address, receive_bytes, timeout).await?;
        Ok(Self {
            _slot: Some(slot),
            ..connection
        })
    }

    /// Sends a request and waits for the head of the response.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection closes before the head is complete, or too many bytes arrive
    /// before.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<http::Response<BoundedBody>, BodyError> {
        self.allowance.lock().renew();
        let response = self.exchange(request).await;
        if self.allowance.is_spent() {
            return Err(BodyError::NoData);
        }
        let response = response.map_err(|_| BodyError::Broken)?;
        self.allowance.lock().renew();
        Ok(response.map(|body| BoundedBody::new(body, self.allowance.clone())))
    }

    /// Sends a request once the connection is ready, and waits for the head of the response.
    async fn exchange(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<http::Response<Incoming>, hyper::Error> {
        self.sender.ready().await?;
        self.sender.send_request(request).await
    }
}

/// An idle connection and when it must no longer be used.
#[derive(Debug)]
struct IdleConnection {
    connection: BackendConnection,
    expires_at: Instant,
}

/// Pool of idle connections by peer address.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    idle: Mutex<BTreeMap<SocketAddr, Vec<IdleConnection>>>,
}

impl ConnectionPool {
    /// Takes an idle connection that is neither expired nor known to be closed.
    pub fn take(&self, address: SocketAddr) -> Option<BackendConnection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.get_mut(&address)?;
        let now = Instant::now();
        while let Some(entry) = connections.pop() {
            if entry.expires_at > now && !entry.connection.sender.is_closed() {
                return Some(entry.connection);
            }
        }
        None
    }

    /// Puts back a connection whose last response was read to its end. `idle_limit` is the time for
    /// which the server said that it keeps idle connections.
    pub fn keep(&self, mut connection: BackendConnection, idle_limit: Option<Duration>) {
        if connection.sender.is_closed() {
            return;
        }
        connection.reused = true;
        let limit = idle_limit.map_or(DEFAULT_IDLE_TIMEOUT, |limit| {
            limit.min(MAX_IDLE_TIMEOUT).mul_f64(IDLE_TIMEOUT_FRACTION)
        });
        let now = Instant::now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.entry(connection.address).or_default();
        connections.retain(|entry| entry.expires_at > now);
        if connections.len() < MAX_IDLE_PER_ADDRESS {
            connections.push(IdleConnection {
                connection,
                expires_at: now + limit,
            });
        }
    }

    /// Closes all idle connections, which frees their descriptors and ports.
    pub fn clear_all(&self) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.clear();
    }

    /// Closes all idle connections to an address.
    pub fn clear(&self, address: SocketAddr) {
        self.idle
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .remove(&address);
    }
}

/// Creates a socket for an address with a receive buffer of a fixed size, in bytes.
pub(crate) fn open_socket(address: SocketAddr, receive_bytes: u32) -> io::Result<TcpSocket> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4(),
        SocketAddr::V6(_) => TcpSocket::new_v6(),
    }?;
    socket.set_recv_buffer_size(receive_bytes)?;
    Ok(socket)
}

/// Opens a connection to a server within the probe timeout and closes it.
pub(crate) async fn probe_server(address: SocketAddr) -> ProbeResult {
    probe_connection(address, PROBE_TIMEOUT).await
}

/// Opens a connection to a server within `timeout` and closes it.
pub(crate) async fn probe_connection(address: SocketAddr, timeout: Duration) -> ProbeResult {
    match tokio::time::timeout(timeout, TcpStream::connect(address)).await {
        Ok(Ok(_)) => ProbeResult::Accepted,
        Ok(Err(error)) => ProbeResult::of_error(&error),
        Err(_) => ProbeResult::TimedOut,
    }
}
