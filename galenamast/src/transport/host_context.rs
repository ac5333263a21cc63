//! What the parts of a running entry host share.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use arc_swap::ArcSwap;
use tokio::sync::{broadcast, mpsc};

use crate::config::Settings;
use crate::coordination::{AdmissionControl, CrashNote, CrashQuarantine, DirectoryEvent};
use crate::state::{ConfigImage, RouteTables};
use crate::transport::backend_client::BackendClient;
use crate::transport::http_client::HttpClient;
use crate::transport::object_client::ObjectClient;
use crate::transport::queue_gate::QueueGate;
use crate::transport::request_board::RequestBoard;
use crate::transport::timer_service::TimerService;

/// Notes that wait for a slow listener; older ones are dropped.
const CRASH_NOTES: usize = 256;

/// Shared parts of a running entry host.
#[derive(Debug)]
pub struct HostContext {
    /// Settings of the host.
    pub settings: Settings,
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
    /// HTTP client of the other services of the platform.
    pub client: HttpClient,
    /// Limits of the workspaces.
    pub admission: Mutex<AdmissionControl>,
    /// Requests that wait for a free server.
    pub queue: QueueGate,
    /// Requests in flight.
    pub board: RequestBoard,
    /// Requests whose content crashed servers.
    pub quarantine: Mutex<CrashQuarantine>,
    /// Key of the fingerprints in the quarantine.
    pub fingerprint_key: [u8; 16],
    /// Whether the host has begun to shut down.
    pub leaving: AtomicBool,
    /// Notes for other entry hosts on requests that servers died of.
    pub crash_notes: broadcast::Sender<CrashNote>,
    server_events: mpsc::UnboundedSender<DirectoryEvent>,
    server_receiver: Mutex<Option<mpsc::UnboundedReceiver<DirectoryEvent>>>,
    seeds: AtomicU64,
}

impl HostContext {
    /// Creates the context of a host that knows no configuration and no server yet.
    pub fn new(settings: Settings, timers: TimerService) -> Arc<Self> {
        let client = HttpClient::new();
        let objects = settings.platform.objects.map(|address| {
            ObjectClient::new(client.clone(), address, settings.platform.call_timeout)
        });
        let tables = RouteTables {
            domain: settings.host.domain.clone(),
            ..Default::default()
        };
        let (server_events, server_receiver) = mpsc::unbounded_channel();
        Arc::new(Self {
            timers,
            image: ArcSwap::from_pointee(ConfigImage::default()),
            tables: ArcSwap::from_pointee(tables),
            backends: BackendClient::new(client.clone()),
            objects,
            client,
            admission: Mutex::default(),
            queue: QueueGate::new(settings.routing.max_queued as usize),
            board: RequestBoard::default(),
            quarantine: Mutex::new(CrashQuarantine::new(settings.routing.quarantine_time)),
            fingerprint_key: rand::random(),
            leaving: AtomicBool::new(false),
            crash_notes: broadcast::channel(CRASH_NOTES).0,
            server_events,
            server_receiver: Mutex::new(Some(server_receiver)),
            seeds: AtomicU64::new(rand::random()),
            settings,
        })
    }

    /// Returns the seed for the next random choice.
    pub fn next_seed(&self) -> u64 {
        self.seeds.fetch_add(1, Ordering::Relaxed)
    }

    /// Reports news about backend servers.
    pub fn report_servers(&self, event: DirectoryEvent) {
        // A closed channel means that the host has stopped.
        let _ = self.server_events.send(event);
    }

    /// Tells other entry hosts of requests that servers died of.
    pub fn share_crash_notes(&self, notes: &[CrashNote]) {
        for note in notes {
            if self.crash_notes.send(note.clone()).is_err() {
                // No part of the host listens; the notes stay local.
                return;
            }
        }
    }

    /// Takes in a note of another entry host.
    pub fn apply_crash_note(&self, note: &CrashNote) {
        let now = self.timers.now();
        self.quarantine
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .apply_note(note, now);
    }

    /// Takes the receiving end of the news about backend servers; the second call finds none.
    pub fn take_server_events(&self) -> Option<mpsc::UnboundedReceiver<DirectoryEvent>> {
        self.server_receiver.lock().ok()?.take()
    }

    /// Returns whether the host has a configuration and is not shutting down.
    pub fn is_ready(&self) -> bool {
        !self.is_leaving() && self.image.load().generation.0 > 0
    }

    /// Returns whether the host has begun to shut down.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::SeqCst)
    }
}
