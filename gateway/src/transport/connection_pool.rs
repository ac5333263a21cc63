//! Connections to backend servers and to the store.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio_util::task::AbortOnDropHandle;

/// Time after which an idle peer is probed, and between probes; dead ones show within a second or two.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Probes without an answer after which a connection is dead.
const KEEPALIVE_PROBES: u32 = 2;
/// Time for which sent bytes may stay unacknowledged.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Idle time of a connection whose server states none.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(3);
/// Part of a stated idle time that is used, so that a request does not cross the server's close.
const IDLE_TIMEOUT_FRACTION: f64 = 0.6;
/// Time for a probe of an address; a server that is alive accepts far sooner.
const PROBE_TIMEOUT: Duration = Duration::from_millis(150);
/// Idle connections that are kept for one address.
const MAX_IDLE_PER_ADDRESS: usize = 12;

/// A connection that can carry a request.
#[derive(Debug)]
pub struct BackendConnection {
    /// Address of the peer.
    pub address: SocketAddr,
    /// Whether it carried a request before.
    pub reused: bool,
    sender: SendRequest<Full<Bytes>>,
    // Ends the connection with the value, also in the middle of an answer.
    _driver: AbortOnDropHandle<()>,
}

impl BackendConnection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Returns an error if the peer does not accept it in time.
    pub async fn open(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
        let connecting = tokio::time::timeout(timeout, TcpStream::connect(address));
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
        let handshake = http1::Builder::new().handshake(TokioIo::new(stream));
        let (sender, connection) = handshake.await.map_err(io::Error::other)?;
        let driver = tokio::spawn(async move {
            // The error reaches whoever waits for the answer.
            let _ = connection.await;
        });
        Ok(Self {
            address,
            reused: false,
            sender,
            _driver: AbortOnDropHandle::new(driver),
        })
    }

    /// Sends a request and waits for the head of the answer.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection breaks before the head is whole.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<http::Response<Incoming>, hyper::Error> {
        self.sender.ready().await?;
        self.sender.send_request(request).await
    }
}

/// An idle connection.
#[derive(Debug)]
struct IdleConnection {
    connection: BackendConnection,
    expires_at: Instant,
}

/// Idle connections by address.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    idle: Mutex<BTreeMap<SocketAddr, Vec<IdleConnection>>>,
}

impl ConnectionPool {
    /// Takes an idle connection that is believed to be alive.
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

    /// Keeps a connection whose last answer was read to its end.
    pub fn keep(&self, mut connection: BackendConnection, idle_limit: Option<Duration>) {
        if connection.sender.is_closed() {
            return;
        }
        connection.reused = true;
        let limit = idle_limit.map_or(DEFAULT_IDLE_TIMEOUT, |limit| {
            limit.mul_f64(IDLE_TIMEOUT_FRACTION)
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

    /// Closes the idle connections to an address.
    pub fn clear(&self, address: SocketAddr) {
        self.idle
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .remove(&address);
    }
}

/// Returns whether an address accepts connections at once.
pub(crate) async fn accepts_connections(address: SocketAddr) -> bool {
    let connecting = tokio::time::timeout(PROBE_TIMEOUT, TcpStream::connect(address));
    matches!(connecting.await, Ok(Ok(_)))
}
