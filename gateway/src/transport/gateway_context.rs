//! Shared state of an entry host.

use std::collections::{BTreeMap, VecDeque};
use std::hash::Hasher;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwapOption;
use galenamast::state::TimePoint;
use galenamast::transport::TimerService;
use siphasher::sip::SipHasher13;
use tokio::sync::{Notify, mpsc, watch};
use tokio_util::sync::CancellationToken;

use crate::coordination::budgets::{RetryBudget, RetryPurpose};
use crate::coordination::crashes::CrashQuarantine;
use crate::coordination::evacuations::{DomainEvacuations, EvacuationSettings};
use crate::coordination::freshness::{FreshnessSettings, StoreFreshness};
use crate::coordination::liveness::ServerLiveness;
use crate::coordination::memory::MemoryBudget;
use crate::coordination::permits::ServerPermits;
use crate::coordination::placement::{LoadEstimator, PrefixCacheIndex, ServerTable};
use crate::coordination::reach::{PeerReach, ServiceReach};
use crate::coordination::rollouts::RolloutTracker;
use crate::coordination::shutdown::StopSchedule;
use crate::protocol::{PeerMessage, PlatformFormat};
use crate::state::{CallerLimits, ConfigSnapshot, FollowedKind, HostPresence, ServerEntry};
use crate::transport::connection_pool::ConnectionPool;
use crate::transport::exchange_slot::ExchangeShares;
use crate::transport::gateway_metrics::GatewayMetrics;
use crate::transport::gateway_settings::GatewaySettings;
use crate::transport::host_memory::HostMemory;
use crate::transport::kind_reads::KindReads;
use crate::transport::object_defects::ObjectDefects;
use crate::transport::open_connections::OpenConnections;
use crate::transport::store_client::StoreClient;

/// Number of configurations before the current one that are kept.
const MAX_EARLIER_SNAPSHOTS: usize = 4;

/// Shared state of an entry host's tasks.
#[derive(Debug)]
pub struct GatewayContext {
    /// Settings of the process.
    pub settings: GatewaySettings,
    /// Functions that decode and encode the platform's formats.
    pub format: PlatformFormat,
    /// Clock and timers.
    pub timers: TimerService,
    /// Client of the store.
    pub store: StoreClient,
    /// Idle connections to backend servers.
    pub pool: ConnectionPool,
    /// Configuration in force; empty until the store was read for the first time.
    pub snapshot: ArcSwapOption<ConfigSnapshot>,
    // Configurations before it, the latest last.
    earlier_snapshots: Mutex<VecDeque<Arc<ConfigSnapshot>>>,
    /// Counters and latency histograms.
    pub metrics: GatewayMetrics,
    /// Queue of messages for all other hosts; the receiver is taken once by the sending task.
    peer_outbox: (
        mpsc::UnboundedSender<PeerMessage>,
        Mutex<Option<mpsc::UnboundedReceiver<PeerMessage>>>,
    ),
    /// Counts how often a part of the host reached the store again after a failure.
    pub store_recoveries: watch::Sender<u64>,
    /// Whether the leading store follower reached the store with its last call.
    pub store_reachable: AtomicBool,
    /// Counts how often prompt parts were refused from then on.
    pub(crate) parts_refused: watch::Sender<u64>,
    /// Notified when the host may have lost its path to the servers of a service.
    pub(crate) reach_suspected: Notify,
    /// Counts how often the paths to services were probed.
    pub(crate) paths_probed: watch::Sender<u64>,
    /// Notified when a roll-out may need a report.
    pub rollout_changed: Notify,
    /// Requests to the followers to read what changed.
    pub(crate) kind_reads: KindReads,
    /// Notified when a kind of objects was listed.
    pub(crate) kind_listed: Notify,
    /// Notified when another host reported to know later changes of the store.
    pub(crate) peer_ahead: Notify,
    /// When the last read of the configuration outside the watch failed; `None` if it succeeded.
    /// Locked during such a read, so that there is one at a time.
    pub(crate) refresh_failed_at: tokio::sync::Mutex<Option<TimePoint>>,
    /// Number of requests whose response has not started.
    pub in_flight: AtomicUsize,
    /// Memory that callers make the host hold.
    pub memory: Arc<HostMemory>,
    /// Open connections of callers and to servers.
    pub connections: OpenConnections,
    /// Memory of requests in progress by route and workspace.
    pub(crate) exchanges: ExchangeShares,
    /// The course of the stop, once the process is stopping.
    pub stop: OnceLock<StopSchedule>,
    /// Cancelled when a stopping host gives its last answers.
    pub(crate) last_answers: CancellationToken,
    /// Whether the grace period of a stop is over, so that what is in progress is abandoned.
    pub(crate) grace_over: AtomicBool,
    servers: Mutex<ServerTable>,
    permits: Mutex<ServerPermits>,
    loads: Mutex<LoadEstimator>,
    prefix_cache: Mutex<PrefixCacheIndex>,
    budgets: Mutex<BTreeMap<Arc<str>, RetryBudget>>,
    rollouts: Mutex<RolloutTracker>,
    freshness: Mutex<StoreFreshness>,
    crashes: Mutex<CrashQuarantine>,
    reach: Mutex<ServiceReach>,
    peer_reach: Mutex<PeerReach>,
    peers: Mutex<BTreeMap<Arc<str>, HostPresence>>,
    defects: Mutex<ObjectDefects>,
    evacuations: Mutex<DomainEvacuations>,
    /// Notified when a report of an evacuation is planned or an evacuation may end by itself.
    pub(crate) evacuations_due: Notify,
    /// Notified when a server has become cold.
    pub(crate) cold_learned: Notify,
    liveness: Mutex<ServerLiveness>,
    /// Counts changes of what is known of servers at which requests wait.
    pub(crate) liveness_changed: watch::Sender<u64>,
}

impl GatewayContext {
    /// Creates the state of a host that has not read anything from the store yet.
    pub fn new(settings: GatewaySettings, format: PlatformFormat) -> Arc<Self> {
        let (outbox_sender, outbox_receiver) = mpsc::unbounded_channel();
        Arc::new(Self {
            peer_outbox: (outbox_sender, Mutex::new(Some(outbox_receiver))),
            format,
            timers: TimerService::system(),
            store: StoreClient::new(
                settings.store_address,
                settings.connect_timeout,
                format.read_era,
            ),
            pool: ConnectionPool::default(),
            snapshot: ArcSwapOption::empty(),
            earlier_snapshots: Mutex::default(),
            metrics: GatewayMetrics::default(),
            store_recoveries: watch::Sender::new(0),
            store_reachable: AtomicBool::new(true),
            rollout_changed: Notify::new(),
            kind_reads: KindReads::new(&settings.followed_kinds()),
            kind_listed: Notify::new(),
            peer_ahead: Notify::new(),
            freshness: Mutex::new(StoreFreshness::new(FreshnessSettings {
                kinds: settings.followed_kinds(),
                ..FreshnessSettings::new(settings.knowledge_bound(), host_rank(&settings.host))
            })),
            refresh_failed_at: tokio::sync::Mutex::new(None),
            in_flight: AtomicUsize::new(0),
            memory: Arc::new(HostMemory::new(MemoryBudget::new(
                settings.process_memory_bytes,
                settings.max_buffered_bytes,
            ))),
            connections: OpenConnections::default(),
            exchanges: ExchangeShares::default(),
            stop: OnceLock::new(),
            last_answers: CancellationToken::new(),
            grace_over: AtomicBool::new(false),
            servers: Mutex::new(ServerTable::default()),
            permits: Mutex::new(
                ServerPermits::new(settings.host.clone(), settings.limits).with_cold(settings.cold),
            ),
            loads: Mutex::new(LoadEstimator::new(settings.loads)),
            prefix_cache: Mutex::new(PrefixCacheIndex::new(settings.prefix_cache)),
            budgets: Mutex::new(BTreeMap::new()),
            rollouts: Mutex::new(RolloutTracker::new(settings.rollouts)),
            crashes: Mutex::new(CrashQuarantine::new(
                settings.host.clone(),
                settings.crashes,
            )),
            reach: Mutex::new(ServiceReach::new(settings.reach)),
            peer_reach: Mutex::new(PeerReach::new(settings.peers)),
            reach_suspected: Notify::new(),
            paths_probed: watch::Sender::new(0),
            parts_refused: watch::Sender::new(0),
            defects: Mutex::default(),
            peers: Mutex::new(BTreeMap::new()),
            evacuations: Mutex::new(DomainEvacuations::new(EvacuationSettings::default())),
            evacuations_due: Notify::new(),
            cold_learned: Notify::new(),
            liveness: Mutex::new(ServerLiveness::new(settings.liveness)),
            liveness_changed: watch::Sender::new(0),
            settings,
        })
    }

    /// Returns the current time.
    pub fn now(&self) -> TimePoint {
        self.timers.now()
    }

    /// Puts a configuration into force, and keeps the one before for requests that were admitted under it.
    pub(crate) fn put_into_force(&self, snapshot: ConfigSnapshot) {
        let earlier = self.snapshot.swap(Some(Arc::new(snapshot)));
        let mut kept = lock(&self.earlier_snapshots);
        kept.extend(earlier);
        while kept.len() > MAX_EARLIER_SNAPSHOTS {
            kept.pop_front();
        }
    }

    /// Returns the configuration of a version that was in force before the current one, if it is kept.
    pub(crate) fn earlier_snapshot(&self, version: u64) -> Option<Arc<ConfigSnapshot>> {
        let kept = lock(&self.earlier_snapshots);
        kept.iter()
            .find(|snapshot| snapshot.version == version)
            .cloned()
    }

    /// Returns the limits on callers of the configuration in force, or the defaults before the first one.
    pub(crate) fn caller_limits(&self) -> CallerLimits {
        let snapshot = self.snapshot.load();
        snapshot
            .as_ref()
            .map(|snapshot| snapshot.limits)
            .unwrap_or_default()
    }

    /// Locks the table of servers.
    pub fn servers(&self) -> MutexGuard<'_, ServerTable> {
        lock(&self.servers)
    }

    /// Locks what servers ask of the hosts.
    pub fn permits(&self) -> MutexGuard<'_, ServerPermits> {
        lock(&self.permits)
    }

    /// Locks the load estimates of servers.
    pub fn loads(&self) -> MutexGuard<'_, LoadEstimator> {
        lock(&self.loads)
    }

    /// Locks the index of prompt prefixes that engines have cached.
    pub fn prefix_cache(&self) -> MutexGuard<'_, PrefixCacheIndex> {
        lock(&self.prefix_cache)
    }

    /// Locks the state of roll-outs.
    pub fn rollouts(&self) -> MutexGuard<'_, RolloutTracker> {
        lock(&self.rollouts)
    }

    /// Locks the state of what is known of the store, and since when.
    pub fn freshness(&self) -> MutexGuard<'_, StoreFreshness> {
        lock(&self.freshness)
    }

    /// Locks the quarantine of requests that crash servers.
    pub fn crashes(&self) -> MutexGuard<'_, CrashQuarantine> {
        lock(&self.crashes)
    }

    /// Locks the services of which this host reaches no server.
    pub fn reach(&self) -> MutexGuard<'_, ServiceReach> {
        lock(&self.reach)
    }

    /// Locks the hosts that accept connections of this one.
    pub fn peer_reach(&self) -> MutexGuard<'_, PeerReach> {
        lock(&self.peer_reach)
    }

    /// Locks what is known of servers at which requests wait.
    pub fn liveness(&self) -> MutexGuard<'_, ServerLiveness> {
        lock(&self.liveness)
    }

    /// Locks the known hosts, by name; they include this one once its entry was read.
    pub fn peers(&self) -> MutexGuard<'_, BTreeMap<Arc<str>, HostPresence>> {
        lock(&self.peers)
    }

    /// Locks the objects of the store that were reported as unreadable.
    pub(crate) fn defects(&self) -> MutexGuard<'_, ObjectDefects> {
        lock(&self.defects)
    }

    /// Locks the failure domains that are evacuated.
    pub fn evacuations(&self) -> MutexGuard<'_, DomainEvacuations> {
        lock(&self.evacuations)
    }

    /// Returns whether the failure domain of a server is evacuated.
    pub(crate) fn is_evacuated(&self, server: &ServerEntry) -> bool {
        let now = self.now();
        self.evacuations().is_evacuated(&server.domain, now)
    }

    /// Returns whether the host knows which failure domains are evacuated, or follows no evacuations.
    pub(crate) fn knows_evacuations(&self) -> bool {
        let now = self.now();
        self.settings.evacuation_bound.is_none()
            || self
                .freshness()
                .age(FollowedKind::Evacuations, now)
                .is_some()
    }

    /// Tells the parts of the host that divide work among all hosts which hosts are listed.
    pub(crate) fn share_hosts(&self) {
        let listed: Vec<HostPresence> = self.peers().values().cloned().collect();
        let names = listed
            .iter()
            .map(|presence| presence.host.clone())
            .collect();
        self.crashes().set_hosts(names);
        self.permits().set_hosts(listed);
    }

    /// Queues a message to all other hosts.
    pub fn send_to_peers(&self, message: PeerMessage) {
        // The receiver is gone only while the host stops; other hosts take over then.
        let _ = self.peer_outbox.0.send(message);
    }

    /// Takes the receiver of messages for other hosts; `None` if it was taken before.
    pub(crate) fn take_peer_outbox(&self) -> Option<mpsc::UnboundedReceiver<PeerMessage>> {
        lock(&self.peer_outbox.1).take()
    }

    /// Counts a request for a service, which earns retry budget.
    pub fn record_request(&self, service: &Arc<str>) {
        let now = self.now();
        self.with_budget(service, |budget| budget.record_request(now));
    }

    /// Takes one retry from a service's budget; returns false if the budget does not allow it.
    pub fn take_retry(&self, service: &Arc<str>, purpose: RetryPurpose) -> bool {
        let now = self.now();
        let hosts = self.peers().len();
        self.with_budget(service, |budget| budget.take_retry(purpose, hosts, now))
    }

    /// Returns the time since the configuration was last confirmed to be the store's; `None` if it
    /// never was.
    pub fn configuration_age(&self) -> Option<Duration> {
        let now = self.now();
        self.freshness().age(FollowedKind::Configuration, now)
    }

    /// Returns whether the host is ready for new connections: it has a configuration, knows servers,
    /// has confirmed that both are the store's, and is not stopping.
    pub fn is_ready(&self) -> bool {
        let is_confirmed = self.freshness().oldest_age(self.now()).is_some();
        let has_snapshot = self.snapshot.load().is_some();
        is_confirmed && has_snapshot && !self.is_stopping() && !self.servers().is_empty()
    }

    /// Returns whether the process is stopping.
    pub fn is_stopping(&self) -> bool {
        self.stop.get().is_some()
    }

    /// Returns who closes the connection of a request that is abandoned now, as logged.
    pub(crate) fn abandon_cause(&self) -> &'static str {
        match self.grace_over.load(Ordering::Relaxed) {
            true => "stop",
            false => "caller",
        }
    }

    /// Runs `act` on a service's retry budget, which is created on first use.
    fn with_budget<T>(&self, service: &Arc<str>, act: impl FnOnce(&mut RetryBudget) -> T) -> T {
        let mut budgets = lock(&self.budgets);
        let settings = self.settings.budget;
        act(budgets
            .entry(service.clone())
            .or_insert_with(|| RetryBudget::new(settings)))
    }
}

/// Returns the rank of a host among the hosts of its failure domain, from 0 to 1.
fn host_rank(host: &str) -> f64 {
    stable_hash(&[host.as_bytes()]) as f64 / u64::MAX as f64
}

/// Locks a mutex; a value whose holder panicked is used as it is.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns a hash of a list of byte strings that is the same on all hosts.
pub(crate) fn stable_hash(texts: &[&[u8]]) -> u64 {
    let mut hasher = SipHasher13::new();
    for text in texts {
        hasher.write_usize(text.len());
        hasher.write(text);
    }
    hasher.finish()
}
