//! Makes attempts at servers until one has a response to deliver. Those that are late go on beside the next
//! ones, as these may fail.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use galenamast::state::TimePoint;
use http::{HeaderValue, Request, header};
use http_body_util::Full;

use crate::coordination::budgets::RetryPurpose;
use crate::coordination::placement::ServerPick;
use crate::coordination::requests::{
    AttemptOutcome, ExchangeState, ExchangeStep, FinalAnswer, NextServers, exchange_step,
};
use crate::protocol::strip_connection_headers;
use crate::state::{AttemptHead, CrashSuspect, RouteKind, ServerEntry};
use crate::transport::attempt_runner::{
    AttemptEnd, AttemptRequest, SettledResponse, StreamHead, remaining_time,
};
use crate::transport::event_intake::EventIntake;
use crate::transport::exchange_failure::ExchangeFailure;
use crate::transport::gateway_context::GatewayContext;
use crate::transport::request_exchange::live_attempts::{
    AttemptEvent, HANDOVER_TIME, LiveAttempt, LiveAttempts, ResponseTimes,
};
use crate::transport::request_exchange::{MIN_ATTEMPT_TIME, RequestExchange};
use crate::transport::send_permit::SendPermit;
use crate::transport::stream_relay::stall_timeout;

/// A server that was left while it could still have responded, so that it may be asked again.
#[derive(Debug)]
pub(super) struct LeftServer {
    /// Identifier of the server.
    pub(super) server: Arc<str>,
    /// Model that it ran the request on.
    pub(super) model: Option<Arc<str>>,
    /// When its earlier response is no longer kept.
    pub(super) free_at: TimePoint,
    /// Whether its answer was dropped for that of a larger model, so that another one counts as a run.
    pub(super) is_doubted: bool,
}

/// An attempt that ended without a response and is not logged yet, since the next step is not known.
#[derive(Debug)]
pub(super) struct EndedAttempt {
    server: ServerEntry,
    number: u32,
    outcome: AttemptOutcome,
    latency: Duration,
}

/// What attempts yielded.
pub(super) enum ExchangeOutcome {
    /// A response to deliver.
    Settled(SettledResponse),
    /// A stream whose model reports too little confidence, and the larger model that is to run the request.
    Doubted(Box<LiveAttempt>, StreamHead, Arc<str>),
}

/// The next step of a request, with the server that it is sent to.
enum PlannedStep {
    /// Send the request to the server, which had it before if `is_return`.
    Send {
        pick: Box<ServerPick>,
        model: Option<Arc<str>>,
        is_return: bool,
    },
    Wait,
    End(ExchangeFailure),
}

impl RequestExchange {
    /// Makes attempts until one yields a response to deliver. It continues the stream of `resumed`, if there
    /// is one.
    pub(super) async fn settle(
        &mut self,
        resumed: Option<&EventIntake>,
    ) -> Result<ExchangeOutcome, ExchangeFailure> {
        let mut live = LiveAttempts::default();
        loop {
            match self.plan(&live) {
                PlannedStep::Send {
                    pick,
                    model,
                    is_return,
                } => {
                    self.model = model;
                    self.start_attempt(&pick, is_return, resumed, &mut live);
                    continue;
                }
                PlannedStep::Wait => {}
                PlannedStep::End(end) => return Err(end),
            }
            let hold_time = self.is_generated().then_some(HANDOVER_TIME);
            let context = self.context.clone();
            let begun_at = live.begun_at().unwrap_or(self.started_at);
            let event = tokio::select! {
                biased;
                () = wait_until_refused(&context, &self.suspect, begun_at) => None,
                event = live.next_event(&context, hold_time) => Some(event),
                () = context.timers.sleep_until(self.deadline) => None,
            };
            match event {
                Some(AttemptEvent::Late) => {
                    // Descriptors may have become free.
                    self.latest = self.latest.filter(|end| *end != AttemptOutcome::NotTried);
                }
                Some(AttemptEvent::StreamHead(index, head)) => {
                    let larger = match (resumed, head.confidence) {
                        (None, Some(percent)) => self.choose_larger_model(percent, live.count()),
                        _ => None,
                    };
                    if let Some(larger) = larger {
                        let attempt = Box::new(live.take(index));
                        self.supersede(&mut live);
                        return Ok(ExchangeOutcome::Doubted(attempt, head, larger));
                    }
                    // The engine has begun, so the ones that were asked in its place are not needed.
                    let replacing = live.take_after(index);
                    replacing.iter().for_each(|attempt| self.leave(attempt));
                }
                Some(AttemptEvent::HandedOver(attempt)) => self.leave(&attempt),
                Some(AttemptEvent::Ended(attempt, end)) => {
                    if let Some(response) = self.end_live(attempt, *end, &mut live).await {
                        return Ok(ExchangeOutcome::Settled(response));
                    }
                    if self.is_withdrawn(&live) {
                        return Err(self.give_up(&mut live, AttemptOutcome::Withdrawn).await);
                    }
                }
                None => {
                    let outcome = match self.is_withdrawn(&live) {
                        true => AttemptOutcome::Withdrawn,
                        false => AttemptOutcome::Silent,
                    };
                    return Err(self.give_up(&mut live, outcome).await);
                }
            }
        }
    }

    /// Returns the next step of the request. Takes a retry from the budget if one is needed.
    fn plan(&mut self, live: &LiveAttempts) -> PlannedStep {
        let state = ExchangeState {
            returned: live.returned(),
            has_waited: live.has_waited(self.context.now()),
            ..self.state(live.count(), live.in_time())
        };
        let tried: Vec<_> = self.tried.iter().cloned().chain(live.servers()).collect();
        let (mut step, mut denied) = self.choose(&state, &tried);
        if let PlannedStep::Send { .. } = step {
            let now = self.context.now();
            let refusal = self.context.crashes().refusal(&self.suspect, now);
            if let Some(refusal) = refusal {
                denied = Some("crashes");
                step = match live.is_empty() {
                    true => PlannedStep::End(ExchangeFailure::Quarantined(refusal)),
                    false => PlannedStep::Wait,
                };
            }
        }
        let (next, denied) = match &step {
            PlannedStep::Send { .. } => ("another server", None),
            PlannedStep::Wait => ("wait", denied),
            PlannedStep::End(_) => ("answer", denied),
        };
        self.log_ended(next, denied);
        step
    }

    /// Returns the state of the attempts, some of which are `in_progress` and of these some `in_time`.
    pub(super) fn state(&self, in_progress: u32, in_time: u32) -> ExchangeState {
        ExchangeState {
            tally: self.tally,
            limits: self.limits(),
            in_progress,
            in_time,
            returned: 0,
            has_waited: false,
            latest: self.latest,
            has_failure: self.last_failure.is_some(),
            has_time: remaining_time(&self.context, self.deadline) >= MIN_ATTEMPT_TIME,
        }
    }

    /// Chooses the next step and its server, which is not among those `tried`. Returns also why no other
    /// attempt is made.
    fn choose(
        &mut self,
        state: &ExchangeState,
        tried: &[Arc<str>],
    ) -> (PlannedStep, Option<&'static str>) {
        let mut servers = NextServers {
            untried: true,
            left: true,
            in_budget: true,
        };
        let mut denied = match state.limits.retryable {
            true => "attempts",
            false => "repeat",
        };
        loop {
            let (pick, is_retry) = match exchange_step(state, servers) {
                ExchangeStep::Ask { .. } if state.in_progress == 0 && self.needs_other_host() => {
                    return (PlannedStep::End(ExchangeFailure::NoPath), Some("path"));
                }
                ExchangeStep::Ask { is_retry } => {
                    let pick = self.find_server(tried);
                    (pick.map(|pick| (pick, self.model.clone(), false)), is_retry)
                }
                ExchangeStep::Return => {
                    let pick = self.pick_left(state.in_progress);
                    if pick.is_none() {
                        servers.left = false;
                        continue;
                    }
                    (pick.map(|(pick, model)| (pick, model, true)), true)
                }
                ExchangeStep::Wait => return (PlannedStep::Wait, Some(denied)),
                ExchangeStep::End(end) => {
                    if !servers.untried {
                        self.log_denials();
                    }
                    return (PlannedStep::End(self.failure(end)), Some(denied));
                }
            };
            let Some((pick, model, is_return)) = pick else {
                (servers.untried, denied) = (false, "servers");
                continue;
            };
            self.earliest_start = Some(pick.earliest_start);
            if state.in_progress == 0 && self.is_overloaded(&pick) {
                return (PlannedStep::End(ExchangeFailure::Overloaded), None);
            }
            if is_retry && !self.take_grant() {
                denied = "budget";
                servers.in_budget = false;
                continue;
            }
            let step = PlannedStep::Send {
                pick: Box::new(pick),
                model,
                is_return,
            };
            return (step, None);
        }
    }

    /// Takes a retry from the budget, unless one was taken that no request was sent for.
    pub(super) fn take_grant(&mut self) -> bool {
        self.has_grant = self.has_grant
            || self
                .context
                .take_retry(&self.service, RetryPurpose::Failure);
        self.has_grant
    }

    /// Takes a retry in place of the response of a server that is being read. Returns false if the route,
    /// the retry budget or the state of the other servers does not allow it.
    pub(crate) fn take_replacement(&mut self, server: &Arc<str>) -> bool {
        let mut tried = self.tried.clone();
        tried.push(server.clone());
        let state = self.state(1, 0);
        matches!(self.choose(&state, &tried), (PlannedStep::Send { .. }, _))
    }

    /// Picks a server that was left and whose earlier response is not kept any more, the latest one first.
    fn pick_left(&mut self, in_progress: u32) -> Option<(ServerPick, Option<Arc<str>>)> {
        let now = self.context.now();
        let may_run_more = self.tally.runs + in_progress < self.attempts;
        let may_return =
            |left: &&LeftServer| left.free_at <= now && (may_run_more || !left.is_doubted);
        let left = self.left.iter().rev().filter(may_return);
        let left: Vec<_> = left
            .map(|left| (left.server.clone(), left.model.clone()))
            .collect();
        let model = self.model.clone();
        let mut picked = None;
        for (server, left_model) in left {
            let others: Vec<_> = {
                let servers = self.context.servers();
                let serving = servers.serving(&self.service, now).into_iter();
                let ids = serving.map(|entry| entry.id.clone());
                ids.filter(|id| *id != server).collect()
            };
            self.model.clone_from(&left_model);
            if let Some(pick) = self.find_server(&others) {
                picked = Some((pick, left_model));
                break;
            }
        }
        self.model = model;
        picked
    }

    /// Records that the request is sent once more to a server that was left. Returns whether the tally
    /// counts the run already.
    fn return_to(&mut self, server: &ServerEntry) -> bool {
        self.context.metrics.increment("servers_asked_again_total");
        let is_returned = |left: &&LeftServer| left.server == server.id && left.model == self.model;
        let is_doubted = self
            .left
            .iter()
            .find(is_returned)
            .is_some_and(|left| left.is_doubted);
        self.keeps_model |= is_doubted;
        self.left.retain(|left| left.server != server.id);
        self.tried.retain(|tried| *tried != server.id);
        !is_doubted
    }

    /// Returns the outcome for the caller if no further attempt is made.
    pub(super) fn failure(&mut self, end: FinalAnswer) -> ExchangeFailure {
        let failure = self.last_failure.take();
        match (end, failure) {
            (FinalAnswer::ServerFailure, Some(failure)) => ExchangeFailure::ServerResponse(failure),
            (end, _) => ExchangeFailure::HostResponse(end),
        }
    }

    /// Starts an attempt at the server that was picked, beside those in progress.
    fn start_attempt(
        &mut self,
        pick: &ServerPick,
        is_return: bool,
        resumed: Option<&EventIntake>,
        live: &mut LiveAttempts,
    ) {
        let Ok(permit) = SendPermit::take(&self.context, &pick.server) else {
            // The choice and the permit must agree; if they ever do not, the next choice leaves the
            // server out, so that the attempts end.
            self.context.metrics.increment("permits_denied_total");
            self.tried.push(pick.server.id.clone());
            self.left.retain(|left| left.server != pick.server.id);
            return;
        };
        self.replace_late(live);
        self.record_pick(pick);
        let server = &pick.server;
        let is_return = is_return && self.return_to(server);
        self.number += 1;
        self.asked.push(server.id.clone());
        self.log_choice(pick);
        self.record_session(server);
        self.record_read(server);
        let remaining = remaining_time(&self.context, self.deadline);
        let times = self.response_times(&server.id);
        let is_last = live.count() + self.tally.runs + 1 >= self.attempts;
        let connect_timeout = match self.route.is_retryable() && !is_last {
            true => times.head.min(remaining),
            false => remaining,
        };
        let settings = &self.context.settings;
        let longest = settings.liveness.connect_timeout(remaining);
        let call = AttemptRequest {
            server: server.clone(),
            number: self.number,
            request: self.server_request(server, resumed, remaining),
            identifier: self.request.clone(),
            needs_new_connection: self.needs_new_connection(&server.id),
            connect_timeout: connect_timeout.min(longest).min(settings.connect_timeout),
            work: pick.work,
            permit,
            intake: (self.route.kind == RouteKind::Stream)
                .then(|| resumed.cloned().unwrap_or_else(|| self.new_intake())),
        };
        let mut attempt = LiveAttempt::start(&self.context, call, times, remaining);
        attempt.is_return = is_return;
        attempt.model.clone_from(&self.model);
        attempt.has_grant = std::mem::take(&mut self.has_grant);
        live.push(attempt);
        self.is_attempting = true;
    }

    /// Records that another server is asked in place of the latest attempt, if that is late.
    fn replace_late(&mut self, live: &mut LiveAttempts) {
        let Some(latest) = live.latest_mut() else {
            return;
        };
        let Some(outcome) = latest.late_outcome().filter(|_| !latest.is_replaced) else {
            return;
        };
        latest.replace();
        if outcome == AttemptOutcome::Lost {
            self.context.metrics.increment("attempts_ended_lost_total");
        }
        self.doubts_connections |= outcome.doubts_connections();
        self.record_late(&latest.server, outcome);
        let latency = self.context.now().since(latest.started_at);
        let (server, number) = (latest.server.clone(), latest.number);
        self.log_attempt(&server, number, outcome, latency, "another server", None);
    }

    /// Leaves the server of a replaced attempt, since another one has the request. It may be asked again if
    /// that one fails.
    fn leave(&mut self, attempt: &LiveAttempt) {
        let latency = self.context.now().since(attempt.started_at);
        let (server, number) = (&attempt.server, attempt.number);
        let outcome = AttemptOutcome::Left;
        self.note_end(attempt.is_return, server, outcome);
        self.note_left(server, Duration::ZERO);
        self.context.metrics.increment("servers_left_total");
        self.log_attempt(server, number, outcome, latency, "wait", None);
    }

    /// Records that a server was left whose response is kept for at most `kept_for`.
    pub(crate) fn note_left(&mut self, server: &ServerEntry, kept_for: Duration) {
        self.left.push(LeftServer {
            server: server.id.clone(),
            model: self.model.clone(),
            free_at: self.context.now() + kept_for,
            is_doubted: false,
        });
    }

    /// Takes back that a server was left, since its response goes on.
    pub(crate) fn keep_left(&mut self, server: &ServerEntry) {
        self.left.retain(|left| left.server != server.id);
        self.tried.retain(|tried| *tried != server.id);
        self.tally.take_back();
    }

    /// Handles the end of an attempt. Returns its response if that can be delivered.
    async fn end_live(
        &mut self,
        attempt: LiveAttempt,
        end: AttemptEnd,
        live: &mut LiveAttempts,
    ) -> Option<SettledResponse> {
        let latency = self.context.now().since(attempt.started_at);
        // A retry that was not sent is left for the next attempt.
        self.has_grant |= attempt.has_grant && attempt.sent_at().is_none();
        let failure = match end {
            Ok(response) => {
                if attempt.is_replaced {
                    self.context
                        .metrics
                        .increment("replaced_attempts_answered_total");
                }
                self.supersede(live);
                self.model = attempt.model;
                self.latest = None;
                return Some(response);
            }
            Err(failure) => failure,
        };
        if failure.outcome == AttemptOutcome::Failed {
            self.record_failed_response(&attempt.server);
        }
        if let Some(response) = failure.response {
            self.keep_failure(response);
        }
        if self.is_generated() {
            // What follows from the failure may take longer than two engines may work on the request.
            let replaced = live.take_replaced();
            replaced.iter().for_each(|attempt| self.leave(attempt));
        }
        let (server, number) = (&attempt.server, attempt.number);
        let outcome = failure.outcome;
        self.note_end(attempt.is_return, server, outcome);
        self.record_outcome(server, outcome).await;
        self.log_ended("wait", None);
        self.ended = Some(EndedAttempt {
            server: server.clone(),
            number,
            outcome,
            latency,
        });
        self.is_attempting = !live.is_empty();
        None
    }

    /// Ends all other attempts, since one is answered.
    fn supersede(&mut self, others: &mut LiveAttempts) {
        for other in others.take_all() {
            let outcome = other.given_up(AttemptOutcome::Superseded);
            let latency = self.context.now().since(other.started_at);
            self.note_end(other.is_return, &other.server, outcome);
            let (server, number) = (&other.server, other.number);
            self.log_attempt(server, number, outcome, latency, "answer", None);
        }
    }

    /// Records the end of a response that is being read. It is logged with the next step.
    pub(crate) async fn end_response(
        &mut self,
        server: &ServerEntry,
        number: u32,
        outcome: AttemptOutcome,
        latency: Duration,
    ) {
        self.note_end(false, server, outcome);
        self.record_outcome(server, outcome).await;
        self.ended = Some(EndedAttempt {
            server: server.clone(),
            number,
            outcome,
            latency,
        });
    }

    /// Counts an attempt that ended; `is_return` states whether its server was counted before.
    fn note_end(&mut self, is_return: bool, server: &ServerEntry, outcome: AttemptOutcome) {
        match is_return {
            true => self.tally.note_again(outcome),
            false => self.tally.note(outcome),
        }
        self.latest = Some(outcome);
        self.doubts_connections |= outcome.doubts_connections();
        self.tried.push(server.id.clone());
        if outcome == AttemptOutcome::Rejected {
            self.rejected_by.push(server.id.clone());
        }
    }

    /// Logs the latest attempt that ended, if it is not logged yet.
    pub(crate) fn log_ended(&mut self, next: &'static str, denied: Option<&'static str>) {
        if let Some(ended) = self.ended.take() {
            let (server, outcome) = (&ended.server, ended.outcome);
            self.log_attempt(server, ended.number, outcome, ended.latency, next, denied);
        }
    }

    /// Gives up all attempts, and returns the outcome for the caller.
    async fn give_up(
        &mut self,
        live: &mut LiveAttempts,
        outcome: AttemptOutcome,
    ) -> ExchangeFailure {
        for attempt in live.take_all() {
            let latency = self.context.now().since(attempt.started_at);
            let (server, outcome) = (&attempt.server, attempt.given_up(outcome));
            self.note_end(attempt.is_return, server, outcome);
            // That a replaced attempt was late is known.
            if !attempt.is_replaced {
                self.record_outcome(server, outcome).await;
            }
            self.log_attempt(server, attempt.number, outcome, latency, "answer", None);
        }
        self.is_attempting = false;
        let state = ExchangeState {
            has_time: false,
            ..self.state(0, 0)
        };
        let servers = NextServers {
            untried: false,
            left: false,
            in_budget: false,
        };
        let end = match exchange_step(&state, servers) {
            ExchangeStep::End(end) => end,
            _ => FinalAnswer::Unknown,
        };
        match outcome {
            AttemptOutcome::Withdrawn if end == FinalAnswer::TimedOut => {
                ExchangeFailure::HostResponse(FinalAnswer::Unknown)
            }
            _ => self.failure(end),
        }
    }

    /// Returns whether the prompt of the attempts in progress must run nowhere any more.
    fn is_withdrawn(&self, live: &LiveAttempts) -> bool {
        let now = self.context.now();
        let begun_at = live.begun_at();
        let crashes = self.context.crashes();
        begun_at.is_some_and(|begun_at| {
            crashes.is_refused_since(&self.suspect, begun_at)
                || crashes.is_request_refused(&self.suspect, now)
        })
    }

    /// Returns whether the request generates a response on an engine, two of which may not work on it.
    fn is_generated(&self) -> bool {
        self.route.kind == RouteKind::Stream || self.head.prompt_tokens > 0
    }

    /// Returns the time that the parts of a server's response may take.
    fn response_times(&self, server: &str) -> ResponseTimes {
        // A route may state a goal of zero.
        let head = self.head_timeout(server).max(MIN_ATTEMPT_TIME);
        let rest = match self.route.kind {
            RouteKind::Stream => stall_timeout(&self.route),
            RouteKind::Safe | RouteKind::Unsafe => head,
        };
        ResponseTimes {
            head,
            rest,
            first_byte: self.expected_first_byte(),
        }
    }

    /// Returns the intake of a stream that begins.
    pub(crate) fn new_intake(&self) -> EventIntake {
        EventIntake::new(self.head.resume_after, self.route.resumable)
    }

    /// Builds the request for a server; `None` if its host or path cannot be encoded.
    fn server_request(
        &self,
        server: &ServerEntry,
        resumed: Option<&EventIntake>,
        time_left: Duration,
    ) -> Option<Request<Full<Bytes>>> {
        let head = AttemptHead {
            server: server.id.clone(),
            time_left,
            workspace: self.workspace.clone(),
            model: self.model.clone(),
            urgency: Some(self.urgency).filter(|_| self.route.kind == RouteKind::Stream),
            resume_after: resumed.and_then(|intake| intake.order().last_id()),
        };
        let mut headers = self.parts.headers.clone();
        strip_connection_headers(&mut headers);
        headers.remove(header::CONTENT_LENGTH);
        headers.remove(header::EXPECT);
        (self.context.format.write_attempt)(&mut headers, &head);
        if !headers.contains_key(header::HOST) {
            let host = HeaderValue::from_str(&server.address.to_string()).ok()?;
            headers.insert(header::HOST, host);
        }
        let path = self.parts.uri.path_and_query();
        let path = path.map_or("/", |path| path.as_str());
        let mut request = Request::new(Full::new(self.body.bytes.clone()));
        *request.method_mut() = self.parts.method.clone();
        *request.uri_mut() = path.parse().ok()?;
        *request.headers_mut() = headers;
        Some(request)
    }
}

/// Waits until a part of a prompt that was sent at `sent_at` is refused.
async fn wait_until_refused(context: &GatewayContext, suspect: &CrashSuspect, sent_at: TimePoint) {
    let mut refusals = context.parts_refused.subscribe();
    while !context.crashes().is_refused_since(suspect, sent_at) {
        if refusals.changed().await.is_err() {
            // The sender lives as long as the context.
            return std::future::pending().await;
        }
    }
}
