//! Runs one request: feeds its machine with what happens and performs the machine's actions.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use log::Level;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;
use tokio_util::task::AbortOnDropHandle;

use crate::coordination::{
    AttemptFailure, AttemptNumber, ClaimAnswer, DirectoryEvent, QueueEntry, QueueTicket,
    RequestAction, RequestEvent, RequestGuards, RequestMachine, RequestPlan, ServerDeath,
    UsageRecord,
};
use crate::logging::{log_fault, log_record};
use crate::protocol::{ChatRequest, LogRecord};
use crate::state::{
    ConfigGeneration, InFlightCounter, PoolName, RequestId, RouteTarget, ServerName, VersionKey,
};
use crate::transport::backend_attempt::{AttemptKind, AttemptSignal, AttemptTask};
use crate::transport::backend_client::{BackendCall, BackendReply};
use crate::transport::caller_channel::CallerChannel;
use crate::transport::caller_reply::describe_failure;
use crate::transport::caller_request::{RequestJob, RequestWork};
use crate::transport::host_context::HostContext;
use crate::transport::queue_gate::WaitEnd;
use crate::transport::rating_client::rate_answer;
use crate::transport::request_router::{RouteAsk, make_decision};

/// Signals of attempts that wait to be handled; a full channel slows the servers down.
const BUFFERED_SIGNALS: usize = 16;
/// Path of chat completions at a model engine.
const CHAT_PATH: &str = "/v1/chat/completions";

/// Something that the runner waits for beside its attempts.
#[derive(Debug)]
enum RunnerSignal {
    /// An event for the machine.
    Event(RequestEvent),
    /// A wait in the queue ended.
    WaitEnded(WaitEnd),
}

/// An attempt with what it holds on the host.
#[derive(Debug)]
struct RunningAttempt {
    target: RouteTarget,
    reply: Option<BackendReply>,
    // Dropped before the slot, so that the server is left before it counts as free.
    _task: AbortOnDropHandle<()>,
    slot: Option<ServerSlot>,
}

/// A place on a server, which is given back when dropped.
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
        context.board.end_attempt(&self.server, self.attempt);
        context.queue.release(&self.pool, 1, context.timers.now());
    }
}

/// Runs one request.
#[derive(Debug)]
pub struct RequestRunner {
    context: Arc<HostContext>,
    job: RequestJob,
    machine: RequestMachine,
    channel: CallerChannel,
    gone: CancellationToken,
    attempts: BTreeMap<AttemptNumber, RunningAttempt>,
    next_attempt: AttemptNumber,
    delivered: u64,
    claim_pending: bool,
    released: bool,
    ticket: Option<QueueTicket>,
    timers: Vec<AbortOnDropHandle<()>>,
    attempt_sender: mpsc::Sender<AttemptSignal>,
    attempt_receiver: mpsc::Receiver<AttemptSignal>,
    signal_sender: mpsc::UnboundedSender<RunnerSignal>,
    signal_receiver: mpsc::UnboundedReceiver<RunnerSignal>,
}

impl RequestRunner {
    /// Creates the runner of an admitted request.
    pub fn new(
        context: Arc<HostContext>,
        job: RequestJob,
        channel: CallerChannel,
        gone: CancellationToken,
    ) -> Self {
        let plan = RequestPlan {
            idempotent: job.route.idempotent,
            needs_claim: job.idempotency_key.is_some(),
            hedge_after: job.hedge_after,
            deadline: job.deadline,
            budget: job.admitted.budget.clone(),
            guards: RequestGuards::default(),
        };
        let (attempt_sender, attempt_receiver) = mpsc::channel(BUFFERED_SIGNALS);
        let (signal_sender, signal_receiver) = mpsc::unbounded_channel();
        Self {
            context,
            job,
            machine: RequestMachine::new(plan),
            channel,
            gone,
            attempts: BTreeMap::new(),
            next_attempt: 0,
            delivered: 0,
            claim_pending: false,
            released: false,
            ticket: None,
            timers: Vec::new(),
            attempt_sender,
            attempt_receiver,
            signal_sender,
            signal_receiver,
        }
    }

    /// Runs the request to its end.
    pub async fn run(mut self) {
        self.feed(RequestEvent::Admitted).await;
        let (mut deadline_open, mut caller_open) = (true, true);
        while !self.machine.is_settled() || self.claim_pending {
            let timers = self.context.timers.clone();
            tokio::select! {
                Some(signal) = self.attempt_receiver.recv() => self.take_attempt(signal).await,
                Some(signal) = self.signal_receiver.recv() => self.take_signal(signal).await,
                () = timers.sleep_until(self.job.deadline), if deadline_open => {
                    deadline_open = false;
                    self.feed(RequestEvent::DeadlinePassed).await;
                }
                () = self.gone.cancelled(), if caller_open => {
                    caller_open = false;
                    self.feed(RequestEvent::CallerGone).await;
                }
            }
        }
        if let Some(ticket) = self.ticket {
            self.context.queue.leave(ticket);
        }
    }

    /// Hands an event to the machine and performs its actions, until nothing follows.
    async fn feed(&mut self, event: RequestEvent) {
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            let now = self.context.timers.now();
            for action in self.machine.handle(&event, now) {
                if let Some(next) = self.perform(action).await {
                    events.push_back(next);
                }
            }
        }
    }

    /// Takes in what happened to an attempt; one that was given up is ignored.
    async fn take_attempt(&mut self, signal: AttemptSignal) {
        match signal {
            AttemptSignal::Events { attempt, events } => {
                self.pass_events(attempt, events).await;
            }
            AttemptSignal::Finished { attempt, reply } => {
                if let Some(running) = self.attempts.get_mut(&attempt) {
                    running.reply = Some(reply);
                    running.slot = None;
                    self.feed(RequestEvent::AttemptFinished { attempt }).await;
                }
            }
            AttemptSignal::Failed {
                attempt,
                failure,
                server_dead,
            } => {
                self.note_failure(attempt, failure, server_dead);
                let delivered = self.delivered;
                self.feed(RequestEvent::AttemptFailed {
                    attempt,
                    failure,
                    delivered,
                })
                .await;
            }
        }
    }

    /// Passes events of a streamed answer on to the caller.
    async fn pass_events(&mut self, attempt: AttemptNumber, events: Vec<String>) {
        if !self.attempts.contains_key(&attempt) {
            return;
        }
        self.feed(RequestEvent::AnswerStarted { attempt }).await;
        let Some(running) = self.attempts.get(&attempt) else {
            return;
        };
        if !self.channel.is_streaming() {
            let version = running.target.version.clone();
            self.channel.start_stream(Some(&version));
        }
        let timeout = self.context.settings.callers.write_timeout;
        if self.channel.send_events(&events, timeout).await {
            self.delivered += events.len() as u64;
        } else {
            self.gone.cancel();
        }
    }

    /// Reports a failed attempt to the directory and the quarantine.
    fn note_failure(&mut self, attempt: AttemptNumber, failure: AttemptFailure, dead: bool) {
        let Some(running) = self.attempts.get_mut(&attempt) else {
            return;
        };
        let server = running.target.server.clone();
        if dead || failure == AttemptFailure::NotSent {
            let event = DirectoryEvent::ConnectFailed(server.clone());
            self.context.report_servers(event);
        }
        if dead {
            self.record_death(&server);
        }
        if let Some(running) = self.attempts.get_mut(&attempt) {
            running.slot = None;
        }
    }

    /// Counts the death of a server against the requests that ran on it.
    fn record_death(&self, server: &ServerName) {
        let context = &self.context;
        let suspects = context.board.take_suspects(server);
        if suspects.is_empty() {
            return;
        }
        let tables = context.tables.load();
        let record = tables.servers.servers().find(|known| known.name == *server);
        let death = ServerDeath {
            server: server.clone(),
            incarnation: record.map_or(0, |record| record.incarnation),
            suspects,
        };
        let now = context.timers.now();
        let notes = context
            .quarantine
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .record_death(&death, now);
        context.share_crash_notes(&notes);
        let message = format!("{server} died with {} suspects", death.suspects.len());
        log_fault("backend", &message);
    }

    /// Takes in something else that was waited for.
    async fn take_signal(&mut self, signal: RunnerSignal) {
        match signal {
            RunnerSignal::Event(event) => {
                if matches!(event, RequestEvent::ClaimAnswered(_)) {
                    self.claim_pending = false;
                }
                self.feed(event).await;
            }
            RunnerSignal::WaitEnded(end) => {
                self.ticket = None;
                self.released = end == WaitEnd::Released;
                let event = match end {
                    WaitEnd::Released => RequestEvent::QueueReleased,
                    WaitEnd::Shed => RequestEvent::QueueExpired,
                };
                self.feed(event).await;
            }
        }
    }

    /// Performs an action; returns the event that follows at once.
    async fn perform(&mut self, action: RequestAction) -> Option<RequestEvent> {
        let timeout = self.context.settings.callers.write_timeout;
        match action {
            RequestAction::Claim => self.start_claim(),
            RequestAction::Route { excluded, version } => {
                let ask = RouteAsk {
                    route: &self.job.route,
                    work: &self.job.work,
                    deadline: self.job.deadline,
                    excluded,
                    version,
                    attempt: self.next_attempt,
                    released: std::mem::take(&mut self.released),
                };
                return Some(make_decision(&self.context, ask));
            }
            RequestAction::Wait(pool) => self.join_queue(pool),
            RequestAction::Dispatch {
                attempt,
                target,
                generation,
                withheld,
            } => return self.dispatch(attempt, target, generation, withheld),
            RequestAction::Resume {
                attempt,
                target,
                resume_from,
            } => self.start_attempt(attempt, target, resume_from),
            RequestAction::Cancel(attempt) => drop(self.attempts.remove(&attempt)),
            RequestAction::StartHedgeTimer(delay) => {
                let timers = self.context.timers.clone();
                self.spawn_signal(async move {
                    timers.sleep(delay).await;
                    RunnerSignal::Event(RequestEvent::HedgeDue)
                });
            }
            RequestAction::Rate(attempt) => self.rate(attempt),
            RequestAction::Bill(attempt) => self.bill(attempt).await,
            RequestAction::CloseClaim(end) => self.close_claim(end).await,
            RequestAction::Deliver(attempt) => {
                if let Some(running) = self.attempts.remove(&attempt) {
                    self.deliver(running, timeout).await;
                }
            }
            RequestAction::DeliverStored => self.deliver_stored().await,
            RequestAction::Fail { reason, run } => {
                let error = describe_failure(self.job.route.id, reason, run);
                self.channel.send_error(error, timeout).await;
            }
        }
        None
    }

    /// Gives the caller the whole answer of an attempt.
    async fn deliver(&mut self, running: RunningAttempt, timeout: Duration) {
        if self.channel.is_streaming() {
            return self.channel.end_stream(timeout).await;
        }
        if let Some(reply) = running.reply {
            let version = self.version_of(&running.target);
            self.channel.send_whole(reply, version.as_ref());
        }
    }

    /// Returns the version that an attempt ran; a plain service has none.
    fn version_of(&self, target: &RouteTarget) -> Option<VersionKey> {
        match self.job.work {
            RequestWork::Chat(_) => Some(target.version.clone()),
            RequestWork::Service(_) => None,
        }
    }

    /// Claims the request.
    fn start_claim(&mut self) {
        self.claim_pending = true;
        let event = RequestEvent::ClaimAnswered(ClaimAnswer::Unavailable);
        let _ = self.signal_sender.send(RunnerSignal::Event(event));
    }

    /// Writes back the end of the claim.
    async fn close_claim(&mut self, _end: crate::coordination::ClaimEnd) {}

    /// Gives the caller the outcome stored with the claim.
    async fn deliver_stored(&mut self) {}

    /// Lets the request wait for a server of a pool.
    fn join_queue(&mut self, pool: PoolName) {
        let context = &self.context;
        let longest = context.timers.now() + context.settings.routing.queue_timeout;
        let deadline = self.job.deadline.min(longest);
        let entry = QueueEntry {
            ticket: QueueTicket::default(),
            pool,
            workspace: self.job.route.workspace.clone(),
            weight: self.job.weight,
            priority: self.job.route.priority,
            deadline,
        };
        let (ticket, ended) = context.queue.join(entry);
        self.ticket = Some(ticket);
        let timers = context.timers.clone();
        self.spawn_signal(async move {
            let end = tokio::select! {
                end = ended => end.unwrap_or(WaitEnd::Shed),
                () = timers.sleep_until(deadline) => WaitEnd::Shed,
            };
            RunnerSignal::WaitEnded(end)
        });
    }

    /// Sends an attempt unless the configuration changed since its decision.
    fn dispatch(
        &mut self,
        attempt: AttemptNumber,
        target: RouteTarget,
        generation: ConfigGeneration,
        withheld: bool,
    ) -> Option<RequestEvent> {
        if self.context.image.load().generation != generation {
            return Some(RequestEvent::DecisionStale { attempt });
        }
        debug_assert!(
            !(withheld && self.job.route.streamed),
            "cascades are not streamed"
        );
        self.start_attempt(attempt, target, 0);
        None
    }

    /// Starts an attempt on a server.
    fn start_attempt(&mut self, attempt: AttemptNumber, target: RouteTarget, resume_from: u64) {
        self.next_attempt = self.next_attempt.max(attempt + 1);
        let context = &self.context;
        let image = context.image.load();
        let pool = image.pools.get(&target.pool);
        let timeout = pool.map_or(Duration::from_secs(60), |pool| pool.attempt_timeout);
        let task = AttemptTask {
            number: attempt,
            kind: self.attempt_kind(),
            call: self.backend_call(&target, resume_from),
            timeout,
        };
        let slot = self.take_slot(attempt, &target);
        let running = task.run(context.backends.clone(), self.attempt_sender.clone());
        let task = AbortOnDropHandle::new(tokio::spawn(running));
        let entry = RunningAttempt {
            target,
            reply: None,
            _task: task,
            slot: Some(slot),
        };
        self.attempts.insert(attempt, entry);
    }

    /// Takes a place on a server.
    fn take_slot(&self, attempt: AttemptNumber, target: &RouteTarget) -> ServerSlot {
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
            .board
            .start_attempt(&slot.server, slot.attempt, fingerprint);
        slot
    }

    /// Returns how the answer of an attempt is read.
    fn attempt_kind(&self) -> AttemptKind {
        match &self.job.work {
            RequestWork::Chat(chat) if chat.stream => AttemptKind::ChatStream,
            RequestWork::Chat(_) => AttemptKind::Chat,
            RequestWork::Service(_) => AttemptKind::Service,
        }
    }

    /// Builds the call of an attempt.
    fn backend_call(&self, target: &RouteTarget, resume_from: u64) -> BackendCall {
        let now = self.context.timers.now();
        let json = http::HeaderValue::from_static("application/json");
        let (method, path, content_type, body) = match &self.job.work {
            RequestWork::Chat(chat) => {
                let sent = ChatRequest {
                    model: target.version.to_string(),
                    ..chat.clone()
                };
                let body = serde_json::to_vec(&sent).unwrap_or_default();
                let path = CHAT_PATH.to_owned();
                (http::Method::POST, path, Some(json), Bytes::from(body))
            }
            RequestWork::Service(call) => (
                call.method.clone(),
                call.path.clone(),
                call.content_type.clone(),
                self.job.body.clone(),
            ),
        };
        BackendCall {
            address: target.address.clone(),
            method,
            path,
            content_type,
            body,
            request: self.job.route.id,
            priority: self.job.route.priority,
            time_left: self.job.deadline.since(now),
            resume_from,
            idempotency_key: self.job.idempotency_key.clone(),
        }
    }

    /// Has the answer of an attempt rated.
    fn rate(&mut self, attempt: AttemptNumber) {
        let reply = self
            .attempts
            .get(&attempt)
            .and_then(|run| run.reply.clone());
        let context = self.context.clone();
        let id = self.job.route.id;
        let body = reply.map(|reply| reply.body).unwrap_or_default();
        self.spawn_signal(async move {
            let rating = rate_answer(&context, id, &body).await;
            RunnerSignal::Event(RequestEvent::Rated { rating })
        });
    }

    /// Records what the request is billed for.
    async fn bill(&mut self, attempt: AttemptNumber) {
        let Some(running) = self.attempts.get(&attempt) else {
            return;
        };
        let usage = running.reply.as_ref().map(|reply| reply.usage);
        let usage = usage.unwrap_or_default();
        let version = self.version_of(&running.target);
        let image = self.context.image.load();
        let spec = version.as_ref().and_then(|version| image.version(version));
        let price = spec.map_or(0, |spec| {
            spec.price_of(usage.prompt_tokens, usage.completion_tokens)
        });
        let record = UsageRecord {
            request_id: self.job.route.id,
            workspace: self.job.route.workspace.clone(),
            task: self.job.route.task.clone(),
            version,
            input_tokens: usage.prompt_tokens,
            output_tokens: usage.completion_tokens,
            price,
            ended_unix_ms: self.context.timers.unix_millis(),
        };
        log_record(Level::Info, &LogRecord::Usage(record));
    }

    /// Waits apart from the runner and sends the result to it.
    fn spawn_signal(&mut self, wait: impl Future<Output = RunnerSignal> + Send + 'static) {
        let sender = self.signal_sender.clone();
        let task = tokio::spawn(async move {
            // A closed channel means that the request has ended.
            let _ = sender.send(wait.await);
        });
        self.timers.push(AbortOnDropHandle::new(task));
    }
}
