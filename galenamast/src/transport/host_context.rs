//! What the parts of a running entry host share.

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

/// Answers that wait for the judge; further ones are left out.
const BUFFERED_ANSWERS: usize = 4_096;
/// Ratings that are asked for at once.
const MAX_RATINGS: usize = 64;
/// Text that keeps the key of fingerprints apart from other uses of the session key.
const FINGERPRINT_CONTEXT: &[u8] = b"galenamast crash fingerprint 1";

/// Counts the rated answers of a version since any fixed point in time.
pub type RatingCountFn = Arc<dyn Fn(&VersionKey) -> u64 + Send + Sync>;

/// Shared parts of a running entry host.
pub struct HostContext {
    /// Settings that the host started with.
    pub settings: Settings,
    /// TLS for callers, if the settings ask for it.
    pub caller_tls: ArcSwapOption<rustls::ServerConfig>,
    current_settings: ArcSwap<Settings>,
    /// Source of time.
    pub timers: TimerService,
    /// Configuration in force.
    pub image: ArcSwap<ConfigImage>,
    /// Tables that routing decisions read.
    pub tables: ArcSwap<RouteTables>,
    /// Client of the backend servers.
    pub backends: BackendClient,
    /// Client of the object API, if the settings name one.
    pub objects: Option<ObjectClient>,
    /// Mesh of entry hosts, once the host has started.
    pub peers: OnceLock<PeerMesh>,
    /// Distribution of the configuration, once the host has started.
    pub config: OnceLock<ConfigRunner>,
    /// Leases of the host, if the settings name an object API.
    pub leases: Option<LeaseRunner>,
    /// Claims of non-idempotent requests, if the settings name the object API.
    pub claims: Option<ClaimRunner>,
    /// Usage records, if the settings name the object API.
    pub ledger: Option<UsageLedger>,
    /// Counts the rated answers of a version for roll-outs; empty until ratings are collected.
    pub rated_answers: ArcSwapOption<RatingCountFn>,
    /// Hands a usage record to another entry host of the failure domain; empty if there is none.
    pub usage_copy: Arc<ArcSwapOption<CopyCall>>,
    /// HTTP client of the other services of the platform.
    pub client: HttpClient,
    /// Whether an operator took the host out of the balancer.
    pub draining: AtomicBool,
    /// Limits of the workspaces.
    pub admission: Mutex<AdmissionControl>,
    /// Requests that wait for a free server.
    pub queue: RequestQueue,
    /// Requests in flight.
    pub request_registry: RequestRegistry,
    /// Requests whose content crashed servers.
    pub quarantine: Mutex<CrashQuarantine>,
    /// Whether the host has begun to shut down.
    pub shutting_down: AtomicBool,
    /// Answers for the judge of versions.
    pub quality_events: mpsc::Sender<QualityEvent>,
    /// Brakes in force, with their origin and evidence.
    pub brake_notes: ArcSwap<Vec<BrakeNotice>>,
    /// Ratings that may be asked for at once.
    pub ratings: Arc<Semaphore>,
    quality_receiver: Mutex<Option<mpsc::Receiver<QualityEvent>>>,
    server_events: mpsc::UnboundedSender<DirectoryEvent>,
    server_receiver: Mutex<Option<mpsc::UnboundedReceiver<DirectoryEvent>>>,
    fallback_key: [u8; 16],
    seeds: AtomicU64,
    /// Load reports that were asked for since the start.
    pub load_polls: AtomicU64,
}

impl std::fmt::Debug for HostContext {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("HostContext(..)")
    }
}

impl HostContext {
    /// Creates the context of a host that knows no configuration and no server yet.
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
            .map(|objects| start_claims(&settings, objects, &timers));
        let ledger = objects
            .as_ref()
            .map(|objects| start_ledger(&settings, objects, &timers, &usage_copy));
        let tables = RouteTables {
            domain: settings.host.domain.clone(),
            ..Default::default()
        };
        let origin = QualityOrigin {
            host: settings.host.name.clone(),
            incarnation: timers.unix_millis(),
        };
        let shares = ShareAllocator::new(origin, settings.host.domain.clone(), timers.now());
        let (quality_events, quality_receiver) = mpsc::channel(BUFFERED_ANSWERS);
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
            ratings: Arc::new(Semaphore::new(MAX_RATINGS)),
            quality_receiver: Mutex::new(Some(quality_receiver)),
            server_events,
            server_receiver: Mutex::new(Some(server_receiver)),
            seeds: AtomicU64::new(rand::random()),
            load_polls: AtomicU64::new(0),
            caller_tls: ArcSwapOption::empty(),
            current_settings: ArcSwap::from_pointee(settings.clone()),
            settings,
        })
    }

    /// Returns the seed for the next random choice.
    pub fn next_seed(&self) -> u64 {
        self.seeds.fetch_add(1, Ordering::Relaxed)
    }

    /// Returns the settings in force, which may change while the host runs.
    pub fn current_settings(&self) -> Arc<Settings> {
        self.current_settings.load_full()
    }

    /// Puts settings into force.
    pub(super) fn replace_live(&self, settings: Arc<Settings>) {
        self.current_settings.store(settings);
    }

    /// Reports news about backend servers.
    pub fn report_server_event(&self, event: DirectoryEvent) {
        // A closed channel means that the host has stopped.
        let _ = self.server_events.send(event);
    }

    /// Takes the receiving end of the answers; the second call finds none.
    pub fn take_quality_events(&self) -> Option<mpsc::Receiver<QualityEvent>> {
        self.quality_receiver.lock().ok()?.take()
    }

    /// Takes the receiving end of the news about backend servers; the second call finds none.
    pub fn take_server_events(&self) -> Option<mpsc::UnboundedReceiver<DirectoryEvent>> {
        self.server_receiver.lock().ok()?.take()
    }

    /// Returns the key of the fingerprints in the quarantine, which all hosts of a configuration with
    /// session keys share.
    pub fn fingerprint_key(&self) -> [u8; 16] {
        let image = self.image.load();
        let Some(keys) = &image.session_keys else {
            return self.fallback_key;
        };
        let mut hash = Sha256::new();
        hash.update(FINGERPRINT_CONTEXT);
        hash.update(keys.current.as_bytes());
        let digest: [u8; 32] = hash.finalize().into();
        let mut key = [0; 16];
        key.copy_from_slice(&digest[..16]);
        key
    }

    /// Returns whether the host has a configuration, is not drained and is not shutting down.
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
fn start_claims(settings: &Settings, objects: &ObjectClient, timers: &TimerService) -> ClaimRunner {
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

/// Creates the ledger of usage records.
fn start_ledger(
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
