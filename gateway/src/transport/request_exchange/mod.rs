//! Runs one admitted request: attempts, retries, model cascades and the response to the caller.

mod attempt_plan;
mod attempt_start;
mod feedback;
mod live_attempts;
mod relay;
mod relayed_stream;
mod request_log;
mod server_attempts;
mod server_choice;
mod stream_source;

use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use galenamast::state::TimePoint;
use http::Response;
use http::request::Parts;

use crate::coordination::liveness::ServerVerdict;
use crate::coordination::requests::{
    AttemptLimits, AttemptOutcome, AttemptTally, FinalAnswer, promises_not_run,
};
use crate::protocol::{mark_unserved, take_relay_attempts};
use crate::state::{CallerHead, ConfigSnapshot, CrashSuspect, ServiceRoute};
use crate::transport::attempt_runner::{
    CompleteResponse, OpenResponse, SettledResponse, StreamHead, remaining_time,
};
use crate::transport::crash_reports::record_answer;
use crate::transport::event_intake::EventIntake;
use crate::transport::exchange_failure::ExchangeFailure;
use crate::transport::gateway_context::{GatewayContext, stable_hash};
use crate::transport::request_admission::{Admission, BufferedBody};
use crate::transport::request_exchange::attempt_plan::LeftServer;
use crate::transport::request_exchange::live_attempts::LiveAttempt;
use crate::transport::request_exchange::relay::RelayAnswer;
use crate::transport::request_exchange::server_attempts::{EndedAttempt, ExchangeOutcome};
use crate::transport::response_body::ResponseBody;
use crate::transport::stream_relay::StreamRelay;

pub(crate) use live_attempts::HANDOVER_TIME;
pub(crate) use relayed_stream::{RelayedResponse, RelayedStream};
pub(crate) use stream_source::StreamSource;

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
pub(crate) async fn hand_over<T, H>(
    opening: impl Future<Output = Result<T, ExchangeFailure>>,
    held: Option<H>,
    limit: Duration,
) -> (Result<T, ExchangeFailure>, Option<H>) {
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
    // Number of attempts that were begun.
    number: u32,
    // How the latest attempt ended.
    latest: Option<AttemptOutcome>,
    // The latest attempt that ended, until it is logged.
    ended: Option<EndedAttempt>,
    // Servers that may be asked once more.
    left: Vec<LeftServer>,
    // Whether no larger model is to answer any more.
    keeps_model: bool,
    // Whether a retry was taken from the budget that no request was sent for yet.
    has_grant: bool,
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
    // Servers that attempts were made at.
    asked: Vec<Arc<str>>,
    // Servers that stated that the request did not run.
    rejected_by: Vec<Arc<str>>,
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
            number: 0,
            latest: None,
            ended: None,
            left: Vec::new(),
            keeps_model: false,
            has_grant: false,
            attempt_events: 0,
            is_answered: false,
            is_relayed: head.relayed,
            tried: Vec::new(),
            asked: Vec::new(),
            rejected_by: Vec::new(),
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
            Ok(ExchangeAnswer::Stream(response)) => self.start_relay(response),
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
        let answered = self.open(None).await.map(|settled| match settled {
            SettledResponse::Stream(response) => ExchangeAnswer::Stream(response),
            SettledResponse::Whole(whole) => ExchangeAnswer::Whole(whole.response),
        });
        match answered {
            Err(end) if self.needs_relay(&end) || self.may_go_on_elsewhere(&end).await => {
                let outcome = match self.latest {
                    Some(latest) if self.tally.runs > 0 => latest,
                    _ if self.tally.arrivals > 0 => AttemptOutcome::Rejected,
                    _ => AttemptOutcome::NotSent,
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

    /// Opens a response. Runs a streamed request on a larger model if a smaller one reports too little
    /// confidence. A stream that is `resumed` goes on after its last event.
    pub(crate) async fn open(
        &mut self,
        resumed: Option<&EventIntake>,
    ) -> Result<SettledResponse, ExchangeFailure> {
        let mut doubted: Option<Box<LiveAttempt>> = None;
        let mut smaller = None;
        loop {
            let (settled, kept) =
                hand_over(self.settle(resumed), doubted.take(), DOUBTED_TIME).await;
            let settled = match (settled, kept) {
                (Ok(ExchangeOutcome::Settled(settled)), _) => settled,
                (Ok(ExchangeOutcome::Doubted(attempt, report, larger)), _) => {
                    self.note_doubted(&attempt, report);
                    smaller = self.model.replace(larger);
                    doubted = Some(attempt);
                    continue;
                }
                // A doubted response is better than none.
                (Err(end), Some(mut kept)) => {
                    self.model = smaller.take();
                    self.keep_left(&kept.server);
                    self.is_attempting = true;
                    let remaining = remaining_time(&self.context, self.deadline);
                    match tokio::time::timeout(remaining, kept.end()).await {
                        Ok(Ok(settled)) => {
                            self.attempt_events = 0;
                            return Ok(settled);
                        }
                        _ => return Err(end),
                    }
                }
                (Err(end), None) => return Err(end),
            };
            self.attempt_events = 0;
            match &settled {
                SettledResponse::Stream(response) => {
                    self.record_good_response(&response.server, response.latency);
                }
                SettledResponse::Whole(whole) => {
                    self.record_begun();
                    self.record_pace(&whole.server, whole.latency.as_secs_f64());
                    self.record_good_response(&whole.server, whole.latency);
                }
            }
            return Ok(settled);
        }
    }

    /// Records that a model's response is dropped for that of a larger one.
    fn note_doubted(&mut self, attempt: &LiveAttempt, report: StreamHead) {
        self.is_attempting = false;
        // The retry that the larger model is asked with was taken from the budget.
        self.has_grant = true;
        self.tally.tries += 1;
        self.tally.runs += 1;
        self.tally.arrivals += 1;
        let (server, outcome) = (&attempt.server, AttemptOutcome::Doubted);
        self.record_good_response(server, report.latency);
        self.log_attempt(
            server,
            attempt.number,
            outcome,
            report.latency,
            "larger model",
            None,
        );
        self.left.push(LeftServer {
            server: server.id.clone(),
            model: self.model.clone(),
            free_at: self.context.now() + DOUBTED_TIME,
            is_doubted: true,
        });
    }

    /// Keeps a server's failure for the caller. The server did not state that the request did not run, so
    /// a status that promises this is not passed on.
    fn keep_failure(&mut self, failure: CompleteResponse) {
        if !promises_not_run(failure.status) {
            self.last_failure = Some(failure);
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
    fn start_relay(mut self, response: Box<OpenResponse>) -> Response<ResponseBody> {
        self.head_latency = Some(self.context.now().since(self.started_at));
        // Another model would not continue this answer.
        self.left.retain(|left| left.model == self.model);
        let (status, headers) = (response.status, response.headers.clone());
        let body = StreamRelay::new(self, response).into_body();
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
