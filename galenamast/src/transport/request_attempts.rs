//! The attempts of one request and the server slots that they occupy.

use std::collections::BTreeMap;
use std::sync::{Arc, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Method};
use tokio::sync::mpsc;
use tokio_util::task::AbortOnDropHandle;

use crate::coordination::{AttemptFailure, AttemptNumber, DirectoryEvent, ServerCrash};
use crate::logging::log_fault;
use crate::state::{InFlightCounter, PoolName, RequestId, RouteTarget, ServerName, TimePoint};
use crate::transport::answer_report::report_failure;
use crate::transport::backend_attempt::{AttemptKind, AttemptSignal, AttemptTask};
use crate::transport::backend_client::{BackendCall, BackendReply};
use crate::transport::caller_request::{RequestJob, RequestWork};
use crate::transport::crash_sharing::share_crash_notes;
use crate::transport::host_context::HostContext;

/// Path of chat completions on a model engine.
const CHAT_PATH: &str = "/v1/chat/completions";
/// Attempt timeout for a pool that is not in the configuration.
const DEFAULT_ATTEMPT_TIMEOUT: Duration = Duration::from_secs(60);

/// A started attempt, with its task and its server slot.
#[derive(Debug)]
pub struct RunningAttempt {
    /// Server and version that the attempt was sent to.
    pub target: RouteTarget,
    /// When the attempt was sent.
    pub started_at: TimePoint,
    /// Complete answer; `None` until it has arrived.
    pub reply: Option<BackendReply>,
    // Declared before `slot` so that it is dropped first: the task is aborted before the slot
    // counts as free.
    _task: AbortOnDropHandle<()>,
    slot: Option<ServerSlot>,
}

impl RunningAttempt {
    /// Stores the complete answer, records its service time and frees the server slot.
    pub fn finish(&mut self, reply: BackendReply) {
        self.reply = Some(reply);
        if let Some(slot) = &self.slot {
            let now = slot.context.timers.now();
            let service = now.since(self.started_at);
            slot.context.queue.observe(&slot.pool, service, now);
        }
        self.free_slot();
    }

    /// Frees the server slot, which wakes the next request that waits for the pool.
    fn free_slot(&mut self) {
        self.slot = None;
    }
}

/// A slot on a server, which is freed when dropped.
#[derive(Debug)]
struct ServerSlot {
    context: Arc<HostContext>,
    in_flight: InFlightCounter,
    server: ServerName,
    pool: PoolName,
    attempt: (RequestId, AttemptNumber),
}

impl Drop for ServerSlot {
    fn drop(&mut self) {
        self.in_flight.decrement();
        let context = &self.context;
        context
            .request_registry
            .end_attempt(&self.server, self.attempt);
        context.queue.release(&self.pool, 1, context.timers.now());
    }
}

/// The attempts of one request, by number.
#[derive(Debug)]
pub struct AttemptSet {
    context: Arc<HostContext>,
    job: Arc<RequestJob>,
    entries: BTreeMap<AttemptNumber, RunningAttempt>,
    next_attempt: AttemptNumber,
    signals: mpsc::Sender<AttemptSignal>,
}

impl AttemptSet {
    /// Creates an empty set whose attempts report to a channel.
    pub fn new(
        context: Arc<HostContext>,
        job: Arc<RequestJob>,
        signals: mpsc::Sender<AttemptSignal>,
    ) -> Self {
        Self {
            context,
            job,
            entries: BTreeMap::new(),
            next_attempt: 0,
            signals,
        }
    }

    /// Returns the number of the next attempt.
    pub fn next_number(&self) -> AttemptNumber {
        self.next_attempt
    }

    /// Returns an attempt; `None` if it was removed or never started.
    pub fn get(&self, attempt: AttemptNumber) -> Option<&RunningAttempt> {
        self.entries.get(&attempt)
    }

    /// Returns an attempt for changes; `None` if it was removed or never started.
    pub fn get_mut(&mut self, attempt: AttemptNumber) -> Option<&mut RunningAttempt> {
        self.entries.get_mut(&attempt)
    }

    /// Removes an attempt; dropping the returned value cancels it if it still runs.
    pub fn remove(&mut self, attempt: AttemptNumber) -> Option<RunningAttempt> {
        self.entries.remove(&attempt)
    }

    /// Starts an attempt on a server.
    pub fn start(&mut self, attempt: AttemptNumber, target: RouteTarget, resume_from: u64) {
        self.next_attempt = self.next_attempt.max(attempt + 1);
        let context = &self.context;
        let image = context.image.load();
        let pool = image.pools.get(&target.pool);
        let task = AttemptTask {
            number: attempt,
            kind: self.attempt_kind(),
            call: self.build_call(&target, resume_from),
            timeout: pool.map_or(DEFAULT_ATTEMPT_TIMEOUT, |pool| pool.attempt_timeout),
        };
        let slot = self.acquire_slot(attempt, &target);
        let running = task.run(context.backends.clone(), self.signals.clone());
        let entry = RunningAttempt {
            target,
            started_at: context.timers.now(),
            reply: None,
            _task: AbortOnDropHandle::new(tokio::spawn(running)),
            slot: Some(slot),
        };
        self.entries.insert(attempt, entry);
    }

    /// Reports a failed attempt to the quality monitor, the quarantine and the server directory,
    /// and frees its slot.
    pub fn record_failure(
        &mut self,
        attempt: AttemptNumber,
        failure: AttemptFailure,
        server_dead: bool,
    ) {
        let Some(running) = self.entries.get_mut(&attempt) else {
            return;
        };
        if matches!(self.job.work, RequestWork::Chat(_)) {
            let version = &running.target.version;
            report_failure(&self.context, &self.job.route, version, failure);
        }
        let server = running.target.server.clone();
        if server_dead {
            record_crash(&self.context, &server);
        }
        if server_dead || failure == AttemptFailure::NotSent {
            let event = DirectoryEvent::ConnectFailed(server);
            self.context.report_server_event(event);
        }
        running.free_slot();
    }

    /// Occupies a slot on a server and registers the attempt.
    fn acquire_slot(&self, attempt: AttemptNumber, target: &RouteTarget) -> ServerSlot {
        let context = &self.context;
        let tables = context.tables.load();
        let record = tables.servers.find(&target.pool, &target.server);
        let in_flight = record.map(|record| record.in_flight.clone());
        let slot = ServerSlot {
            context: context.clone(),
            in_flight: in_flight.unwrap_or_default(),
            server: target.server.clone(),
            pool: target.pool.clone(),
            attempt: (self.job.route.id, attempt),
        };
        slot.in_flight.increment();
        let fingerprint = self.job.admitted.fingerprint;
        context
            .request_registry
            .start_attempt(&slot.server, slot.attempt, fingerprint);
        slot
    }

    /// Returns how the answer of each attempt is read.
    fn attempt_kind(&self) -> AttemptKind {
        match &self.job.work {
            RequestWork::Chat(chat) if chat.stream => AttemptKind::ChatStream,
            RequestWork::Chat(_) => AttemptKind::Chat,
            RequestWork::Service(_) => AttemptKind::Service,
        }
    }

    /// Builds the backend call of an attempt.
    fn build_call(&self, target: &RouteTarget, resume_from: u64) -> BackendCall {
        let job = &self.job;
        let (method, path, content_type, body) = match &job.work {
            RequestWork::Chat(chat) => {
                let version = target.version.to_string();
                let body = chat.encode_for(&version).unwrap_or_default();
                let json = HeaderValue::from_static("application/json");
                let path = CHAT_PATH.to_owned();
                (Method::POST, path, Some(json), Bytes::from(body))
            }
            RequestWork::Service(call) => (
                call.method.clone(),
                call.path.clone(),
                call.content_type.clone(),
                job.body.clone(),
            ),
        };
        BackendCall {
            address: target.address.clone(),
            method,
            path,
            content_type,
            body,
            request: job.route.id,
            priority: job.route.priority,
            time_left: job.deadline.since(self.context.timers.now()),
            resume_from,
            idempotency_key: job.idempotency_key.clone(),
        }
    }
}

/// Records the crash of a server against the requests that ran on it, and shares the resulting
/// crash notes.
fn record_crash(context: &HostContext, server: &ServerName) {
    let suspects = context.request_registry.take_suspects(server);
    if suspects.is_empty() {
        return;
    }
    let tables = context.tables.load();
    let record = tables.servers.servers().find(|known| known.name == *server);
    let crash = ServerCrash {
        server: server.clone(),
        incarnation: record.map_or(0, |record| record.incarnation),
        suspects,
    };
    let now = context.timers.now();
    let notes = context
        .quarantine
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .record_crash(&crash, now);
    share_crash_notes(context, &notes);
    let message = format!(
        "server {server} crashed with {} attempts running",
        crash.suspects.len()
    );
    log_fault("backend", &message);
}
