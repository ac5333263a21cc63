//! Sends a request to one backend server and validates the head of the response.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use galenamast::state::TimePoint;
use http::request::Parts;
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode, header};
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::sync::Notify;

use crate::coordination::liveness::ProbeResult;
use crate::coordination::requests::{
    AttemptOutcome, HeadStatement, ResponseOrigin, check_statement,
};
use crate::protocol::{AnswerHead, strip_connection_headers};
use crate::state::{AttemptHead, CrashSuspect, ServerEntry};
use crate::transport::attempt_guard::AttemptGuard;
use crate::transport::connection_pool::BackendConnection;
use crate::transport::counted_body::{CountedBytes, read_counted};
use crate::transport::gateway_context::GatewayContext;
use crate::transport::response_body::ResponseBody;
use crate::transport::send_permit::SendPermit;
use crate::transport::server_demands::record_demand;
use crate::transport::server_watch::{ServerWatch, record_byte, record_connection};

/// One attempt to run a request on a backend server.
pub(crate) struct AttemptRequest<'a> {
    /// Head of the caller's request.
    pub(crate) parts: &'a Parts,
    /// Body of the caller's request.
    pub(crate) body: &'a Bytes,
    /// Identifier of the caller's request.
    pub(crate) request: &'a Arc<str>,
    /// Headers that the host adds.
    pub(crate) head: AttemptHead,
    /// Whether a new connection must be opened, and none from the pool may be used.
    pub(crate) needs_new_connection: bool,
    /// Estimated work of the request, in seconds on a typical server.
    pub(crate) work: f64,
    /// Permit to send the request.
    pub(crate) permit: SendPermit,
    /// What is held against the request if the server crashes.
    pub(crate) suspect: &'a CrashSuspect,
    /// Time without the head of the response after which another server is tried if that is allowed.
    pub(crate) head_timeout: Duration,
    /// Time left for the request.
    pub(crate) time_left: Duration,
    /// Expected time to the first byte.
    pub(crate) expected_first_byte: Duration,
    /// Takes a retry in place of this attempt; returns false if none is allowed.
    pub(crate) take_replacement: &'a (dyn Fn() -> bool + Sync),
    /// Notified when the request is sent.
    pub(crate) sent: &'a Notify,
}

/// A response whose head was read and validated; its body is still to be read.
#[derive(Debug)]
pub(crate) struct OpenResponse {
    /// Server that responds.
    pub(crate) server: ServerEntry,
    /// Status of the response.
    pub(crate) status: StatusCode,
    /// Headers to forward to the caller.
    pub(crate) headers: HeaderMap,
    /// Decoded head of the response.
    pub(crate) head: AnswerHead,
    /// Body, not read yet.
    pub(crate) body: Incoming,
    /// Time from sending the request to receiving the head.
    pub(crate) latency: Duration,
    /// When the request was sent.
    pub(crate) sent_at: TimePoint,
    connection: BackendConnection,
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
    pub(crate) async fn read_to_end(
        self,
        context: &Arc<GatewayContext>,
        deadline: TimePoint,
    ) -> Result<CompleteResponse, AttemptOutcome> {
        let reading = read_counted(context, self.body);
        let remaining = remaining_time(context, deadline);
        let read = tokio::time::timeout(remaining, reading).await;
        let body = read.map_err(|_| AttemptOutcome::Silent)??;
        if !self.head.closes {
            context.pool.keep(self.connection, self.head.idle_limit);
        }
        Ok(CompleteResponse {
            status: self.status,
            headers: self.headers,
            body,
        })
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

/// What a connection returned for a request.
type ReceivedHead = (BackendConnection, hyper::Result<Response<Incoming>>);

/// A request that a server has, and whose response has not begun.
pub(crate) struct PendingAttempt {
    /// The server.
    pub(crate) server: ServerEntry,
    /// When the request was sent.
    pub(crate) sent_at: TimePoint,
    request: Arc<str>,
    was_reused: bool,
    sending: Pin<Box<dyn Future<Output = ReceivedHead> + Send>>,
    guard: AttemptGuard,
}

impl PendingAttempt {
    /// Waits for the head of the response; must not be called again once it has arrived.
    pub(crate) async fn receive(&mut self) -> ReceivedHead {
        self.sending.as_mut().await
    }

    /// Validates the head of the response.
    pub(crate) fn accept(
        mut self,
        context: &Arc<GatewayContext>,
        received: ReceivedHead,
    ) -> Result<OpenResponse, AttemptOutcome> {
        let (connection, response) = received;
        let response = response.map_err(|_| AttemptOutcome::Broken)?;
        let latency = context.now().since(self.sent_at);
        record_byte(context, &self.server);
        self.guard.mark_started();
        let (mut parts, body) = response.into_parts();
        let head = (context.format.read_answer)(parts.status, &parts.headers);
        let named = head.request.as_deref();
        let origin = ResponseOrigin::new(named, &self.request, self.was_reused);
        if let Some(stated_after) = origin.stated_after(self.sent_at) {
            record_demand(context, &self.server, &head, stated_after);
        }
        check_statement(origin, head_statement(&head, parts.status))?;
        strip_connection_headers(&mut parts.headers);
        parts.headers.remove(header::CONTENT_LENGTH);
        Ok(OpenResponse {
            server: self.server,
            status: parts.status,
            headers: parts.headers,
            head,
            body,
            latency,
            sent_at: self.sent_at,
            connection,
            _guard: self.guard,
        })
    }
}

/// How an attempt ended that has no usable response.
pub(crate) struct FailedAttempt {
    /// The outcome.
    pub(crate) outcome: AttemptOutcome,
    /// The attempt, if it is only to be replaced and its server may still respond.
    pub(crate) pending: Option<PendingAttempt>,
}

impl From<AttemptOutcome> for FailedAttempt {
    fn from(outcome: AttemptOutcome) -> Self {
        Self {
            outcome,
            pending: None,
        }
    }
}

/// Sends a request to a server and reads the head of the response.
pub(crate) async fn run_attempt(
    context: &Arc<GatewayContext>,
    server: &ServerEntry,
    mut call: AttemptRequest<'_>,
) -> Result<OpenResponse, FailedAttempt> {
    let guard = AttemptGuard::new(context, server, call.work);
    let mut connection = take_connection(context, server, &call).await?;
    let request = build_request(context, server, &call).ok_or(AttemptOutcome::NotSent)?;
    call.permit
        .confirm()
        .map_err(|_| AttemptOutcome::Withheld)?;
    call.sent.notify_one();
    let sent_at = context.now();
    let watch = ServerWatch::new(context, server, call.expected_first_byte);
    let mut pending = PendingAttempt {
        server: server.clone(),
        sent_at,
        request: call.request.clone(),
        was_reused: connection.reused,
        sending: Box::pin(async move {
            let response = connection.send(request).await;
            (connection, response)
        }),
        guard,
    };
    let received = tokio::select! {
        received = tokio::time::timeout(call.time_left, pending.receive()) => {
            received.map_err(|_| AttemptOutcome::Silent)
        }
        () = wait_until_replaced(&call) => Err(AttemptOutcome::Overdue),
        () = wait_until_refused(context, call.suspect, sent_at) => Err(AttemptOutcome::Withdrawn),
        () = watch.wait_until_lost(call.take_replacement) => Err(AttemptOutcome::Lost),
    };
    drop(watch);
    match received {
        Ok(received) => Ok(pending.accept(context, received)?),
        Err(outcome) => Err(FailedAttempt {
            outcome,
            pending: Some(pending).filter(|_| outcome.is_replaced()),
        }),
    }
}

/// Takes a connection to a server from the pool, or opens one.
async fn take_connection(
    context: &Arc<GatewayContext>,
    server: &ServerEntry,
    call: &AttemptRequest<'_>,
) -> Result<BackendConnection, AttemptOutcome> {
    let pooled = if call.needs_new_connection {
        None
    } else {
        context.pool.take(server.address)
    };
    if let Some(connection) = pooled {
        return Ok(connection);
    }
    let longest = context.settings.liveness.connect_timeout(call.time_left);
    let timeout = longest
        .min(context.settings.connect_timeout)
        .min(call.head_timeout);
    context.metrics.increment("connections_total");
    let mut opened = BackendConnection::open(server.address, timeout).await;
    let is_own = |error: &io::Error| ProbeResult::of_error(error) == ProbeResult::NotTried;
    if opened.as_ref().is_err_and(is_own) {
        // Idle connections hold what the host lacks.
        context.metrics.increment("own_connect_failures_total");
        context.pool.clear_all();
        opened = BackendConnection::open(server.address, timeout).await;
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

/// Waits until the head of the response is overdue and another attempt is granted. A request that is
/// not granted one goes on.
async fn wait_until_replaced(call: &AttemptRequest<'_>) {
    loop {
        tokio::time::sleep(call.head_timeout).await;
        if (call.take_replacement)() {
            return;
        }
    }
}

/// Waits until a part of a prompt that was sent at `sent_at` is refused.
pub(crate) async fn wait_until_refused(
    context: &GatewayContext,
    suspect: &CrashSuspect,
    sent_at: TimePoint,
) {
    let mut refusals = context.parts_refused.subscribe();
    while !context.crashes().is_refused_since(suspect, sent_at) {
        if refusals.changed().await.is_err() {
            // The sender lives as long as the context.
            return std::future::pending().await;
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

/// Builds the request for the server; `None` if its host or path cannot be encoded.
fn build_request(
    context: &GatewayContext,
    server: &ServerEntry,
    call: &AttemptRequest<'_>,
) -> Option<Request<Full<Bytes>>> {
    let mut headers = call.parts.headers.clone();
    strip_connection_headers(&mut headers);
    headers.remove(header::CONTENT_LENGTH);
    headers.remove(header::EXPECT);
    (context.format.write_attempt)(&mut headers, &call.head);
    if !headers.contains_key(header::HOST) {
        let host = HeaderValue::from_str(&server.address.to_string()).ok()?;
        headers.insert(header::HOST, host);
    }
    let path = call
        .parts
        .uri
        .path_and_query()
        .map_or("/", |path| path.as_str());
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.parts.method.clone();
    *request.uri_mut() = path.parse().ok()?;
    *request.headers_mut() = headers;
    Some(request)
}
