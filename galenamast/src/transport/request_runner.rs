//! Drives the state machine of one request: passes events to it and performs its actions.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;
use tokio_util::task::AbortOnDropHandle;

use crate::coordination::{
    AttemptFailure, AttemptNumber, ClaimEnd, FailureReason, RequestAction, RequestEvent,
    RequestGuards, RequestMachine, RequestPlan,
};
use crate::protocol::{CallerError, ChatText, ErrorCode};
use crate::state::{ConfigGeneration, RefusalReason, RouteTarget, RunState, VersionKey};
use crate::transport::answer_report::{
    EventBuffer, rate_in_background, report_answer, report_rating,
};
use crate::transport::backend_attempt::AttemptSignal;
use crate::transport::caller_channel::CallerChannel;
use crate::transport::caller_reply::{describe_failure, refuse};
use crate::transport::caller_request::{RequestJob, RequestWork};
use crate::transport::claim_request::ClaimVerdict;
use crate::transport::host_context::HostContext;
use crate::transport::rating_client::rate_answer;
use crate::transport::request_attempts::{AttemptSet, RunningAttempt};
use crate::transport::request_billing::bill_request;
use crate::transport::request_claim::RequestClaim;
use crate::transport::request_queue::WaitOutcome;
use crate::transport::request_router::{RouteQuery, make_decision};
use crate::transport::request_session::token_for_answer;
use crate::transport::request_wait::RequestWait;

/// Signals of attempts that the channel holds. When it is full, reading from the servers pauses.
const SIGNAL_CAPACITY: usize = 16;

/// Result of a background wait other than an attempt.
#[derive(Debug)]
enum RunnerSignal {
    /// An event to pass on to the state machine.
    Event(RequestEvent),
    /// The claim was granted or refused.
    Claimed(ClaimVerdict),
    /// The request was released from the queue or shed.
    WaitEnded(WaitOutcome),
}

/// Drives one admitted request from routing to its final answer.
#[derive(Debug)]
pub struct RequestRunner {
    context: Arc<HostContext>,
    job: Arc<RequestJob>,
    machine: RequestMachine,
    channel: CallerChannel,
    disconnected: CancellationToken,
    attempts: AttemptSet,
    claim: RequestClaim,
    delivered: u64,
    event_buffer: EventBuffer,
    rated: Option<AttemptNumber>,
    claim_pending: bool,
    wait: RequestWait,
    wait_tasks: Vec<AbortOnDropHandle<()>>,
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
        disconnected: CancellationToken,
    ) -> Self {
        let plan = RequestPlan {
            idempotent: job.route.idempotent,
            needs_claim: job.idempotency_key.is_some(),
            hedge_after: job.hedge_after,
            deadline: job.deadline,
            budget: job.admitted.budget.clone(),
            guards: RequestGuards::default(),
        };
        let job = Arc::new(job);
        let (attempt_sender, attempt_receiver) = mpsc::channel(SIGNAL_CAPACITY);
        let (signal_sender, signal_receiver) = mpsc::unbounded_channel();
        Self {
            machine: RequestMachine::new(plan),
            attempts: AttemptSet::new(context.clone(), job.clone(), attempt_sender),
            claim: RequestClaim::new(context.clone(), job.clone()),
            wait: RequestWait::new(context.clone(), job.clone()),
            context,
            job,
            channel,
            disconnected,
            delivered: 0,
            event_buffer: EventBuffer::default(),
            rated: None,
            claim_pending: false,
            wait_tasks: Vec::new(),
            attempt_receiver,
            signal_sender,
            signal_receiver,
        }
    }

    /// Runs the request until its state machine has settled and no claim is pending.
    pub async fn run(mut self) {
        self.handle_event(RequestEvent::Admitted).await;
        let (mut deadline_open, mut caller_open) = (true, true);
        while !self.machine.is_settled() || self.claim_pending {
            let timers = self.context.timers.clone();
            tokio::select! {
                Some(signal) = self.attempt_receiver.recv() => self.handle_attempt(signal).await,
                Some(signal) = self.signal_receiver.recv() => self.handle_signal(signal).await,
                () = timers.sleep_until(self.job.deadline), if deadline_open => {
                    deadline_open = false;
                    self.handle_event(RequestEvent::DeadlinePassed).await;
                }
                () = self.disconnected.cancelled(), if caller_open => {
                    caller_open = false;
                    self.handle_event(RequestEvent::CallerDisconnected).await;
                }
            }
        }
    }

    /// Passes an event to the state machine and performs the resulting actions, including those of
    /// follow-up events.
    async fn handle_event(&mut self, event: RequestEvent) {
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

    /// Handles a signal of an attempt; signals of cancelled attempts are ignored.
    async fn handle_attempt(&mut self, signal: AttemptSignal) {
        match signal {
            AttemptSignal::Events { attempt, events } => {
                self.forward_events(attempt, events).await;
            }
            AttemptSignal::Finished { attempt, reply } => {
                if let Some(running) = self.attempts.get_mut(attempt) {
                    running.finish(reply);
                    if matches!(self.job.work, RequestWork::Chat(_)) {
                        let (target, started_at) = (&running.target, running.started_at);
                        let route = &self.job.route;
                        report_answer(&self.context, route, &target.version, started_at);
                    }
                    self.handle_event(RequestEvent::AttemptFinished { attempt })
                        .await;
                }
            }
            AttemptSignal::Failed {
                attempt,
                failure,
                server_dead,
            } => {
                self.attempts.record_failure(attempt, failure, server_dead);
                let delivered = self.delivered;
                self.handle_event(RequestEvent::AttemptFailed {
                    attempt,
                    failure,
                    delivered,
                })
                .await;
            }
        }
    }

    /// Forwards events of a streamed answer to the caller.
    async fn forward_events(&mut self, attempt: AttemptNumber, events: Vec<String>) {
        if self.attempts.get(attempt).is_none() {
            return;
        }
        self.handle_event(RequestEvent::AnswerStarted { attempt })
            .await;
        let Some(running) = self.attempts.get(attempt) else {
            return;
        };
        if !self.channel.is_streaming() && self.delivered == 0 {
            let version = running.target.version.clone();
            self.attach_session_token(Some(&version));
            self.channel.start_stream(Some(&version));
        }
        self.claim.buffer_events(&events);
        self.delivered += events.len() as u64;
        let timeout = self.context.current_settings().callers.write_timeout;
        if !self.channel.send_events(&events, timeout).await {
            self.disconnected.cancel();
        }
        self.event_buffer.extend(events);
    }

    /// Handles the result of a background wait.
    async fn handle_signal(&mut self, signal: RunnerSignal) {
        let event = match signal {
            RunnerSignal::Event(event) => event,
            RunnerSignal::Claimed(verdict) => {
                self.claim_pending = false;
                RequestEvent::ClaimAnswered(self.claim.handle_verdict(verdict))
            }
            RunnerSignal::WaitEnded(outcome) => self.wait.handle_outcome(outcome),
        };
        self.handle_event(event).await;
    }

    /// Performs an action; returns the follow-up event if the result is known at once.
    async fn perform(&mut self, action: RequestAction) -> Option<RequestEvent> {
        let timeout = self.context.current_settings().callers.write_timeout;
        match action {
            RequestAction::Claim => {
                self.claim_pending = true;
                let claim = self.claim.acquire();
                self.spawn_wait(async move { RunnerSignal::Claimed(claim.await) });
            }
            RequestAction::Route { excluded, version } => {
                let query = RouteQuery {
                    job: &self.job,
                    excluded,
                    version,
                    attempt: self.attempts.next_number(),
                    released: self.wait.take_released(),
                };
                return Some(make_decision(&self.context, query));
            }
            RequestAction::Wait(pool) => {
                let end = self.wait.join(pool);
                self.spawn_wait(async move { RunnerSignal::WaitEnded(end.await) });
            }
            RequestAction::Dispatch {
                attempt,
                target,
                generation,
                ..
            } => return self.dispatch(attempt, target, generation),
            RequestAction::Resume {
                attempt,
                target,
                resume_from,
            } => self.attempts.start(attempt, target, resume_from),
            RequestAction::Cancel(attempt) => drop(self.attempts.remove(attempt)),
            RequestAction::StartHedgeTimer(delay) => {
                let timers = self.context.timers.clone();
                self.spawn_wait(async move {
                    timers.sleep(delay).await;
                    RunnerSignal::Event(RequestEvent::HedgeDue)
                });
            }
            RequestAction::Rate(attempt) => self.rate_attempt(attempt),
            RequestAction::Bill(attempt) => self.bill(attempt).await,
            RequestAction::CloseClaim(end) => self.close_claim(end).await,
            RequestAction::Deliver(attempt) => {
                if let Some(running) = self.attempts.remove(attempt) {
                    if self.rated != Some(attempt) {
                        self.rate_answer(&running);
                    }
                    self.deliver(running, timeout).await;
                }
            }
            RequestAction::DeliverStored => self.deliver_stored(timeout).await,
            RequestAction::Fail { reason, run } => {
                let error = self.describe_error(reason, run);
                self.channel.send_error(error, timeout).await;
            }
        }
        None
    }

    /// Sends the complete answer of an attempt to the caller, or ends its stream.
    async fn deliver(&mut self, running: RunningAttempt, timeout: Duration) {
        if self.channel.is_streaming() {
            return self.channel.end_stream(timeout).await;
        }
        if let Some(reply) = running.reply {
            let version = self.version_of(&running.target);
            self.attach_session_token(version.as_ref());
            self.channel.send_answer(reply, version.as_ref());
        }
    }

    /// Requests a rating of a delivered answer in the background.
    fn rate_answer(&self, running: &RunningAttempt) {
        let Some(version) = self.version_of(&running.target) else {
            return;
        };
        let body = running.reply.as_ref().map(|reply| &reply.body);
        let complete = body.and_then(|body| ChatText::decode(body));
        let text = complete
            .map(|text| text.text())
            .or_else(|| self.event_buffer.text());
        if let Some(text) = text {
            rate_in_background(&self.context, &self.job.route, &version, text);
        }
    }

    /// Sets the session token of the answer; a plain service has no version and gets none.
    fn attach_session_token(&mut self, version: Option<&VersionKey>) {
        let Some(version) = version else {
            return;
        };
        let session = self.job.session.as_ref();
        let workspace = &self.job.route.workspace;
        if let Some(token) = token_for_answer(&self.context, workspace, session, version) {
            self.channel.set_session_token(token);
        }
    }

    /// Sends the outcome that is stored with the claim, or an error if its body was not stored.
    async fn deliver_stored(&mut self, timeout: Duration) {
        if let Some((reply, version)) = self.claim.take_stored() {
            return self.channel.send_answer(reply, version.as_ref());
        }
        let message = "the request ran before; its answer was too large to be kept";
        let error = CallerError {
            run: RunState::Run,
            ..refuse(self.job.route.id, ErrorCode::Conflict, message)
        };
        self.channel.send_error(error, timeout).await;
    }

    /// Returns the version that an attempt uses; a plain service has none.
    fn version_of(&self, target: &RouteTarget) -> Option<VersionKey> {
        match self.job.work {
            RequestWork::Chat(_) => Some(target.version.clone()),
            RequestWork::Service(_) => None,
        }
    }

    /// Settles or releases the claim, depending on how the request ended.
    async fn close_claim(&mut self, end: ClaimEnd) {
        let running = match end {
            ClaimEnd::Answered(attempt) => self.attempts.get(attempt),
            ClaimEnd::Unknown | ClaimEnd::NotRun => None,
        };
        let reply = running.and_then(|running| running.reply.clone());
        let version = running.and_then(|running| self.version_of(&running.target));
        self.claim.close(end, reply.as_ref(), version).await;
    }

    /// Builds the error for a request without a complete answer. For an overloaded pool, the retry
    /// time is at least the expected wait in its queue.
    fn describe_error(&self, reason: FailureReason, run: RunState) -> CallerError {
        let error = describe_failure(self.job.route.id, reason, run);
        let overloaded = reason == FailureReason::Refused(RefusalReason::Overloaded);
        let expected_wait = self.wait.expected_wait().filter(|_| overloaded);
        let expected_wait = expected_wait.map(|time| time.as_millis() as u64);
        CallerError {
            retry_after_ms: error.retry_after_ms.max(expected_wait),
            ..error
        }
    }

    /// Starts an attempt, unless the configuration changed since the decision or the claim's
    /// dispatch window is over.
    fn dispatch(
        &mut self,
        attempt: AttemptNumber,
        target: RouteTarget,
        generation: ConfigGeneration,
    ) -> Option<RequestEvent> {
        if self.context.image.load().generation != generation {
            return Some(RequestEvent::DecisionStale { attempt });
        }
        if !self.claim.may_dispatch() {
            return Some(RequestEvent::AttemptFailed {
                attempt,
                failure: AttemptFailure::NotSent,
                delivered: 0,
            });
        }
        self.wait.forget_place();
        self.attempts.start(attempt, target, 0);
        None
    }

    /// Requests a rating of an attempt's answer and passes it to the state machine.
    fn rate_attempt(&mut self, attempt: AttemptNumber) {
        let running = self.attempts.get(attempt);
        let reply = running.and_then(|running| running.reply.clone());
        let context = self.context.clone();
        let id = self.job.route.id;
        let body = reply.map(|reply| reply.body).unwrap_or_default();
        let version = running.map(|running| running.target.version.clone());
        let job = self.job.clone();
        self.rated = Some(attempt);
        self.spawn_wait(async move {
            let rating = rate_answer(&context, id, &body).await;
            if let (Some(rating), Some(version)) = (rating, version) {
                report_rating(&context, &job.route, &version, rating);
            }
            RunnerSignal::Event(RequestEvent::Rated { rating })
        });
    }

    /// Records the usage of an attempt; returns when the ledger holds the record.
    async fn bill(&mut self, attempt: AttemptNumber) {
        let Some(running) = self.attempts.get(attempt) else {
            return;
        };
        let usage = running.reply.as_ref().map(|reply| reply.usage);
        let version = self.version_of(&running.target);
        bill_request(&self.context, &self.job, version, usage.unwrap_or_default()).await;
    }

    /// Awaits a future in its own task, which sends the result to the runner.
    fn spawn_wait(&mut self, wait: impl Future<Output = RunnerSignal> + Send + 'static) {
        let sender = self.signal_sender.clone();
        let task = tokio::spawn(async move {
            // A closed channel means that the request has ended.
            let _ = sender.send(wait.await);
        });
        self.wait_tasks.push(AbortOnDropHandle::new(task));
    }
}
