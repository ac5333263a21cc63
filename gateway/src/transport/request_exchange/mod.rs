//! Runs one admitted request: attempts, retries, model cascades and the response to the caller.

mod feedback;
mod relay;
mod request_log;
mod server_choice;

use std::sync::Arc;
use std::time::Duration;

use galenamast::state::TimePoint;
use http::Response;
use http::request::Parts;

use crate::coordination::liveness::ServerVerdict;
use crate::coordination::requests::{
    AttemptLimits, AttemptOutcome, AttemptTally, FinalAnswer, NextStep, final_answer, next_step,
};
use crate::protocol::{mark_unserved, take_relay_attempts};
use crate::state::{
    AttemptHead, CallerHead, ConfigSnapshot, CrashSuspect, RouteKind, ServerEntry, ServiceRoute,
};
use crate::transport::attempt_runner::{
    AttemptRequest, CompleteResponse, OpenResponse, remaining_time, run_attempt,
};
use crate::transport::crash_reports::record_answer;
use crate::transport::exchange_failure::ExchangeFailure;
use crate::transport::gateway_context::{GatewayContext, stable_hash};
use crate::transport::request_admission::{Admission, BufferedBody};
use crate::transport::response_body::ResponseBody;
use crate::transport::send_permit::SendPermit;
use crate::transport::stream_relay::StreamRelay;

/// Largest number of attempts of one request, whether or not a server runs it.
const MAX_ATTEMPTS: u32 = 6;
/// Time before the caller's deadline at which the response is sent, so that it arrives in time.
const ANSWER_MARGIN: Duration = Duration::from_millis(15);
/// Time left below which no further attempt is made.
const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(30);
/// Number of events after which a request is known not to crash the server that answers it. A server
/// that crashes sends a head and at most the beginning of the first event.
const ANSWERED_EVENTS: u64 = 2;
/// Urgency that engines assume if none is stated. 0 is served first; larger values are clamped to
/// this one.
const LOWEST_URGENCY: u8 = 9;

/// One admitted request and the state of its attempts.
#[derive(Debug)]
pub(crate) struct RequestExchange {
    pub(crate) context: Arc<GatewayContext>,
    pub(crate) route: Arc<ServiceRoute>,
    pub(crate) request: Arc<str>,
    pub(crate) deadline: TimePoint,
    pub(crate) started_at: TimePoint,
    pub(crate) tally: AttemptTally,
    // Greatest number of servers that may run the request.
    attempts: u32,
    // Number of events that the server of the latest attempt has sent.
    pub(crate) attempt_events: u64,
    // Whether a server has sent enough of an answer to show that the request does not crash it.
    is_answered: bool,
    // Whether another host passed the request on to this one.
    is_relayed: bool,
    service: Arc<str>,
    snapshot: Arc<ConfigSnapshot>,
    parts: Parts,
    body: BufferedBody,
    head: CallerHead,
    workspace: Option<Arc<str>>,
    urgency: u8,
    session: u64,
    // What is held against the request if a server crashes with it.
    suspect: CrashSuspect,
    tried: Vec<Arc<str>>,
    model: Option<Arc<str>>,
    version: Option<Arc<str>>,
    last_failure: Option<CompleteResponse>,
    head_latency: Option<Duration>,
    // Predicted time to the first byte on a typical server.
    typical_first_byte: Duration,
    // Predicted seconds to the first byte on the chosen server.
    predicted_wait: f64,
    // Predicted seconds until the first of all servers begins; `None` until a server was found.
    earliest_start: Option<f64>,
    pub(crate) longest_gap: Duration,
    // A version on trial that failed this request; further attempts go to the version before it.
    avoided_version: Option<Arc<str>>,
    // Whether a server of the request was silent or out of reach. Its neighbours may be too, and an
    // open connection does not show it.
    met_silent_server: bool,
}

impl RequestExchange {
    /// Creates the exchange of an admitted request.
    pub(crate) fn new(
        context: Arc<GatewayContext>,
        admission: Admission,
        mut parts: Parts,
        body: BufferedBody,
        head: CallerHead,
        started_at: TimePoint,
    ) -> Self {
        let Admission {
            snapshot,
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
        let suspect = CrashSuspect::new(fingerprint, &head.parts);
        let target = route
            .pick_target(session >> 20)
            .map(|target| target.service.clone());
        let allowed = head
            .time_allowed
            .unwrap_or(route.timeout)
            .min(route.timeout);
        let priority = workspace.and_then(|entry| entry.priority).unwrap_or(0);
        let passed_on = head
            .relayed
            .then(|| take_relay_attempts(&mut parts.headers));
        let attempts = passed_on.flatten().unwrap_or(route.attempts);
        Self {
            attempts: attempts.min(route.attempts),
            deadline: started_at + allowed.saturating_sub(ANSWER_MARGIN),
            service: target.unwrap_or_default(),
            snapshot,
            model: route.models.first().filter(|_| head.any_model).cloned(),
            urgency: route.priority.saturating_add(priority).min(LOWEST_URGENCY),
            workspace: workspace_name,
            tally: AttemptTally::default(),
            attempt_events: 0,
            is_answered: false,
            is_relayed: head.relayed,
            tried: Vec::new(),
            version: None,
            last_failure: None,
            head_latency: None,
            typical_first_byte: Duration::ZERO,
            predicted_wait: 0.0,
            earliest_start: None,
            longest_gap: Duration::ZERO,
            avoided_version: None,
            met_silent_server: false,
            context,
            route,
            request,
            started_at,
            parts,
            body,
            head,
            session,
            suspect,
        }
    }

    /// Runs the request and returns the response for the caller.
    pub(crate) async fn run(mut self) -> Response<ResponseBody> {
        // The host that passed a request on has counted it.
        if !self.is_relayed {
            self.context.record_request(&self.service);
        }
        let end = if self.route.kind == RouteKind::Stream {
            match self.open_stream(None).await {
                Ok(response) => return self.start_relay(response),
                Err(end) => end,
            }
        } else {
            match self.run_whole().await {
                Ok(response) => {
                    let tries = self.tally.tries + 1;
                    self.log_end(response.status.as_u16(), "answered", tries, 0);
                    return response.into_response();
                }
                Err(end) => end,
            }
        };
        if self.needs_relay(&end) {
            return match self.relay().await {
                Ok(response) => response,
                Err(end) => self.end(end),
            };
        }
        self.end(end)
    }

    /// Runs a request whose response is not streamed.
    async fn run_whole(&mut self) -> Result<CompleteResponse, ExchangeFailure> {
        loop {
            let response = self.open_response(None).await?;
            let server = response.server.clone();
            let (status, latency) = (response.status, response.latency);
            let read = response.read_to_end(&self.context, self.deadline).await;
            match read {
                Ok(whole) if !status.is_server_error() => {
                    self.record_begun();
                    self.record_pace(&server, latency.as_secs_f64());
                    self.record_good_response(&server, latency);
                    return Ok(whole);
                }
                Ok(whole) => {
                    self.record_failed_response(&server);
                    self.last_failure = Some(whole);
                    self.finish_attempt(&server, AttemptOutcome::Failed, latency)
                        .await?;
                }
                Err(outcome) => self.finish_attempt(&server, outcome, latency).await?,
            }
        }
    }

    /// Opens a streamed response; runs the request on a larger model if a smaller one reports too
    /// little confidence. Events up to `resume_after` were delivered before.
    pub(crate) async fn open_stream(
        &mut self,
        resume_after: Option<u64>,
    ) -> Result<OpenResponse, ExchangeFailure> {
        loop {
            let response = self.open_response(resume_after).await?;
            let (server, latency) = (response.server.clone(), response.latency);
            if response.status.is_server_error() || response.status.is_client_error() {
                self.record_failed_response(&server);
                match response.read_to_end(&self.context, self.deadline).await {
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
            self.record_good_response(&server, latency);
            if resume_after.is_some() {
                return Ok(response);
            }
            let Some(larger) = self.choose_larger_model(&response) else {
                return Ok(response);
            };
            self.tally.tries += 1;
            self.tally.runs += 1;
            self.tally.arrivals += 1;
            self.log_attempt(&server, "doubted", latency, "larger model");
            self.model = Some(larger);
        }
    }

    /// Makes attempts until one yields a response with a valid head.
    async fn open_response(
        &mut self,
        resume_after: Option<u64>,
    ) -> Result<OpenResponse, ExchangeFailure> {
        loop {
            let now = self.context.now();
            if let Some(refusal) = self.context.crashes().refusal(&self.suspect, now) {
                return Err(ExchangeFailure::Quarantined(refusal));
            }
            if self.tally.runs == 0 && self.has_no_path() && self.has_peers() {
                return Err(ExchangeFailure::NoPath);
            }
            let remaining = remaining_time(&self.context, self.deadline);
            if remaining < MIN_ATTEMPT_TIME {
                let never_ran = self.tally.runs == 0;
                let end = if never_ran {
                    FinalAnswer::NotRun
                } else {
                    FinalAnswer::TimedOut
                };
                return Err(ExchangeFailure::HostResponse(end));
            }
            let Some(pick) = self.pick() else {
                return Err(self.no_server_left());
            };
            if self.is_overloaded(&pick, remaining) {
                return Err(ExchangeFailure::Overloaded);
            }
            let Ok(permit) = SendPermit::take(&self.context, &pick.server) else {
                // The choice and the permit must agree; if they ever do not, the next choice leaves the
                // server out, so that this loop ends.
                self.context.metrics.increment("permits_denied_total");
                self.tried.push(pick.server.id.clone());
                continue;
            };
            let server = pick.server.clone();
            let head_timeout = self.head_timeout(&server.id, remaining);
            self.log_choice(&pick);
            self.record_session(&server);
            self.record_read(&server);
            let sent_at = self.context.now();
            self.attempt_events = 0;
            let call = AttemptRequest {
                parts: &self.parts,
                body: &self.body.bytes,
                request: &self.request,
                needs_new_connection: self.needs_new_connection(&server.id),
                permit,
                suspect: &self.suspect,
                head_timeout,
                work: pick.work,
                time_left: remaining,
                expected_first_byte: self.expected_first_byte(),
                may_repeat: self.may_repeat(),
                head: AttemptHead {
                    server: server.id.clone(),
                    time_left: remaining,
                    workspace: self.workspace.clone(),
                    model: self.model.clone(),
                    urgency: Some(self.urgency).filter(|_| self.route.kind == RouteKind::Stream),
                    resume_after,
                },
            };
            match run_attempt(&self.context, &server, call).await {
                Ok(response) => return Ok(response),
                Err(outcome) => {
                    let latency = self.context.now().since(sent_at);
                    self.finish_attempt(&server, outcome, latency).await?;
                }
            }
        }
    }

    /// Records the end of an attempt without a usable response. Returns an error with the final
    /// outcome unless another attempt may follow.
    pub(crate) async fn finish_attempt(
        &mut self,
        server: &ServerEntry,
        outcome: AttemptOutcome,
        latency: Duration,
    ) -> Result<(), ExchangeFailure> {
        self.tally.note(outcome);
        self.met_silent_server |= outcome.leaves_doubt();
        self.tried.push(server.id.clone());
        self.record_outcome(server, outcome).await;
        let step = match next_step(outcome, &self.tally, &self.limits()) {
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

    /// Returns the limits on the attempts at servers.
    fn limits(&self) -> AttemptLimits {
        AttemptLimits {
            retryable: self.route.is_retryable(),
            runs: self.attempts,
            tries: MAX_ATTEMPTS,
        }
    }

    /// Returns whether the next attempt needs a new connection, which shows that its server is there. A
    /// request that must not run twice is not sent on one that may be closed already.
    fn needs_new_connection(&self, server: &str) -> bool {
        self.route.kind == RouteKind::Unsafe
            || self.met_silent_server
            || self.context.liveness().verdict(server) != ServerVerdict::Alive
    }

    /// Returns whether another attempt may follow one that may have run.
    fn may_repeat(&self) -> bool {
        self.route.is_retryable()
            && self.tally.runs + 1 < self.attempts
            && self.tally.tries + 1 < MAX_ATTEMPTS
    }

    /// Returns the final outcome when no server is left to try.
    fn no_server_left(&mut self) -> ExchangeFailure {
        self.log_denials();
        match self.last_failure.take() {
            Some(failure) => ExchangeFailure::ServerResponse(failure),
            None if self.tally.runs == 0 => ExchangeFailure::HostResponse(FinalAnswer::NotRun),
            None => ExchangeFailure::HostResponse(FinalAnswer::Unknown),
        }
    }

    /// Records that the server of the latest attempt sent an event.
    pub(crate) fn record_event(&mut self) {
        self.attempt_events += 1;
        if self.attempt_events >= ANSWERED_EVENTS {
            self.record_begun();
        }
    }

    /// Records that a server answers the request without crashing.
    pub(crate) fn record_begun(&mut self) {
        if !self.is_answered {
            self.is_answered = true;
            record_answer(&self.context, &self.suspect);
        }
    }

    /// Returns the caller's response to a stream, whose body relays the server's events.
    fn start_relay(mut self, response: OpenResponse) -> Response<ResponseBody> {
        self.head_latency = Some(self.context.now().since(self.started_at));
        let (status, headers) = (response.status, response.headers.clone());
        let resume_after = self.head.resume_after;
        let body = StreamRelay::new(self, response, resume_after).into_body();
        let mut response = Response::new(body);
        *response.status_mut() = status;
        *response.headers_mut() = headers;
        response
    }

    /// Logs the final outcome and returns the response for it.
    fn end(&self, end: ExchangeFailure) -> Response<ResponseBody> {
        let may_run_elsewhere = end.may_run_elsewhere();
        let (mut response, outcome) = end.into_response(&self.tally, self.retry_after());
        self.log_end(response.status().as_u16(), outcome, self.tally.tries, 0);
        if self.is_relayed && may_run_elsewhere {
            mark_unserved(response.headers_mut(), self.tally.arrivals);
        }
        response
    }
}
