//! Sends a request to one backend server and reads its response until it can be delivered.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use galenamast::state::TimePoint;
use galenamast::transport::BoundedBody;
use http::{HeaderMap, Request, Response, StatusCode, header};
use http_body_util::Full;
use tokio::sync::watch;

use crate::coordination::liveness::ProbeResult;
use crate::coordination::memory::ResponseBound;
use crate::coordination::requests::{
    AttemptOutcome, HeadStatement, ResponseOrigin, check_statement, promises_not_run,
};
use crate::protocol::{AnswerHead, is_event_stream, strip_connection_headers};
use crate::state::ServerEntry;
use crate::transport::attempt_guard::AttemptGuard;
use crate::transport::connection_pool::BackendConnection;
use crate::transport::counted_body::{CountedBytes, add_reported, read_counted};
use crate::transport::event_intake::EventIntake;
use crate::transport::gateway_context::GatewayContext;
use crate::transport::host_memory::{MemoryKind, MemoryShare};
use crate::transport::response_body::ResponseBody;
use crate::transport::response_fault::ResponseFault;
use crate::transport::send_permit::SendPermit;
use crate::transport::server_demands::record_demand;
use crate::transport::server_watch::{record_byte, record_connection};

/// Largest number of bytes before the end of a stream's first event. One event may have a mebibyte.
const MAX_FIRST_BYTES: usize = 2 * 1_024 * 1_024;

/// One attempt to run a request on a backend server.
pub(crate) struct AttemptRequest {
    /// The server.
    pub(crate) server: ServerEntry,
    /// Number of the attempt, from 1.
    pub(crate) number: u32,
    /// Request for the server; `None` if its path cannot be encoded.
    pub(crate) request: Option<Request<Full<Bytes>>>,
    /// Identifier of the caller's request.
    pub(crate) identifier: Arc<str>,
    /// Whether a new connection must be opened, and none from the pool may be used.
    pub(crate) needs_new_connection: bool,
    /// Longest time for which a connection is opened.
    pub(crate) connect_timeout: Duration,
    /// Estimated work of the request, in seconds on a typical server.
    pub(crate) work: f64,
    /// Permit to send the request.
    pub(crate) permit: SendPermit,
    /// Events of the stream that the response begins or continues; `None` if it is not streamed.
    pub(crate) intake: Option<EventIntake>,
}

/// How far an attempt has come.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct AttemptStage {
    /// When the request was sent.
    pub(crate) sent_at: Option<TimePoint>,
    /// Whether the head of the response arrived.
    pub(crate) has_head: bool,
    /// When the request was sent, its head arrived, or a part of a response that is not streamed.
    pub(crate) progress_at: Option<TimePoint>,
    /// The head of a stream, before its first event.
    pub(crate) stream_head: Option<StreamHead>,
}

/// What the head of a stream states.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct StreamHead {
    /// Confidence of the model in its own response, in percent.
    pub(crate) confidence: Option<f64>,
    /// Time from sending the request to receiving the head.
    pub(crate) latency: Duration,
}

/// A response that can be delivered.
#[derive(Debug)]
pub(crate) enum SettledResponse {
    /// A stream whose first event was read.
    Stream(Box<OpenResponse>),
    /// A response that was read to its end.
    Whole(Box<WholeResponse>),
}

/// A response that is not streamed, and where it came from.
#[derive(Debug)]
pub(crate) struct WholeResponse {
    /// The response.
    pub(crate) response: CompleteResponse,
    /// Server that responded.
    pub(crate) server: ServerEntry,
    /// Time from sending the request to receiving the head.
    pub(crate) latency: Duration,
}

/// How an attempt ended that has no response to deliver.
#[derive(Debug)]
pub(crate) struct FailedAttempt {
    /// The outcome.
    pub(crate) outcome: AttemptOutcome,
    /// The server's own failure, if it was read to its end.
    pub(crate) response: Option<CompleteResponse>,
}

impl From<AttemptOutcome> for FailedAttempt {
    fn from(outcome: AttemptOutcome) -> Self {
        Self {
            outcome,
            response: None,
        }
    }
}

/// How an attempt ended.
pub(crate) type AttemptEnd = Result<SettledResponse, FailedAttempt>;

/// A response whose head was read and validated; its body is still to be read.
#[derive(Debug)]
pub(crate) struct OpenResponse {
    /// Server that responds.
    pub(crate) server: ServerEntry,
    /// Number of the attempt, from 1.
    pub(crate) number: u32,
    /// Status of the response.
    pub(crate) status: StatusCode,
    /// Headers to forward to the caller.
    pub(crate) headers: HeaderMap,
    /// Decoded head of the response.
    pub(crate) head: AnswerHead,
    // Bytes of the body that were read.
    first: Bytes,
    /// Body after these bytes.
    pub(crate) body: BoundedBody,
    /// Time from sending the request to receiving the head.
    pub(crate) latency: Duration,
    /// When the request was sent.
    pub(crate) sent_at: TimePoint,
    connection: BackendConnection,
    // Memory for the bytes that were read.
    share: MemoryShare,
    _guard: AttemptGuard,
}

/// A response whose body was read to its end.
#[derive(Clone, Debug)]
pub(crate) struct CompleteResponse {
    /// Status of the response.
    pub(crate) status: StatusCode,
    /// Headers to forward to the caller.
    pub(crate) headers: HeaderMap,
    /// Body of the response.
    pub(crate) body: CountedBytes,
}

impl OpenResponse {
    /// Reads the body of a response that is not streamed, and returns the connection to the pool.
    async fn read_to_end(
        self,
        context: &GatewayContext,
        stage: &watch::Sender<AttemptStage>,
    ) -> Result<CompleteResponse, ResponseFault> {
        let server = &self.server;
        let on_bytes = || record_progress(context, server, stage);
        let body = read_counted(context, self.body, on_bytes).await?;
        if !self.head.closes {
            context.pool.keep(self.connection, self.head.idle_limit);
        }
        Ok(CompleteResponse {
            status: self.status,
            headers: self.headers,
            body,
        })
    }

    /// Reads the body of a stream to the end of the first event that the caller lacks, or to its own end.
    async fn read_first_event(
        &mut self,
        context: &GatewayContext,
        mut intake: EventIntake,
        stage: &watch::Sender<AttemptStage>,
    ) -> Result<(), ResponseFault> {
        intake.begin_response();
        let mut first = BytesMut::new();
        let mut holds_events = false;
        while !intake.has_event() {
            let data = match self.body.data().await {
                Some(data) => data?,
                None if intake.finish() => break,
                None => return Err(ResponseFault::Broken),
            };
            record_byte(context, &self.server);
            let on_wait = || record_progress(context, &self.server, stage);
            add_reported(&mut self.share, data.len(), on_wait).await;
            let taken = intake.push(&data);
            if taken.events > 0 {
                record_progress(context, &self.server, stage);
            }
            first.extend_from_slice(&data);
            if let Some(fault) = taken.fault {
                return Err(fault);
            }
            if first.len() > MAX_FIRST_BYTES {
                return Err(ResponseFault::Bounded(ResponseBound::FirstEvent));
            }
            // The bytes are split into events once more when they are delivered.
            holds_events |= !intake.take_pending().is_empty();
            if !holds_events && intake.is_clear() {
                // Only events that the caller has.
                first.clear();
            }
            self.share.set(first.capacity() + intake.partial_bytes());
        }
        self.first = first.freeze();
        Ok(())
    }

    /// Takes the bytes of the body that were read.
    pub(crate) fn take_first(&mut self) -> Bytes {
        self.share.set(0);
        std::mem::take(&mut self.first)
    }

    /// Returns the connection to the pool; the body must have been read to its end.
    pub(crate) fn release_connection(self, context: &GatewayContext) {
        if !self.head.closes {
            context.pool.keep(self.connection, self.head.idle_limit);
        }
    }
}

impl CompleteResponse {
    /// Returns the response that forwards this one to the caller.
    pub(crate) fn into_response(self) -> Response<ResponseBody> {
        let mut response = Response::new(self.body.into_body());
        *response.status_mut() = self.status;
        *response.headers_mut() = self.headers;
        response
    }
}

/// Returns the time left until `deadline`.
pub(crate) fn remaining_time(context: &GatewayContext, deadline: TimePoint) -> Duration {
    deadline.since(context.now())
}

/// Records that a part of a response arrived.
fn record_progress(
    context: &GatewayContext,
    server: &ServerEntry,
    stage: &watch::Sender<AttemptStage>,
) {
    record_byte(context, server);
    let now = context.now();
    stage.send_modify(|stage| stage.progress_at = Some(now));
}

/// Sends a request to a server and reads its response until it can be delivered: to its end, or to that of
/// the first event of a stream.
pub(crate) async fn run_attempt(
    context: Arc<GatewayContext>,
    call: AttemptRequest,
    stage: watch::Sender<AttemptStage>,
) -> AttemptEnd {
    let (server, intake) = (call.server.clone(), call.intake.clone());
    let request = call.identifier.clone();
    let report = |fault: ResponseFault| fault.report(&context, &server, &request);
    let mut response = open_response(&context, call, &stage).await?;
    let latency = response.latency;
    match intake {
        None => {
            let status = response.status;
            let read = response.read_to_end(&context, &stage).await;
            let response = read.map_err(report)?;
            if status.is_server_error() || promises_not_run(status) {
                return Err(FailedAttempt {
                    outcome: AttemptOutcome::Failed,
                    response: Some(response),
                });
            }
            Ok(SettledResponse::Whole(Box::new(WholeResponse {
                response,
                server: server.clone(),
                latency,
            })))
        }
        Some(_) if !response.status.is_success() => {
            let read = response.read_to_end(&context, &stage).await;
            let response = read.map_err(report)?;
            Err(FailedAttempt {
                outcome: AttemptOutcome::Failed,
                response: Some(response),
            })
        }
        Some(_) if !is_event_stream(response.status, &response.headers) => {
            Err(AttemptOutcome::Garbled.into())
        }
        Some(intake) => {
            let confidence = response.head.confidence;
            let head = StreamHead {
                confidence,
                latency,
            };
            stage.send_modify(|stage| stage.stream_head = Some(head));
            // The head is judged before the first event, which may have arrived too.
            tokio::task::yield_now().await;
            let read = response.read_first_event(&context, intake, &stage).await;
            read.map_err(report)?;
            Ok(SettledResponse::Stream(Box::new(response)))
        }
    }
}

/// Sends a request to a server, and reads and validates the head of the response.
async fn open_response(
    context: &Arc<GatewayContext>,
    mut call: AttemptRequest,
    stage: &watch::Sender<AttemptStage>,
) -> Result<OpenResponse, AttemptOutcome> {
    let server = call.server.clone();
    let mut guard = AttemptGuard::new(context, &server, call.work);
    let mut connection = take_connection(context, &call).await?;
    let request = call.request.take().ok_or(AttemptOutcome::NotSent)?;
    call.permit
        .confirm()
        .map_err(|_| AttemptOutcome::Withheld)?;
    let sent_at = context.now();
    stage.send_modify(|stage| {
        (stage.sent_at, stage.progress_at) = (Some(sent_at), Some(sent_at));
    });
    let was_reused = connection.reused;
    let response = connection.send(request).await;
    let report = |error| ResponseFault::from(error).report(context, &server, &call.identifier);
    let response = response.map_err(report)?;
    let latency = context.now().since(sent_at);
    record_progress(context, &server, stage);
    stage.send_modify(|stage| stage.has_head = true);
    guard.mark_started();
    let (mut parts, body) = response.into_parts();
    let head = (context.format.read_answer)(parts.status, &parts.headers);
    let named = head.request.as_deref();
    let origin = ResponseOrigin::new(named, &call.identifier, was_reused);
    if let Some(stated_after) = origin.stated_after(sent_at) {
        record_demand(context, &server, &head, stated_after);
    }
    check_statement(origin, head_statement(&head, parts.status))?;
    strip_connection_headers(&mut parts.headers);
    parts.headers.remove(header::CONTENT_LENGTH);
    Ok(OpenResponse {
        server,
        number: call.number,
        status: parts.status,
        headers: parts.headers,
        head,
        first: Bytes::new(),
        body,
        latency,
        sent_at,
        connection,
        share: MemoryShare::new(&context.memory, MemoryKind::Streams),
        _guard: guard,
    })
}

/// Takes a connection to a server from the pool, or opens one.
async fn take_connection(
    context: &Arc<GatewayContext>,
    call: &AttemptRequest,
) -> Result<BackendConnection, AttemptOutcome> {
    let server = &call.server;
    let pooled = if call.needs_new_connection {
        None
    } else {
        context.pool.take(server.address)
    };
    if let Some(connection) = pooled {
        return Ok(connection);
    }
    let timeout = call.connect_timeout;
    context.metrics.increment("connections_total");
    let mut opened = BackendConnection::open_counted(context, server.address, timeout).await;
    let is_own = |error: &io::Error| ProbeResult::of_error(error) == ProbeResult::NotTried;
    if opened.as_ref().is_err_and(is_own) {
        // Idle connections hold what the host lacks.
        context.metrics.increment("own_connect_failures_total");
        context.pool.clear_all();
        opened = BackendConnection::open_counted(context, server.address, timeout).await;
    }
    let error = match opened {
        Ok(connection) => {
            context.reach().record_connected(&server.service);
            record_connection(context, server, ProbeResult::Accepted);
            return Ok(connection);
        }
        Err(error) => error,
    };
    match ProbeResult::of_error(&error) {
        ProbeResult::NotTried => Err(AttemptOutcome::NotTried),
        result => {
            record_connection(context, server, result);
            Err(AttemptOutcome::NotSent)
        }
    }
}

/// Returns what the head of a response states.
fn head_statement(head: &AnswerHead, status: StatusCode) -> HeadStatement {
    HeadStatement {
        wrong_server: head.wrong_server,
        not_run: head.not_run,
        is_deliverable: head.signed && !head.encoded && !status.is_informational(),
    }
}
