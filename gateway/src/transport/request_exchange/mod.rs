//! Runs one admitted request: attempts, retries, model cascades and the response to the caller.

mod feedback;
mod relay;
mod relayed_stream;
mod request_log;
mod server_attempts;
mod server_choice;

use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use galenamast::state::TimePoint;
use http::Response;
use http::request::Parts;

use crate::coordination::liveness::ServerVerdict;
use crate::coordination::requests::{
    AttemptLimits, AttemptOutcome, AttemptTally, FinalAnswer, NextStep, final_answer, next_step,
    promises_not_run,
};
use crate::protocol::{is_event_stream, mark_unserved, take_relay_attempts};
use crate::state::{
    CallerHead, ConfigSnapshot, CrashSuspect, RouteKind, ServerEntry, ServiceRoute,
};
use crate::transport::attempt_runner::{CompleteResponse, OpenResponse};
use crate::transport::crash_reports::record_answer;
use crate::transport::exchange_failure::ExchangeFailure;
use crate::transport::gateway_context::{GatewayContext, stable_hash};
use crate::transport::request_admission::{Admission, BufferedBody};
use crate::transport::request_exchange::relay::RelayAnswer;
use crate::transport::request_exchange::relayed_stream::RelayedStream;
use crate::transport::response_body::ResponseBody;
use crate::transport::stream_relay::StreamRelay;

pub(crate) use server_attempts::HANDOVER_TIME;

/// Largest number of attempts of one request, whether or not a server runs it.
const MAX_ATTEMPTS: u32 = 6;
/// Time left below which no further attempt is made.
const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(30);
/// Longest time for which a doubted response is held while one of a larger model is opened; a server that
/// refuses does so sooner.
const DOUBTED_TIME: Duration = Duration::from_millis(40);
/// Number of events after which a request is known not to crash the server that answers it. A server
/// that crashes sends a head and at most the beginning of the first event.
const ANSWERED_EVENTS: u64 = 2;
/// Urgency that engines assume if none is stated. 0 is served first; larger values are clamped to
/// this one.
const LOWEST_URGENCY: u8 = 9;

/// Opens a response that is to replace another one, which is held meanwhile for at most `limit`, so that
/// it can go on if the opening fails.
pub(crate) async fn hand_over(
    opening: impl Future<Output = Result<OpenResponse, ExchangeFailure>>,
    held: Option<OpenResponse>,
    limit: Duration,
) -> (Result<OpenResponse, ExchangeFailure>, Option<OpenResponse>) {
    let mut opening = pin!(opening);
    if held.is_some() {
        if let Ok(opened) = tokio::time::timeout(limit, &mut opening).await {
            return (opened, held);
        }
        drop(held);
    }
    (opening.await, None)
}

/// What a caller gets if a server has answered.
#[derive(Debug)]
enum ExchangeAnswer {
    /// The beginning of a stream.
    Stream(Box<OpenResponse>),
    /// A whole response.
    Whole(CompleteResponse),
    /// The response of another host.
    Relayed(RelayAnswer),
}

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
    // Whether the request is not sent on open connections any more.
    doubts_connections: bool,
    // Whether an attempt is in progress, which the tally does not count yet.
    is_attempting: bool,
    // Whether the end of the request was logged.
    has_ended: AtomicBool,
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
        let priority = workspace.and_then(|entry| entry.priority).unwrap_or(0);
        let passed_on = head
            .relayed
            .then(|| take_relay_attempts(&mut parts.headers));
        let attempts = passed_on.flatten().unwrap_or(route.attempts);
        Self {
            attempts: attempts.min(route.attempts),
            deadline: route.deadline(head.time_allowed, started_at),
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
            doubts_connections: false,
            is_attempting: false,
            has_ended: AtomicBool::new(false),
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
        let context = self.context.clone();
        let answered = tokio::select! {
            // Nothing is sent to a server any more once the last answers are given.
            biased;
            () = context.last_answers.cancelled() => Err(self.stop_now()),
            answered = self.answer() => answered,
        };
        match answered {
            Ok(ExchangeAnswer::Stream(response)) => self.start_relay(*response),
            Ok(ExchangeAnswer::Whole(response)) => {
                let tries = self.tally.tries + 1;
                self.log_end(response.status.as_u16(), "answered", tries, 0);
                response.into_response()
            }
            Ok(ExchangeAnswer::Relayed(RelayAnswer::Stream(source))) => {
                RelayedStream::start(self, *source)
            }
            Ok(ExchangeAnswer::Relayed(RelayAnswer::Whole(response))) => {
                self.log_end(response.status.as_u16(), "relayed", self.tally.tries, 0);
                response.into_response()
            }
            Err(end) => self.end(end),
        }
    }

    /// Makes attempts, here or by way of another host, until there is an answer for the caller.
    async fn answer(&mut self) -> Result<ExchangeAnswer, ExchangeFailure> {
        let answered = if self.route.kind == RouteKind::Stream {
            let opened = self.open_stream(None).await;
            opened.map(|response| ExchangeAnswer::Stream(Box::new(response)))
        } else {
            self.run_whole().await.map(ExchangeAnswer::Whole)
        };
        match answered {
            Err(end) if self.needs_relay(&end) => {
                let outcome = if self.tally.arrivals > 0 {
                    AttemptOutcome::Rejected
                } else {
                    AttemptOutcome::NotSent
                };
                self.is_attempting = true;
                let relayed = self.relay(outcome, None).await;
                self.is_attempting = false;
                relayed.map(ExchangeAnswer::Relayed)
            }
            answered => answered,
        }
    }

    /// Returns the outcome of a request that is in progress when the host gives its last answers.
    fn stop_now(&self) -> ExchangeFailure {
        let may_have_run = self.is_attempting || self.tally.runs > 0;
        match may_have_run {
            true => ExchangeFailure::HostResponse(FinalAnswer::TimedOut),
            false => ExchangeFailure::Stopping,
        }
    }

    /// Runs a request whose response is not streamed.
    async fn run_whole(&mut self) -> Result<CompleteResponse, ExchangeFailure> {
        loop {
            let response = self.open_response(None).await?;
            let server = response.server.clone();
            let (status, latency) = (response.status, response.latency);
            let read = response.read_to_end(&self.context, self.deadline).await;
            match read {
                Ok(whole) if !status.is_server_error() && !promises_not_run(status) => {
                    self.record_begun();
                    self.record_pace(&server, latency.as_secs_f64());
                    self.record_good_response(&server, latency);
                    return Ok(whole);
                }
                Ok(whole) => {
                    self.record_failed_response(&server);
                    self.keep_failure(whole);
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
        let mut doubted = None;
        let mut smaller = None;
        loop {
            let opening = self.open_response(resume_after);
            let (opened, kept) = hand_over(opening, doubted.take(), DOUBTED_TIME).await;
            let response = match (opened, kept) {
                (Ok(response), _) => response,
                // A doubted response is better than none.
                (Err(_), Some(kept)) => {
                    self.model = smaller;
                    return Ok(kept);
                }
                (Err(end), None) => return Err(end),
            };
            let (server, latency) = (response.server.clone(), response.latency);
            if !response.status.is_success() {
                self.record_failed_response(&server);
                match response.read_to_end(&self.context, self.deadline).await {
                    Ok(whole) => self.keep_failure(whole),
                    Err(outcome) => {
                        self.finish_attempt(&server, outcome, latency).await?;
                        continue;
                    }
                }
                self.finish_attempt(&server, AttemptOutcome::Failed, latency)
                    .await?;
                continue;
            }
            if !is_event_stream(response.status, &response.headers) {
                drop(response);
                self.finish_attempt(&server, AttemptOutcome::Garbled, latency)
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
            self.is_attempting = false;
            self.tally.tries += 1;
            self.tally.runs += 1;
            self.tally.arrivals += 1;
            self.log_attempt(&server, "doubted", latency, "larger model", None);
            smaller = self.model.replace(larger);
            doubted = Some(response);
        }
    }

    /// Keeps a server's failure for the caller. The server did not state that the request did not run, so
    /// a status that promises this is not passed on.
    fn keep_failure(&mut self, failure: CompleteResponse) {
        if !promises_not_run(failure.status) {
            self.last_failure = Some(failure);
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
        self.is_attempting = false;
        self.tally.note(outcome);
        self.doubts_connections |= outcome.doubts_connections();
        self.tried.push(server.id.clone());
        self.record_outcome(server, outcome).await;
        let limits = self.limits();
        let (step, denied) = match next_step(outcome, &self.tally, &limits) {
            NextStep::Retry(Some(purpose)) if !self.context.take_retry(&self.service, purpose) => {
                let end = NextStep::End(final_answer(outcome, &self.tally));
                (end, Some("budget"))
            }
            step @ NextStep::Retry(_) => (step, None),
            step @ NextStep::End(_) if outcome == AttemptOutcome::Silent => (step, None),
            step @ NextStep::End(_) if limits.retryable => (step, Some("attempts")),
            step @ NextStep::End(_) => (step, Some("repeat")),
        };
        let name = match step {
            NextStep::Retry(_) => "another server",
            NextStep::End(_) => "answer",
        };
        self.log_attempt(server, &format!("{outcome:?}"), latency, name, denied);
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
    /// request that must not run twice is not sent on one that may be closed already, or on which a
    /// refusal may belong to an earlier request.
    fn needs_new_connection(&self, server: &str) -> bool {
        !self.route.is_retryable()
            || self.doubts_connections
            || self.context.liveness().verdict(server) != ServerVerdict::Alive
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
        let tries = self.tally.tries + u32::from(self.is_attempting);
        self.log_end(response.status().as_u16(), outcome, tries, 0);
        if self.is_relayed && may_run_elsewhere {
            mark_unserved(response.headers_mut(), self.tally.arrivals);
        }
        response
    }
}
