//! What the parts of an entry host share.

use std::collections::BTreeMap;
use std::hash::Hasher;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwapOption;
use galenamast::state::TimePoint;
use galenamast::transport::TimerService;
use siphasher::sip::SipHasher13;
use tokio::sync::{Notify, mpsc, watch};

use crate::coordination::budgets::{RetryBudget, RetryPurpose};
use crate::coordination::placement::{LoadEstimator, PrefixCacheIndex, ServerTable};
use crate::coordination::requests::CrashTracker;
use crate::coordination::rollouts::RolloutTracker;
use crate::protocol::{PeerMessage, PlatformFormat};
use crate::state::{ConfigSnapshot, HostPresence};
use crate::transport::connection_pool::ConnectionPool;
use crate::transport::gateway_metrics::GatewayMetrics;
use crate::transport::gateway_settings::GatewaySettings;
use crate::transport::store_client::StoreClient;

/// What the parts of an entry host share.
#[derive(Debug)]
pub struct GatewayContext {
    /// Settings of the process.
    pub settings: GatewaySettings,
    /// Formats of the platform.
    pub format: PlatformFormat,
    /// The source of time.
    pub timers: TimerService,
    /// Client of the store.
    pub store: StoreClient,
    /// Connections to backend servers.
    pub pool: ConnectionPool,
    /// The configuration in force.
    pub image: ArcSwapOption<ConfigSnapshot>,
    /// Counters and latencies.
    pub metrics: GatewayMetrics,
    /// What all other hosts have to be told.
    peer_outbox: (
        mpsc::UnboundedSender<PeerMessage>,
        Mutex<Option<mpsc::UnboundedReceiver<PeerMessage>>>,
    ),
    /// Counts how often a part heard the store again after it had not.
    pub store_recoveries: watch::Sender<u64>,
    /// Whether the part that finds the store again hears it.
    pub store_reachable: AtomicBool,
    /// Is told when a roll-out may need a report.
    pub rollout_changed: Notify,
    /// Tells that a server of an unknown version appeared.
    pub unknown_version_seen: Arc<Notify>,
    /// When the store last confirmed the configuration.
    pub confirmed_at: Mutex<Option<TimePoint>>,
    /// Allows one read of the configuration at a time outside the watch.
    pub refresh_lock: tokio::sync::Mutex<()>,
    /// Requests in flight.
    pub in_flight: AtomicUsize,
    /// Bodies of requests that are held, in bytes.
    pub buffered_body_bytes: AtomicUsize,
    /// Whether the process stops.
    pub stopping: AtomicBool,
    servers: Mutex<ServerTable>,
    loads: Mutex<LoadEstimator>,
    prompt_cache: Mutex<PrefixCacheIndex>,
    budgets: Mutex<BTreeMap<Arc<str>, RetryBudget>>,
    rollouts: Mutex<RolloutTracker>,
    crashes: Mutex<CrashTracker>,
    peers: Mutex<BTreeMap<Arc<str>, HostPresence>>,
}

impl GatewayContext {
    /// Creates what the parts of a host share.
    pub fn new(settings: GatewaySettings, format: PlatformFormat) -> Arc<Self> {
        let (outbox_sender, outbox_receiver) = mpsc::unbounded_channel();
        Arc::new(Self {
            peer_outbox: (outbox_sender, Mutex::new(Some(outbox_receiver))),
            format,
            timers: TimerService::system(),
            store: StoreClient::new(settings.store_address, settings.connect_timeout),
            pool: ConnectionPool::default(),
            image: ArcSwapOption::empty(),
            metrics: GatewayMetrics::default(),
            store_recoveries: watch::Sender::new(0),
            store_reachable: AtomicBool::new(true),
            rollout_changed: Notify::new(),
            unknown_version_seen: Arc::default(),
            confirmed_at: Mutex::new(None),
            refresh_lock: tokio::sync::Mutex::new(()),
            in_flight: AtomicUsize::new(0),
            buffered_body_bytes: AtomicUsize::new(0),
            stopping: AtomicBool::new(false),
            servers: Mutex::new(ServerTable::default()),
            loads: Mutex::new(LoadEstimator::new(settings.loads)),
            prompt_cache: Mutex::new(PrefixCacheIndex::new(settings.prompt_cache)),
            budgets: Mutex::new(BTreeMap::new()),
            rollouts: Mutex::new(RolloutTracker::new(settings.rollouts)),
            crashes: Mutex::new(CrashTracker::new(settings.crashes)),
            peers: Mutex::new(BTreeMap::new()),
            settings,
        })
    }

    /// Returns the present time.
    pub fn now(&self) -> TimePoint {
        self.timers.now()
    }

    /// Locks the table of servers.
    pub fn servers(&self) -> MutexGuard<'_, ServerTable> {
        lock(&self.servers)
    }

    /// Locks the beliefs about servers.
    pub fn loads(&self) -> MutexGuard<'_, LoadEstimator> {
        lock(&self.loads)
    }

    /// Locks the beliefs about kept parts of prompts.
    pub fn prompt_cache(&self) -> MutexGuard<'_, PrefixCacheIndex> {
        lock(&self.prompt_cache)
    }

    /// Locks the roll-outs.
    pub fn rollouts(&self) -> MutexGuard<'_, RolloutTracker> {
        lock(&self.rollouts)
    }

    /// Locks the crashes.
    pub fn crashes(&self) -> MutexGuard<'_, CrashTracker> {
        lock(&self.crashes)
    }

    /// Locks the other hosts by name.
    pub fn peers(&self) -> MutexGuard<'_, BTreeMap<Arc<str>, HostPresence>> {
        lock(&self.peers)
    }

    /// Has all other hosts told something.
    pub fn send_to_peers(&self, message: PeerMessage) {
        // Nobody listens while the host stops, when others take over.
        let _ = self.peer_outbox.0.send(message);
    }

    /// Takes the receiving end of what other hosts have to be told, once.
    pub(crate) fn take_peer_outbox(&self) -> Option<mpsc::UnboundedReceiver<PeerMessage>> {
        lock(&self.peer_outbox.1).take()
    }

    /// Counts a request for a service.
    pub fn record_request(&self, service: &Arc<str>) {
        let now = self.now();
        self.with_budget(service, |budget| budget.record_request(now));
    }

    /// Takes a repeat from a service's budget, if it allows one.
    pub fn take_retry(&self, service: &Arc<str>, purpose: RetryPurpose) -> bool {
        let now = self.now();
        self.with_budget(service, |budget| budget.take_retry(purpose, now))
    }

    /// Notes that the store confirmed the configuration just now.
    pub fn note_configuration_confirmed(&self) {
        *lock(&self.confirmed_at) = Some(self.now());
    }

    /// Returns the time since the store confirmed the configuration.
    pub fn configuration_age(&self) -> Option<Duration> {
        let now = self.now();
        lock(&self.confirmed_at).map(|at| now.since(at))
    }

    /// Returns whether the host takes new connections.
    pub fn is_ready(&self) -> bool {
        let has_image = self.image.load().is_some();
        has_image && !self.stopping.load(Ordering::SeqCst) && !self.servers().is_empty()
    }

    /// Does something with a service's budget.
    fn with_budget<T>(&self, service: &Arc<str>, act: impl FnOnce(&mut RetryBudget) -> T) -> T {
        let mut budgets = lock(&self.budgets);
        let settings = self.settings.budget;
        act(budgets
            .entry(service.clone())
            .or_insert_with(|| RetryBudget::new(settings)))
    }
}

/// Locks a value; one whose holder panicked is used as it is.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns a hash of some text, the same on all hosts.
pub(crate) fn stable_hash(texts: &[&[u8]]) -> u64 {
    let mut hasher = SipHasher13::new();
    for text in texts {
        hasher.write_usize(text.len());
        hasher.write(text);
    }
    hasher.finish()
}
