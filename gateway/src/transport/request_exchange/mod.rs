//! The course of one request: attempts, cascades and the answer to the caller.

mod feedback;
mod request_log;
mod server_choice;

use std::sync::Arc;
use std::time::Duration;

use galenamast::state::TimePoint;
use http::Response;
use http::request::Parts;

use crate::coordination::requests::{
    AttemptLimits, AttemptOutcome, AttemptTally, FinalAnswer, NextStep, final_answer, next_step,
};
use crate::state::{AttemptHead, CallerHead, ConfigSnapshot, RouteKind, ServerEntry, ServiceRoute};
use crate::transport::attempt_runner::{
    AttemptRequest, CompleteResponse, OpenResponse, remaining_time, run_attempt,
};
use crate::transport::exchange_failure::ExchangeFailure;
use crate::transport::gateway_context::{GatewayContext, stable_hash};
use crate::transport::request_admission::{Admission, BufferedBody};
use crate::transport::response_body::ResponseBody;
use crate::transport::stream_relay::StreamRelay;

/// Servers that are asked for one request at most, whether they run it or not.
const MAX_SERVERS_ASKED: u32 = 6;
/// Time before the deadline at which the caller is answered, so that the answer arrives.
const ANSWER_MARGIN: Duration = Duration::from_millis(15);
/// Shortest time left in which another attempt is of use.
const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(30);
/// Urgency that engines take if none is stated; ranks beyond it are cut.
const LOWEST_URGENCY: u8 = 9;

/// One request.
#[derive(Debug)]
pub(crate) struct RequestExchange {
    pub(crate) context: Arc<GatewayContext>,
    pub(crate) route: Arc<ServiceRoute>,
    pub(crate) request: Arc<str>,
    pub(crate) deadline: TimePoint,
    pub(crate) started_at: TimePoint,
    pub(crate) tally: AttemptTally,
    service: Arc<str>,
    image: Arc<ConfigSnapshot>,
    parts: Parts,
    body: BufferedBody,
    head: CallerHead,
    workspace: Option<Arc<str>>,
    urgency: u8,
    session: u64,
    fingerprint: u64,
    tried: Vec<Arc<str>>,
    model: Option<Arc<str>>,
    version: Option<Arc<str>>,
    last_failure: Option<CompleteResponse>,
    head_latency: Option<Duration>,
    // Time to the first byte that an ordinary server was predicted to take.
    predicted: Duration,
    // Seconds to the first byte that the chosen server was predicted to take.
    wait: f64,
    pub(crate) longest_pause: Duration,
    // A version on trial that failed the request, which goes to the one before.
    avoided_version: Option<Arc<str>>,
}

impl RequestExchange {
    /// Creates the course of an admitted request.
    pub(crate) fn new(
        context: Arc<GatewayContext>,
        admission: Admission,
        parts: Parts,
        body: BufferedBody,
        head: CallerHead,
        started_at: TimePoint,
    ) -> Self {
        let Admission {
            image,
            route,
            workspace,
        } = admission;
        let request = head.request.clone().unwrap_or_default();
        let session = match (&head.session, head.parts.last()) {
            (Some(session), _) => stable_hash(&[session.as_bytes()]),
            (None, Some(part)) => stable_hash(&[&part.digest.to_le_bytes()]),
            (None, None) => stable_hash(&[request.as_bytes()]),
        };
        let workspace_name = workspace.as_ref().map(|entry| entry.name.clone());
        let path = parts.uri.path().as_bytes();
        let name = workspace_name.as_deref().unwrap_or_default().as_bytes();
        let fingerprint = stable_hash(&[path, name, &body.bytes]);
        let target = route
            .pick_target(session >> 20)
            .map(|target| target.service.clone());
        let allowed = head
            .time_allowed
            .unwrap_or(route.timeout)
            .min(route.timeout);
        let priority = workspace.and_then(|entry| entry.priority).unwrap_or(0);
        Self {
            deadline: started_at + allowed.saturating_sub(ANSWER_MARGIN),
            service: target.unwrap_or_default(),
            image,
            model: route.models.first().filter(|_| head.any_model).cloned(),
            urgency: route.priority.saturating_add(priority).min(LOWEST_URGENCY),
            workspace: workspace_name,
            tally: AttemptTally::default(),
            tried: Vec::new(),
            version: None,
            last_failure: None,
            head_latency: None,
            predicted: Duration::ZERO,
            wait: 0.0,
            longest_pause: Duration::ZERO,
            avoided_version: None,
            context,
            route,
            request,
            started_at,
            parts,
            body,
            head,
            session,
            fingerprint,
        }
    }

    /// Runs the request and returns the answer for the caller.
    pub(crate) async fn run(mut self) -> Response<ResponseBody> {
        self.context.record_request(&self.service);
        if self.route.kind == RouteKind::Stream {
            return match self.open_stream(None).await {
                Ok(answer) => self.start_relay(answer),
                Err(end) => self.end(end),
            };
        }
        match self.run_whole().await {
            Ok(answer) => {
                self.log_end(answer.status.as_u16(), "answered", self.tally.tries + 1, 0);
                answer.into_response()
            }
            Err(end) => self.end(end),
        }
    }

    /// Runs a request with a whole answer.
    async fn run_whole(&mut self) -> Result<CompleteResponse, ExchangeFailure> {
        loop {
            let answer = self.open_answer(None).await?;
            let server = answer.server.clone();
            let (status, latency) = (answer.status, answer.latency);
            let read = answer.read_to_end(&self.context, self.deadline).await;
            match read {
                Ok(whole) if !status.is_server_error() => {
                    self.note_good_response(&server, latency);
                    return Ok(whole);
                }
                Ok(whole) => {
                    self.note_failed_answer(&server);
                    self.last_failure = Some(whole);
                    self.finish_attempt(&server, AttemptOutcome::Failed, latency)
                        .await?;
                }
                Err(outcome) => self.finish_attempt(&server, outcome, latency).await?,
            }
        }
    }

    /// Opens a streamed answer, with a larger model if the smaller one doubts its answer.
    pub(crate) async fn open_stream(
        &mut self,
        resume_after: Option<u64>,
    ) -> Result<OpenResponse, ExchangeFailure> {
        loop {
            let answer = self.open_answer(resume_after).await?;
            let (server, latency) = (answer.server.clone(), answer.latency);
            if answer.status.is_server_error() || answer.status.is_client_error() {
                self.note_failed_answer(&server);
                match answer.read_to_end(&self.context, self.deadline).await {
                    Ok(whole) => self.last_failure = Some(whole),
                    Err(outcome) => {
                        self.finish_attempt(&server, outcome, latency).await?;
                        continue;
                    }
                }
                self.finish_attempt(&server, AttemptOutcome::Failed, latency)
                    .await?;
                continue;
            }
            self.note_good_response(&server, latency);
            if resume_after.is_none() && self.should_cascade(&answer) {
                self.tally.tries += 1;
                self.tally.runs += 1;
                self.log_attempt(&server, "doubted", latency, "larger model");
                self.model = self.route.models.last().cloned();
                continue;
            }
            return Ok(answer);
        }
    }

    /// Sends attempts until one answers with a head that is the server's.
    async fn open_answer(
        &mut self,
        resume_after: Option<u64>,
    ) -> Result<OpenResponse, ExchangeFailure> {
        loop {
            if self
                .context
                .crashes()
                .is_quarantined(self.fingerprint, self.context.now())
            {
                return Err(ExchangeFailure::Quarantined);
            }
            let left = remaining_time(&self.context, self.deadline);
            if left < MIN_ATTEMPT_TIME {
                let is_unsent = self.tally.runs == 0;
                let end = if is_unsent {
                    FinalAnswer::NotRun
                } else {
                    FinalAnswer::TimedOut
                };
                return Err(ExchangeFailure::HostResponse(end));
            }
            let Some(pick) = self.pick() else {
                return Err(self.no_server_left());
            };
            let server = pick.server.clone();
            let head_timeout = self.head_timeout(left);
            self.log_choice(&pick);
            self.record_session(&server);
            self.record_read(&server);
            let sent_at = self.context.now();
            let call = AttemptRequest {
                parts: &self.parts,
                body: &self.body.bytes,
                request: &self.request,
                needs_new_connection: self.route.kind == RouteKind::Unsafe,
                head_timeout,
                work: pick.work,
                head: AttemptHead {
                    server: server.id.clone(),
                    time_left: left,
                    workspace: self.workspace.clone(),
                    model: self.model.clone(),
                    urgency: Some(self.urgency).filter(|_| self.route.kind == RouteKind::Stream),
                    resume_after,
                },
            };
            match run_attempt(&self.context, &server, call).await {
                Ok(answer) => return Ok(answer),
                Err(outcome) => {
                    let latency = self.context.now().since(sent_at);
                    self.finish_attempt(&server, outcome, latency).await?;
                }
            }
        }
    }

    /// Takes in the end of an attempt; returns if another one may follow.
    pub(crate) async fn finish_attempt(
        &mut self,
        server: &ServerEntry,
        outcome: AttemptOutcome,
        latency: Duration,
    ) -> Result<(), ExchangeFailure> {
        self.tally.note(outcome);
        self.tried.push(server.id.clone());
        self.record_outcome(server, outcome).await;
        let limits = AttemptLimits {
            retryable: self.route.is_retryable(),
            runs: self.route.attempts,
            tries: MAX_SERVERS_ASKED,
        };
        let step = match next_step(outcome, &self.tally, &limits) {
            NextStep::Retry(Some(purpose)) if !self.context.take_retry(&self.service, purpose) => {
                NextStep::End(final_answer(outcome, &self.tally))
            }
            step => step,
        };
        let name = match step {
            NextStep::Retry(_) => "another server",
            NextStep::End(_) => "answer",
        };
        self.log_attempt(server, &format!("{outcome:?}"), latency, name);
        match step {
            NextStep::Retry(_) => Ok(()),
            NextStep::End(FinalAnswer::ServerFailure) => Err(match self.last_failure.take() {
                Some(failure) => ExchangeFailure::ServerResponse(failure),
                None => ExchangeFailure::HostResponse(FinalAnswer::Unknown),
            }),
            NextStep::End(end) => Err(ExchangeFailure::HostResponse(end)),
        }
    }

    /// Tells the end when no server is left to ask.
    fn no_server_left(&mut self) -> ExchangeFailure {
        match self.last_failure.take() {
            Some(failure) => ExchangeFailure::ServerResponse(failure),
            None if self.tally.runs == 0 => ExchangeFailure::HostResponse(FinalAnswer::NotRun),
            None => ExchangeFailure::HostResponse(FinalAnswer::Unknown),
        }
    }

    /// Starts to pass the events of an answer on.
    fn start_relay(mut self, answer: OpenResponse) -> Response<ResponseBody> {
        self.head_latency = Some(self.context.now().since(self.started_at));
        let (status, headers) = (answer.status, answer.headers.clone());
        let resume_after = self.head.resume_after;
        let body = StreamRelay::new(self, answer, resume_after).into_body();
        let mut response = Response::new(body);
        *response.status_mut() = status;
        *response.headers_mut() = headers;
        response
    }

    /// Answers the caller when no server's answer is delivered.
    fn end(&self, end: ExchangeFailure) -> Response<ResponseBody> {
        let (response, outcome) = end.into_response(&self.tally);
        self.log_end(response.status().as_u16(), outcome, self.tally.tries, 0);
        response
    }
}
