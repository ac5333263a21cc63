//! QUIC connections to other entry hosts.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwap;
use bytes::Bytes;
use quinn::{Connection, Endpoint, VarInt};
use rustls::pki_types::CertificateDer;
use tokio::sync::Semaphore;

use crate::config::PeersSettings;
use crate::state::HostName;
use crate::transport::tls_config::QuicConfig;
use crate::transport::tls_identity::{TlsIdentity, host_of_certificate};
use crate::transport::transport_error::TransportError;

/// Time limit for opening a connection and for closing all of them.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of outgoing connections that are being opened at the same time.
const MAX_CONNECTING: usize = 32;
/// Incoming connections are refused while this many connections are open.
const MAX_CONNECTIONS: usize = 512;
/// Server name sent when connecting; the host name is read from the certificate instead.
const SERVER_NAME: &str = "entry-host";

/// A connection to a host whose certificate was verified.
#[derive(Clone, Debug)]
pub struct PeerLink {
    /// Host that the certificate names.
    pub host: HostName,
    /// The QUIC connection.
    pub connection: Connection,
}

/// Open connections by the address of the other host.
#[derive(Debug)]
pub struct PeerLinks {
    endpoint: Endpoint,
    address: SocketAddr,
    links: Mutex<BTreeMap<SocketAddr, PeerLink>>,
    blocked: ArcSwap<BTreeSet<SocketAddr>>,
    connecting: Arc<Semaphore>,
}

impl PeerLinks {
    /// Opens the socket for peers.
    ///
    /// # Errors
    ///
    /// Returns an error if the certificates cannot be used or the socket cannot be opened.
    pub fn open(settings: &PeersSettings, host: &HostName) -> Result<Self, TransportError> {
        let config = QuicConfig::new(TlsIdentity::load(settings, host)?)?;
        let address = settings.listen;
        let listen_error = |source| TransportError::Listen { address, source };
        let mut endpoint = Endpoint::server(config.server, address).map_err(listen_error)?;
        endpoint.set_default_client_config(config.client);
        let address = endpoint.local_addr().map_err(listen_error)?;
        Ok(Self {
            endpoint,
            address,
            links: Mutex::default(),
            blocked: ArcSwap::default(),
            connecting: Arc::new(Semaphore::new(MAX_CONNECTING)),
        })
    }

    /// Returns the address that other hosts connect to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Blocks all traffic with these addresses and allows it with all others.
    pub fn block(&self, addresses: BTreeSet<SocketAddr>) {
        for address in &addresses {
            self.close(*address);
        }
        self.blocked.store(Arc::new(addresses));
    }

    /// Returns whether traffic with an address is blocked.
    pub fn is_blocked(&self, address: &SocketAddr) -> bool {
        self.blocked.load().contains(address)
    }

    /// Returns the open connection to an address.
    pub fn find(&self, address: &SocketAddr) -> Option<PeerLink> {
        let link = self.lock().get(address).cloned()?;
        link.connection.close_reason().is_none().then_some(link)
    }

    /// Waits for the next connection that another host opens; `None` when the socket is closed.
    pub async fn accept(&self) -> Option<Result<PeerLink, TransportError>> {
        let incoming = self.endpoint.accept().await?;
        let address = incoming.remote_address();
        if self.is_blocked(&address) || self.lock().len() >= MAX_CONNECTIONS {
            incoming.refuse();
            return Some(Err(peer_error(&address, &"the connection was refused")));
        }
        let handshake = async {
            let connecting = incoming.accept();
            let connecting = connecting.map_err(|error| peer_error(&address, &error))?;
            let connection = connecting.await;
            self.admit(connection.map_err(|error| peer_error(&address, &error))?)
        };
        let timed = tokio::time::timeout(CONNECT_TIMEOUT, handshake).await;
        Some(timed.unwrap_or_else(|_| Err(peer_error(&address, &"the handshake timed out"))))
    }

    /// Opens a connection to an address.
    ///
    /// # Errors
    ///
    /// Returns an error if no connection to the expected host is established in time.
    pub async fn connect(
        &self,
        address: SocketAddr,
        expected: Option<&HostName>,
    ) -> Result<PeerLink, TransportError> {
        if self.is_blocked(&address) {
            return Err(peer_error(&address, &"the address is blocked"));
        }
        let Ok(_permit) = self.connecting.try_acquire() else {
            return Err(peer_error(
                &address,
                &"too many connections are being opened",
            ));
        };
        let connecting = self.endpoint.connect(address, SERVER_NAME);
        let connecting = connecting.map_err(|error| peer_error(&address, &error))?;
        let connected = tokio::time::timeout(CONNECT_TIMEOUT, connecting).await;
        let connected =
            connected.map_err(|_| peer_error(&address, &"the connection attempt timed out"))?;
        let connection = connected.map_err(|error| peer_error(&address, &error))?;
        let link = self.admit(connection)?;
        if expected.is_some_and(|expected| *expected != link.host) {
            self.close(address);
            return Err(peer_error(&address, &"the certificate names another host"));
        }
        Ok(link)
    }

    /// Reads the host name from the certificate and stores the connection by remote address.
    fn admit(&self, connection: Connection) -> Result<PeerLink, TransportError> {
        let address = connection.remote_address();
        let identity = connection.peer_identity();
        let chain =
            identity.and_then(|chain| chain.downcast::<Vec<CertificateDer<'static>>>().ok());
        let host = chain.and_then(|chain| host_of_certificate(chain.first()?));
        let Some(host) = host else {
            connection.close(VarInt::from_u32(1), b"no host name");
            return Err(peer_error(&address, &"the certificate names no host"));
        };
        let link = PeerLink { host, connection };
        let mut links = self.lock();
        links.retain(|_, link| link.connection.close_reason().is_none());
        links.insert(address, link.clone());
        Ok(link)
    }

    /// Sends a datagram over an open connection; returns `false` if there is none.
    ///
    /// Datagrams to a blocked address are dropped, which also returns `true`.
    pub fn send(&self, address: &SocketAddr, bytes: Vec<u8>) -> bool {
        if self.is_blocked(address) {
            return true;
        }
        let Some(link) = self.find(address) else {
            return false;
        };
        // A datagram that cannot be sent now is lost; the protocols over datagrams tolerate that.
        let _ = link.connection.send_datagram(Bytes::from(bytes));
        true
    }

    /// Closes the connection to an address.
    pub fn close(&self, address: SocketAddr) {
        if let Some(link) = self.lock().remove(&address) {
            link.connection.close(VarInt::from_u32(0), b"closed");
        }
    }

    /// Closes all connections and the socket.
    pub async fn shut_down(&self) {
        self.endpoint.close(VarInt::from_u32(0), b"leaving");
        let _ = tokio::time::timeout(CONNECT_TIMEOUT, self.endpoint.wait_idle()).await;
    }

    /// Locks the map of connections.
    fn lock(&self) -> MutexGuard<'_, BTreeMap<SocketAddr, PeerLink>> {
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the error for a failed exchange with another host.
pub(crate) fn peer_error(host: &impl ToString, reason: &impl ToString) -> TransportError {
    TransportError::Peer {
        host: host.to_string(),
        reason: reason.to_string(),
    }
}
