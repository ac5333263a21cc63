//! Messages, requests and soft state exchanged with other entry hosts.

use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use arc_swap::{ArcSwap, ArcSwapOption};
use futures_util::future::BoxFuture;
use tokio::sync::mpsc;

use crate::config::Settings;
use crate::coordination::{
    ByteBudget, GossipItem, GossipQueue, LoadEntry, MemberEvent, MemberRecord, MemberStatus,
    MemberTable, PeerScope, PeerTarget,
};
use crate::protocol::{PeerMessage, PeerReply, PeerRequest, SoftState, decode_frame, encode_frame};
use crate::state::{DomainName, HostName};
use crate::transport::peer_links::{PeerLinks, peer_error};
use crate::transport::timer_service::TimerService;
use crate::transport::transport_error::TransportError;

/// Time limit for a request and its reply.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// Time for the announcement that a host leaves to go out before its connections are closed.
const LEAVE_TIME: Duration = Duration::from_millis(200);
/// Maximum size of a request, in bytes.
pub(crate) const MAX_REQUEST_BYTES: usize = 512 * 1_024;
/// Maximum size of a reply, in bytes.
pub(crate) const MAX_REPLY_BYTES: usize = 2 * 1_024 * 1_024;
/// Maximum size of an encoded piece of soft state, in bytes.
const MAX_SOFT_STATE_BYTES: usize = 900;
/// Capacity of the queue of membership events; further ones are dropped.
const EVENT_QUEUE_CAPACITY: usize = 1_024;
/// Estimate of the bytes that QUIC, UDP and IP add to a message.
const OVERHEAD_BYTES: usize = 70;

/// Answers requests of other hosts; `None` leaves the request to the next handler.
pub type RequestHandler =
    Arc<dyn Fn(&HostName, &PeerRequest) -> Option<BoxFuture<'static, PeerReply>> + Send + Sync>;
/// Receives load measurements of backend servers.
pub type LoadHandler = Arc<dyn Fn(Vec<LoadEntry>) + Send + Sync>;
/// Receives soft state of other hosts.
pub type SoftStateHandler = Arc<dyn Fn(&HostName, &SoftState) + Send + Sync>;

/// Byte and message counts since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PeerCounts {
    /// Bytes of control messages sent, including an estimate for the lower protocols.
    pub bytes_sent: u64,
    /// Bytes of requests and replies sent whose rate follows the callers' traffic, with the same
    /// estimate.
    pub traffic_bytes_sent: u64,
    /// Bytes received, with the same estimate.
    pub bytes_received: u64,
    /// Control messages, requests and replies sent.
    pub messages_sent: u64,
    /// Messages that were dropped because the byte budget was exhausted.
    pub dropped: u64,
    /// Messages, requests and soft state that this release could not decode.
    pub unreadable: u64,
}

/// This host's side of the mesh of entry hosts; clones share one state.
#[derive(Clone, Debug)]
pub struct PeerMesh {
    pub(crate) shared: Arc<MeshShared>,
}

/// State that the clones of a mesh share.
pub(crate) struct MeshShared {
    pub(crate) own: MemberRecord,
    pub(crate) links: PeerLinks,
    pub(crate) timers: TimerService,
    pub(crate) table: ArcSwap<MemberTable>,
    pub(crate) events: mpsc::Sender<MemberEvent>,
    pub(crate) gossip: Mutex<GossipQueue>,
    budget: Mutex<ByteBudget>,
    request_handlers: ArcSwap<Vec<RequestHandler>>,
    soft_handlers: ArcSwap<Vec<SoftStateHandler>>,
    load_handler: ArcSwapOption<LoadHandler>,
    serial: AtomicU64,
    bytes_sent: AtomicU64,
    traffic_bytes_sent: AtomicU64,
    bytes_received: AtomicU64,
    messages_sent: AtomicU64,
    dropped: AtomicU64,
    unreadable: AtomicU64,
}

impl fmt::Debug for MeshShared {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "MeshShared({})", self.own.name)
    }
}

impl PeerMesh {
    /// Opens the socket for peers; the receiver yields the events for the membership machine.
    ///
    /// # Errors
    ///
    /// Returns an error if the certificates cannot be used or the socket cannot be opened.
    pub fn open(
        settings: &Settings,
        timers: &TimerService,
    ) -> Result<(Self, mpsc::Receiver<MemberEvent>), TransportError> {
        let links = PeerLinks::open(&settings.peers, &settings.host.name)?;
        let own = MemberRecord {
            name: settings.host.name.clone(),
            domain: settings.host.domain.clone(),
            address: links.address(),
            incarnation: timers.unix_millis(),
            status: MemberStatus::Alive,
        };
        let (events, receiver) = mpsc::channel(EVENT_QUEUE_CAPACITY);
        let budget = ByteBudget::new(settings.peers.bytes_per_second, timers.now());
        let shared = MeshShared {
            table: ArcSwap::from_pointee(MemberTable {
                own: own.name.clone(),
                domain: own.domain.clone(),
                members: [(own.name.clone(), own.clone())].into(),
                ..Default::default()
            }),
            // The incarnation is the start time, so that each run has its own range of serials.
            serial: AtomicU64::new(own.incarnation << 20),
            own,
            links,
            timers: timers.clone(),
            events,
            gossip: Mutex::default(),
            budget: Mutex::new(budget),
            request_handlers: ArcSwap::default(),
            soft_handlers: ArcSwap::default(),
            load_handler: ArcSwapOption::empty(),
            bytes_sent: AtomicU64::new(0),
            traffic_bytes_sent: AtomicU64::new(0),
            bytes_received: AtomicU64::new(0),
            messages_sent: AtomicU64::new(0),
            dropped: AtomicU64::new(0),
            unreadable: AtomicU64::new(0),
        };
        let shared = Arc::new(shared);
        Ok((Self { shared }, receiver))
    }

    /// Returns the name of this host.
    pub fn own(&self) -> &HostName {
        &self.shared.own.name
    }

    /// Returns the failure domain of this host.
    pub fn domain(&self) -> &DomainName {
        &self.shared.own.domain
    }

    /// Returns the address that other hosts connect to.
    pub fn address(&self) -> SocketAddr {
        self.shared.links.address()
    }

    /// Returns the current member table.
    pub fn members(&self) -> Arc<MemberTable> {
        self.shared.table.load_full()
    }

    /// Returns the byte and message counts so far.
    pub fn counts(&self) -> PeerCounts {
        let load = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        PeerCounts {
            bytes_sent: load(&self.shared.bytes_sent),
            traffic_bytes_sent: load(&self.shared.traffic_bytes_sent),
            bytes_received: load(&self.shared.bytes_received),
            messages_sent: load(&self.shared.messages_sent),
            dropped: load(&self.shared.dropped),
            unreadable: load(&self.shared.unreadable),
        }
    }

    /// Blocks all traffic with these addresses and allows it with all others.
    pub fn block(&self, addresses: BTreeSet<SocketAddr>) {
        self.shared.links.block(addresses);
    }

    /// Announces to other hosts that this one leaves; it keeps answering their requests.
    pub fn announce_leaving(&self) {
        let _ = self.shared.events.try_send(MemberEvent::Leave);
    }

    /// Announces to other hosts that this one leaves, and closes all connections.
    pub async fn leave(&self) {
        self.announce_leaving();
        self.shared.timers.sleep(LEAVE_TIME).await;
        self.shared.links.shut_down().await;
    }

    /// Adds a request handler; the first handler that returns a reply answers the request.
    pub fn on_request(&self, handler: &RequestHandler) {
        self.shared.request_handlers.rcu(|handlers| {
            let mut handlers = Vec::clone(handlers);
            handlers.push(handler.clone());
            handlers
        });
    }

    /// Adds a soft-state handler; every handler receives every piece once.
    pub fn on_soft_state(&self, handler: &SoftStateHandler) {
        self.shared.soft_handlers.rcu(|handlers| {
            let mut handlers = Vec::clone(handlers);
            handlers.push(handler.clone());
            handlers
        });
    }

    /// Sets the handler of load measurements.
    pub fn on_loads(&self, handler: LoadHandler) {
        self.shared.load_handler.store(Some(Arc::new(handler)));
    }

    /// Sends load measurements to a member of the own failure domain; they may be lost.
    pub fn send_loads(&self, host: &HostName, entries: Vec<LoadEntry>) {
        if let Some(record) = self.members().members.get(host) {
            let target = PeerTarget {
                name: Some(host.clone()),
                address: record.address,
            };
            self.send(&target, &PeerMessage::Loads(entries));
        }
    }

    /// Passes load measurements to their handler.
    pub(crate) fn deliver_loads(&self, entries: Vec<LoadEntry>) {
        if let Some(handler) = self.shared.load_handler.load_full() {
            handler(entries);
        }
    }

    /// Queues a piece of soft state to be spread by gossip; it may be lost.
    ///
    /// # Errors
    ///
    /// Returns an error if the encoded piece is larger than 900 bytes.
    pub fn broadcast(&self, scope: PeerScope, state: &SoftState) -> Result<(), TransportError> {
        let payload = encode_frame(state)?;
        if payload.len() > MAX_SOFT_STATE_BYTES {
            let reason = format!(
                "soft state of {} bytes does not fit into a message",
                payload.len()
            );
            return Err(peer_error(&"any", &reason));
        }
        let item = GossipItem {
            origin: self.own().clone(),
            domain: self.domain().clone(),
            serial: self.shared.serial.fetch_add(1, Ordering::Relaxed),
            scope,
            payload,
        };
        let hosts = self.members().live().count();
        lock(&self.shared.gossip).insert(item, hosts);
        Ok(())
    }

    /// Sends a request to another host and returns its reply.
    ///
    /// # Errors
    ///
    /// Returns an error if the host is unknown, cannot be reached or does not reply in time.
    pub async fn request(
        &self,
        host: &HostName,
        request: PeerRequest,
    ) -> Result<PeerReply, TransportError> {
        let members = self.members();
        let record = members.find(host);
        let record =
            record.ok_or_else(|| peer_error(host, &"the host is not in the member table"))?;
        let address = record.address;
        let exchange = self.exchange(host, address, &request);
        match tokio::time::timeout(REQUEST_TIMEOUT, exchange).await {
            Ok(result) => result,
            Err(_) => {
                // The connection may be stale, so the next request opens a new one.
                self.shared.links.close(address);
                let address = address.to_string();
                let timeout = REQUEST_TIMEOUT;
                Err(TransportError::Timeout { address, timeout })
            }
        }
    }

    /// Sends a request and reads the reply, without a time limit.
    async fn exchange(
        &self,
        host: &HostName,
        address: SocketAddr,
        request: &PeerRequest,
    ) -> Result<PeerReply, TransportError> {
        let bytes = encode_frame(request)?;
        if bytes.len() > MAX_REQUEST_BYTES {
            return Err(peer_error(host, &"the request is too large"));
        }
        if self.shared.links.is_blocked(&address) {
            return Err(peer_error(host, &"the address is blocked"));
        }
        self.throttle(request, bytes.len()).await;
        let link = match self.shared.links.find(&address) {
            Some(link) if link.host == *host => link,
            _ => self.connect(address, Some(host)).await?,
        };
        let stream = link.connection.open_bi().await;
        let (mut sender, mut receiver) = stream.map_err(|error| peer_error(host, &error))?;
        let written = sender.write_all(&bytes).await;
        written.map_err(|error| peer_error(host, &error))?;
        sender.finish().map_err(|error| peer_error(host, &error))?;
        let reply = receiver.read_to_end(MAX_REPLY_BYTES).await;
        let reply = reply.map_err(|error| peer_error(host, &error))?;
        self.count_received(reply.len());
        Ok(decode_frame(&reply)?.unwrap_or(PeerReply::Unsupported))
    }

    /// Sends a datagram, which may be lost; opens a connection if there is none.
    pub(crate) fn send(&self, target: &PeerTarget, message: &PeerMessage) {
        let Ok(bytes) = encode_frame(message) else {
            return;
        };
        let is_soft_state = !matches!(message, PeerMessage::Member(_));
        let now = self.shared.timers.now();
        let size = bytes.len() + OVERHEAD_BYTES;
        if !lock(&self.shared.budget).take(size, is_soft_state, now) {
            self.shared.dropped.fetch_add(1, Ordering::Relaxed);
            return;
        }
        self.count_sent(size);
        if self.shared.links.send(&target.address, bytes.clone()) {
            return;
        }
        let mesh = self.clone();
        let target = target.clone();
        tokio::spawn(async move {
            if mesh
                .connect(target.address, target.name.as_ref())
                .await
                .is_ok()
            {
                mesh.shared.links.send(&target.address, bytes);
            }
        });
    }

    /// Counts a request or reply; one of control waits until the byte budget allows it.
    pub(crate) async fn throttle(&self, request: &PeerRequest, bytes: usize) {
        let size = bytes + OVERHEAD_BYTES;
        if request.scales_with_traffic() {
            let size = u64::try_from(size).unwrap_or(u64::MAX);
            let sent = &self.shared.traffic_bytes_sent;
            sent.fetch_add(size, Ordering::Relaxed);
            return;
        }
        loop {
            let now = self.shared.timers.now();
            let taken = lock(&self.shared.budget).overdraw(size, now);
            let Err(wait) = taken else {
                break;
            };
            self.shared.timers.sleep(wait).await;
        }
        self.count_sent(size);
    }

    /// Counts a control message that is sent; `bytes` includes the overhead.
    fn count_sent(&self, bytes: usize) {
        let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
        self.shared.bytes_sent.fetch_add(bytes, Ordering::Relaxed);
        self.shared.messages_sent.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a received message, request or reply; the overhead is added here.
    pub(crate) fn count_received(&self, bytes: usize) {
        let bytes = u64::try_from(bytes + OVERHEAD_BYTES).unwrap_or(u64::MAX);
        let received = &self.shared.bytes_received;
        received.fetch_add(bytes, Ordering::Relaxed);
    }

    /// Counts a message that could not be decoded.
    pub(crate) fn count_unreadable(&self) {
        self.shared.unreadable.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the request handlers in the order in which they were added.
    pub(crate) fn request_handlers(&self) -> Arc<Vec<RequestHandler>> {
        self.shared.request_handlers.load_full()
    }

    /// Decodes a piece of soft state and passes it to all handlers.
    pub(crate) fn deliver(&self, item: &GossipItem) {
        match decode_frame::<SoftState>(&item.payload) {
            Ok(Some(state)) => {
                for handler in self.shared.soft_handlers.load().iter() {
                    handler(&item.origin, &state);
                }
            }
            _ => self.count_unreadable(),
        }
    }
}

/// Locks a mutex and ignores poisoning.
///
/// Only for values that no panic can leave half-changed.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
