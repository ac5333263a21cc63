//! Shared state of a running entry host.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock};

use arc_swap::{ArcSwap, ArcSwapOption};
use sha2::{Digest, Sha256};
use tokio::sync::{Semaphore, mpsc};

use crate::config::Settings;
use crate::coordination::{
    AdmissionControl, BrakeNotice, CallPriority, ClaimRetention, CrashQuarantine, DirectoryEvent,
    LeaseSettings, ShareAllocator, UsageOrigin,
};
use crate::state::{ConfigImage, QualityOrigin, RouteTables, VersionKey};
use crate::transport::backend_client::BackendClient;
use crate::transport::claim_request::ClaimSettings;
use crate::transport::claim_runner::ClaimRunner;
use crate::transport::config_runner::ConfigRunner;
use crate::transport::http_client::HttpClient;
use crate::transport::lease_runner::LeaseRunner;
use crate::transport::object_calls::ObjectCalls;
use crate::transport::object_client::{CallLimits, ObjectClient};
use crate::transport::peer_mesh::PeerMesh;
use crate::transport::quality_monitor::QualityEvent;
use crate::transport::request_queue::RequestQueue;
use crate::transport::request_registry::RequestRegistry;
use crate::transport::timer_service::TimerService;
use crate::transport::usage_ledger::{CopyCall, LedgerSettings, UsageLedger};

/// Events that wait for the quality monitor; further ones are dropped.
const QUALITY_EVENT_CAPACITY: usize = 4_096;
/// Maximum number of ratings of delivered answers that are in progress at once.
const MAX_CONCURRENT_RATINGS: usize = 64;
/// Domain separator for deriving the fingerprint key from a session key.
const FINGERPRINT_KEY_CONTEXT: &[u8] = b"galenamast crash fingerprint 1";

/// Returns the number of rated answers of a version, counted from any fixed point in time.
pub type RatingCountFn = Arc<dyn Fn(&VersionKey) -> u64 + Send + Sync>;

/// Shared state of a running entry host.
pub struct HostContext {
    /// Settings that the host started with; see [`Self::current_settings`] for the reloaded ones.
    pub settings: Settings,
    /// TLS for callers; empty if the settings name no certificate.
    pub caller_tls: ArcSwapOption<rustls::ServerConfig>,
    current_settings: ArcSwap<Settings>,
    /// Source of time.
    pub timers: TimerService,
    /// Current configuration; generation 0 until the first one is adopted.
    pub image: ArcSwap<ConfigImage>,
    /// Input tables of routing decisions.
    pub tables: ArcSwap<RouteTables>,
    /// Client of the backend servers.
    pub backends: BackendClient,
    /// Client of the object API; `None` if the settings name none.
    pub objects: Option<ObjectClient>,
    /// Mesh of entry hosts; empty until the host has started.
    pub peers: OnceLock<PeerMesh>,
    /// Distribution of the configuration; empty until the host has started.
    pub config: OnceLock<ConfigRunner>,
    /// Leases of the host; `None` without an object API.
    pub leases: Option<LeaseRunner>,
    /// Claims of non-idempotent requests; `None` without an object API.
    pub claims: Option<ClaimRunner>,
    /// Ledger of usage records; `None` without an object API.
    pub ledger: Option<UsageLedger>,
    /// Counts the rated answers of a version for roll-outs; empty until the quality monitor runs.
    pub rated_answers: ArcSwapOption<RatingCountFn>,
    /// Copies a usage record to another entry host of the failure domain; empty if there is none.
    pub usage_copy: Arc<ArcSwapOption<CopyCall>>,
    /// HTTP client for load reports, engine orders, ratings and the host list.
    pub client: HttpClient,
    /// Whether an operator drains the host, so that it reports itself as not ready.
    pub draining: AtomicBool,
    /// Limits of the workspaces and what they use of them.
    pub admission: Mutex<AdmissionControl>,
    /// Requests that wait for a free server.
    pub queue: RequestQueue,
    /// Requests and attempts in flight.
    pub request_registry: RequestRegistry,
    /// Quarantine of requests during which servers crashed.
    pub quarantine: Mutex<CrashQuarantine>,
    /// Whether the host has begun to shut down.
    pub shutting_down: AtomicBool,
    /// Channel to the quality monitor.
    pub quality_events: mpsc::Sender<QualityEvent>,
    /// Active brakes with their origin and evidence.
    pub brake_notes: ArcSwap<Vec<BrakeNotice>>,
    /// Permits for ratings of delivered answers.
    pub rating_permits: Arc<Semaphore>,
    quality_receiver: Mutex<Option<mpsc::Receiver<QualityEvent>>>,
    server_events: mpsc::UnboundedSender<DirectoryEvent>,
    server_receiver: Mutex<Option<mpsc::UnboundedReceiver<DirectoryEvent>>>,
    fallback_key: [u8; 16],
    seed_counter: AtomicU64,
    /// Load polls sent since the start.
    pub load_polls: AtomicU64,
}

impl std::fmt::Debug for HostContext {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("HostContext(..)")
    }
}

impl HostContext {
    /// Creates the context of a host without a configuration or known servers.
    pub fn new(settings: Settings, timers: TimerService) -> Arc<Self> {
        let client = HttpClient::new();
        let objects = settings.platform.objects.map(|address| {
            let limits = CallLimits {
                call_timeout: settings.platform.call_timeout,
                calls_per_second: settings.platform.calls_per_second,
                ..Default::default()
            };
            ObjectClient::with_limits(client.clone(), address, limits, timers.clone())
        });
        let leases = objects.as_ref().map(|objects| {
            let host = &settings.host.name;
            LeaseRunner::new(objects, timers.clone(), host, LeaseSettings::default())
        });
        let usage_copy = Arc::new(ArcSwapOption::empty());
        let claims = objects
            .as_ref()
            .map(|objects| new_claim_runner(&settings, objects, &timers));
        let ledger = objects
            .as_ref()
            .map(|objects| new_usage_ledger(&settings, objects, &timers, &usage_copy));
        let tables = RouteTables {
            domain: settings.host.domain.clone(),
            ..Default::default()
        };
        let origin = QualityOrigin {
            host: settings.host.name.clone(),
            incarnation: timers.unix_millis(),
        };
        let shares = ShareAllocator::new(origin, settings.host.domain.clone(), timers.now());
        let (quality_events, quality_receiver) = mpsc::channel(QUALITY_EVENT_CAPACITY);
        let (server_events, server_receiver) = mpsc::unbounded_channel();
        Arc::new(Self {
            timers,
            image: ArcSwap::from_pointee(ConfigImage::default()),
            tables: ArcSwap::from_pointee(tables),
            backends: BackendClient::new(client.clone()),
            claims,
            ledger,
            usage_copy,
            rated_answers: ArcSwapOption::empty(),
            objects,
            leases,
            peers: OnceLock::new(),
            config: OnceLock::new(),
            client,
            draining: AtomicBool::new(false),
            admission: Mutex::new(AdmissionControl::new(shares)),
            queue: RequestQueue::new(settings.routing.max_queued as usize),
            request_registry: RequestRegistry::default(),
            quarantine: Mutex::new(CrashQuarantine::new(settings.routing.quarantine_time)),
            fallback_key: rand::random(),
            shutting_down: AtomicBool::new(false),
            quality_events,
            brake_notes: ArcSwap::default(),
            rating_permits: Arc::new(Semaphore::new(MAX_CONCURRENT_RATINGS)),
            quality_receiver: Mutex::new(Some(quality_receiver)),
            server_events,
            server_receiver: Mutex::new(Some(server_receiver)),
            seed_counter: AtomicU64::new(rand::random()),
            load_polls: AtomicU64::new(0),
            caller_tls: ArcSwapOption::empty(),
            current_settings: ArcSwap::from_pointee(settings.clone()),
            settings,
        })
    }

    /// Returns a new seed for a random choice.
    pub fn next_seed(&self) -> u64 {
        self.seed_counter.fetch_add(1, Ordering::Relaxed)
    }

    /// Returns the current settings, which a reload may replace while the host runs.
    pub fn current_settings(&self) -> Arc<Settings> {
        self.current_settings.load_full()
    }

    /// Replaces the current settings.
    pub(super) fn replace_live(&self, settings: Arc<Settings>) {
        self.current_settings.store(settings);
    }

    /// Sends an event to the server directory.
    pub fn report_server_event(&self, event: DirectoryEvent) {
        // A closed channel means that the host has stopped.
        let _ = self.server_events.send(event);
    }

    /// Takes the receiver of the quality events; `None` after the first call.
    pub fn take_quality_events(&self) -> Option<mpsc::Receiver<QualityEvent>> {
        self.quality_receiver.lock().ok()?.take()
    }

    /// Takes the receiver of the server directory's events; `None` after the first call.
    pub fn take_server_events(&self) -> Option<mpsc::UnboundedReceiver<DirectoryEvent>> {
        self.server_receiver.lock().ok()?.take()
    }

    /// Returns the key of the quarantine's fingerprints.
    ///
    /// It is derived from the current session key, so that all hosts of a configuration share it.
    /// Without session keys it is random for each host.
    pub fn fingerprint_key(&self) -> [u8; 16] {
        let image = self.image.load();
        let Some(keys) = &image.session_keys else {
            return self.fallback_key;
        };
        let mut hash = Sha256::new();
        hash.update(FINGERPRINT_KEY_CONTEXT);
        hash.update(keys.current.as_bytes());
        let digest: [u8; 32] = hash.finalize().into();
        let mut key = [0; 16];
        key.copy_from_slice(&digest[..16]);
        key
    }

    /// Returns whether the host has a configuration, is not draining and is not shutting down.
    pub fn is_ready(&self) -> bool {
        let drained = self.draining.load(Ordering::Relaxed);
        !drained && !self.is_shutting_down() && self.image.load().generation.0 > 0
    }

    /// Returns whether the host has begun to shut down.
    pub fn is_shutting_down(&self) -> bool {
        self.shutting_down.load(Ordering::SeqCst)
    }
}

/// Creates the runner of claims.
fn new_claim_runner(
    settings: &Settings,
    objects: &ObjectClient,
    timers: &TimerService,
) -> ClaimRunner {
    let calls = ObjectCalls::from_client(&objects.with_priority(CallPriority::Claim));
    let claim_settings = ClaimSettings {
        host: settings.host.name.clone(),
        retention: ClaimRetention {
            window: settings.routing.claim_retention,
            ..Default::default()
        },
        ..Default::default()
    };
    ClaimRunner::new(calls, timers.clone(), claim_settings)
}

/// Creates the ledger of usage records, which copies them through `usage_copy` if it is set.
fn new_usage_ledger(
    settings: &Settings,
    objects: &ObjectClient,
    timers: &TimerService,
    usage_copy: &Arc<ArcSwapOption<CopyCall>>,
) -> UsageLedger {
    let calls = ObjectCalls::from_client(&objects.with_priority(CallPriority::Usage));
    let ledger_settings = LedgerSettings {
        origin: UsageOrigin {
            host: settings.host.name.clone(),
            incarnation: timers.unix_millis(),
        },
        ..Default::default()
    };
    let peer = usage_copy.clone();
    let copy_to_peer: CopyCall = Arc::new(move |copy| match peer.load_full() {
        Some(call) => call(copy),
        None => Box::pin(std::future::ready(Ok(false))),
    });
    UsageLedger::new(calls, copy_to_peer, timers.clone(), ledger_settings)
}
