//! Accepts callers' connections and serves their requests.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::panic::AssertUnwindSafe;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use futures_util::FutureExt;
use galenamast::coordination::AllowanceSettings;
use galenamast::state::TimePoint;
use galenamast::transport::{BoundedBody, BoundedSocket, SharedAllowance};
use http::{HeaderValue, Request, Response, StatusCode, header};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use log::Level;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

use crate::coordination::shutdown::StopSchedule;
use crate::protocol::{
    GatewayRecord, RELAYED_BY, RELAYED_REQUEST, mark_unserved, take_relay_configuration,
};
use crate::state::{CallerHead, CallerLimits, answer_deadline};
use crate::transport::attempt_runner::remaining_time;
use crate::transport::body_guard::BodyGuard;
use crate::transport::caller_socket::{CallerSocket, LimitSource};
use crate::transport::connection_activity::{BodyPhase, ConnectionActivity};
use crate::transport::gateway_context::GatewayContext;
use crate::transport::open_connections::{CallerSlot, ConnectionPurpose};
use crate::transport::record_log::log_record;
use crate::transport::request_admission::{
    Admission, BodyRefusal, Refusal, admit_earlier, admit_head, admit_known, close_after,
    head_bytes, read_body, unconfirmed_response,
};
use crate::transport::request_exchange::RequestExchange;
use crate::transport::response_body::{ResponseBody, host_response, stopping_response};
use crate::transport::served_body::ServingGuard;

/// Smallest read buffer that hyper accepts, in bytes.
const MIN_HEADER_BUFFER_BYTES: usize = 8_192;
/// Largest number of headers in one request.
const MAX_HEADERS: usize = 100;
/// Delay after accepting a connection failed, for example because file descriptors ran out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// TCP user timeout: how long sent bytes may stay unacknowledged by a caller that reads nothing.
const UNREAD_TIMEOUT: Duration = Duration::from_secs(20);
/// Time in which a socket that is closing accepts the next of the connections that wait.
const LAST_ACCEPT_TIME: Duration = Duration::from_millis(10);

/// Shortest time for which an idle connection of another host stays open. That host may use it for a
/// time of its own, whatever the callers' limit is.
const MIN_HOST_IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Who sends the requests of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RequestOrigin {
    /// A caller.
    Caller,
    /// Another entry host, for its callers.
    Host,
}

/// State that the connections of callers share.
#[derive(Debug)]
pub(crate) struct CallerListener {
    /// Shared state of the host.
    pub(crate) context: Arc<GatewayContext>,
    /// Cancelled when connections are to be closed once idle.
    pub(crate) close_idle: CancellationToken,
    /// Cancelled when no further connections are to be accepted but those that wait already.
    pub(crate) close_sockets: CancellationToken,
    /// Number of sockets that are closing and may still have connections to accept.
    pub(crate) accepting: AtomicUsize,
}

impl CallerListener {
    /// Accepts callers' connections until the task is dropped. One for which there is no room and none gives
    /// way is closed at once.
    pub(crate) async fn accept(self: Arc<Self>, listener: TcpListener) {
        self.accept_from(listener, RequestOrigin::Caller).await;
    }

    /// Accepts connections of other hosts, which pass callers' requests on, until the task is dropped.
    pub(crate) async fn accept_relays(self: Arc<Self>, listener: TcpListener) {
        self.accept_from(listener, RequestOrigin::Host).await;
    }

    /// Accepts connections until the task is dropped.
    async fn accept_from(self: Arc<Self>, listener: TcpListener, origin: RequestOrigin) {
        self.accepting.fetch_add(1, Ordering::Relaxed);
        while let Some(accepted) = self.next_connection(&listener).await {
            let Ok((stream, peer)) = accepted else {
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            if origin == RequestOrigin::Host && !self.is_host(peer) {
                self.context.metrics.increment("relays_of_strangers_total");
                continue;
            }
            let Some(slot) = CallerSlot::take(&self.context, ConnectionPurpose::Requests).await
            else {
                self.context
                    .metrics
                    .increment("connections_over_limit_total");
                continue;
            };
            let shared = self.clone();
            tokio::spawn(async move { shared.serve_connection(stream, slot, origin).await });
        }
        self.accepting.fetch_sub(1, Ordering::Relaxed);
    }

    /// Accepts a connection; `None` if the socket is to be closed and none waits.
    async fn next_connection(
        &self,
        listener: &TcpListener,
    ) -> Option<io::Result<(TcpStream, SocketAddr)>> {
        tokio::select! {
            accepted = listener.accept() => Some(accepted),
            () = self.close_sockets.cancelled() => {
                tokio::time::timeout(LAST_ACCEPT_TIME, listener.accept()).await.ok()
            }
        }
    }

    /// Returns whether connections are open, or wait to be accepted at a socket that is closing.
    pub(crate) fn is_busy(&self) -> bool {
        let is_closing = self.close_sockets.is_cancelled();
        self.context.connections.callers() > 0
            || (is_closing && self.accepting.load(Ordering::Relaxed) > 0)
    }

    /// Returns whether an address is that of a listed host, on any port.
    fn is_host(&self, peer: SocketAddr) -> bool {
        let peers = self.context.peers();
        peers.values().any(|host| host.address.ip() == peer.ip())
    }

    /// Serves the requests of one connection.
    async fn serve_connection(
        self: &Arc<Self>,
        stream: TcpStream,
        slot: CallerSlot,
        origin: RequestOrigin,
    ) {
        // If either option cannot be set, the connection is only slower or stays open longer.
        let _ = stream.set_nodelay(true);
        let _ = socket2::SockRef::from(&stream).set_tcp_user_timeout(Some(UNREAD_TIMEOUT));
        let limits: LimitSource = match origin {
            RequestOrigin::Caller => GatewayContext::caller_limits,
            RequestOrigin::Host => host_limits,
        };
        let header_bytes = limits(&self.context).header_bytes;
        let mut builder = http1::Builder::new();
        builder
            .timer(TokioTimer::new())
            // The socket limits the wait for a request, by the configuration in force.
            .header_read_timeout(None)
            .max_headers(MAX_HEADERS)
            .max_buf_size(header_bytes.max(MIN_HEADER_BUFFER_BYTES));
        let shared = self.clone();
        let activity = slot.activity.clone();
        let slot_activity = activity.clone();
        let close_idle = if self.close_idle.is_cancelled() {
            // A connection accepted this late closes with its first response. Closing it earlier
            // would leave the caller without a response.
            CancellationToken::new()
        } else {
            self.close_idle.clone()
        };
        let context = self.context.clone();
        let socket = CallerSocket::new(stream, slot, context, limits, close_idle);
        let defaults = AllowanceSettings::default();
        let allowance = SharedAllowance::new(AllowanceSettings {
            max_idle_bytes: defaults.max_idle_bytes.max(header_bytes as u64 * 2),
            ..defaults
        });
        let socket = BoundedSocket::new(socket, allowance.clone());
        let service = service_fn(move |request: Request<Incoming>| {
            let shared = shared.clone();
            let activity = activity.clone();
            let serving = ServingGuard::new(&shared.context, &activity);
            allowance.lock().renew();
            let request = request.map(|body| BoundedBody::new(body, allowance.clone()));
            async move {
                // The connection reserves the size of this future for as long as it is open.
                let response = Box::pin(shared.serve_request(request, origin, activity)).await;
                Ok::<_, Infallible>(response.map(|body| serving.attach(body)))
            }
        });
        let cut = slot_activity.cut();
        tokio::select! {
            // An I/O error concerns this connection only, and the caller notices it too.
            _ = builder.serve_connection(TokioIo::new(socket), service) => {}
            () = cut => {}
        }
    }

    /// Serves one request; asks the caller to close the connection if the host is stopping.
    async fn serve_request(
        self: &Arc<Self>,
        request: Request<BoundedBody>,
        origin: RequestOrigin,
        activity: Arc<ConnectionActivity>,
    ) -> Response<ResponseBody> {
        let started_at = self.context.now();
        let _count = RequestGuard::new(&self.context);
        let passed_on = (origin == RequestOrigin::Host)
            .then(|| (self.context.format.read_request)(request.headers()).request);
        // A panic would end the connection without a response.
        let handling = AssertUnwindSafe(self.admit_and_run(request, origin, activity, started_at));
        let handled = handling.catch_unwind().await;
        let mut response = match handled.unwrap_or_else(|_| Ok(self.panic_response())) {
            Ok(response) => response,
            Err(refusal) => {
                let mut response = *refusal;
                let is_unavailable = response.status() == StatusCode::SERVICE_UNAVAILABLE;
                if origin == RequestOrigin::Host && is_unavailable {
                    mark_unserved(response.headers_mut(), 0);
                }
                response
            }
        };
        // Only a response that names its request is believed on a connection that was used before.
        let name = passed_on.flatten();
        if let Some(name) = name.and_then(|name| HeaderValue::from_str(&name).ok()) {
            response.headers_mut().insert(RELAYED_REQUEST, name);
        }
        if self.context.is_stopping() {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
        }
        response
    }

    /// Returns the response to a request whose handling panicked.
    fn panic_response(&self) -> Response<ResponseBody> {
        self.context.metrics.increment("requests_panicked_total");
        let text = "the host failed; the request may have run";
        log_record(
            Level::Error,
            &GatewayRecord::Fault {
                part: "request",
                message: text.into(),
            },
        );
        host_response(StatusCode::BAD_GATEWAY, text)
    }

    /// Admits a request and runs it; an error holds the host's refusal.
    async fn admit_and_run(
        &self,
        request: Request<BoundedBody>,
        origin: RequestOrigin,
        activity: Arc<ConnectionActivity>,
        started_at: TimePoint,
    ) -> Result<Response<ResponseBody>, Refusal> {
        let context = &self.context;
        let (mut parts, mut body) = request.into_parts();
        let awaits_continue = parts.headers.contains_key(header::EXPECT);
        let mut head = (context.format.read_request)(&parts.headers);
        // The first host has admitted a request that is passed on, maybe long ago.
        let mut earlier = None;
        let version = take_relay_configuration(&mut parts.headers);
        if origin == RequestOrigin::Host {
            parts.headers.remove(RELAYED_BY);
            head.relayed = true;
            earlier = version.and_then(|version| admit_earlier(context, &parts, &head, version));
        }
        let admitted = match earlier {
            Some(admission) => {
                let checked = self.check_stop(&admission, &head, started_at);
                checked.map(|()| admission)
            }
            None => self.admit(&parts, &head, started_at).await,
        };
        let admission = match admitted {
            Ok(admission) => admission,
            Err(refusal) => {
                let (status, request) = (refusal.status(), head.request.as_ref());
                log_refusal(context, request, status, "not admitted", started_at);
                let refusal = close_after(context, refusal, body, awaits_continue, &activity);
                return Err(refusal);
            }
        };
        let reading = BodyGuard::new(context, &admission, &head, started_at);
        let deadline = admission.route.deadline(head.time_allowed, started_at);
        activity.set_body_phase(BodyPhase::Reading);
        let read = tokio::select! {
            biased;
            read = read_body(context, &admission, &parts, &mut body, &activity) => read,
            () = activity.evicted.cancelled() => Err(BodyRefusal::NoRoom),
            () = tokio::time::sleep(remaining_time(context, deadline)) => Err(BodyRefusal::Late),
            () = context.last_answers.cancelled() => Err(BodyRefusal::Stopping),
        };
        reading.end();
        let body = match read {
            Ok(buffered) => {
                let is_chunked = parts.headers.contains_key(header::TRANSFER_ENCODING);
                let length = (head_bytes(&parts) + buffered.bytes.len()) as u64;
                activity.note_arrived((!is_chunked).then_some(length), context.now());
                buffered
            }
            Err(refusal) => {
                activity.set_body_phase(BodyPhase::Absent);
                context.metrics.increment(refusal.counter());
                let (reason, response) = (refusal.reason(), refusal.into_response());
                let (status, request) = (response.status(), head.request.as_ref());
                log_refusal(context, request, status, reason, started_at);
                let refusal = close_after(context, Box::new(response), body, false, &activity);
                return Err(refusal);
            }
        };
        // The load balancer may have learned of a stop while the body arrived.
        if let Err(refusal) = self.check_stop(&admission, &head, started_at) {
            let (status, request) = (refusal.status(), head.request.as_ref());
            log_refusal(context, request, status, "not admitted", started_at);
            return Err(refusal);
        }
        let exchange =
            RequestExchange::new(context.clone(), admission, parts, body, head, started_at);
        Ok(exchange.run().await)
    }

    /// Admits a request by its headers.
    async fn admit(
        &self,
        parts: &http::request::Parts,
        head: &CallerHead,
        started_at: TimePoint,
    ) -> Result<Admission, Refusal> {
        let admission = if self.is_draining() {
            // A wait for the store may be longer than the rest of the stop.
            admit_known(&self.context, parts, head)
                .map_err(|refusal| refusal.unwrap_or_else(|| Box::new(stopping_response())))
        } else {
            tokio::select! {
                biased;
                admitted = admit_head(&self.context, parts, head) => admitted,
                () = self.context.last_answers.cancelled() => Err(Box::new(stopping_response())),
                () = self.wait_for_caller(head, started_at) => Err(unconfirmed_response()),
            }
        }?;
        self.check_stop(&admission, head, started_at)?;
        Ok(admission)
    }

    /// Waits until the caller of a request must be answered, whatever its route is; never returns if the
    /// caller states no limit.
    async fn wait_for_caller(&self, head: &CallerHead, started_at: TimePoint) {
        match head.time_allowed {
            Some(allowed) => {
                let deadline = answer_deadline(allowed, started_at);
                self.context.timers.sleep_until(deadline).await;
            }
            None => std::future::pending().await,
        }
    }

    /// Refuses a request that may last longer than the process.
    fn check_stop(
        &self,
        admission: &Admission,
        head: &CallerHead,
        started_at: TimePoint,
    ) -> Result<(), Refusal> {
        let deadline = admission.route.deadline(head.time_allowed, started_at);
        let now = self.context.now();
        let is_admitted = |stop: &StopSchedule| stop.admits(deadline, now);
        match self.context.stop.get().is_none_or(is_admitted) {
            true => Ok(()),
            false => Err(Box::new(stopping_response())),
        }
    }

    /// Returns whether the load balancer knows that the host stops.
    fn is_draining(&self) -> bool {
        let now = self.context.now();
        self.context
            .stop
            .get()
            .is_some_and(|stop| now >= stop.drains_at())
    }
}

/// Counts a request as in flight until its response starts.
struct RequestGuard<'a> {
    context: &'a GatewayContext,
}

impl<'a> RequestGuard<'a> {
    /// Counts a request as in flight.
    fn new(context: &'a GatewayContext) -> Self {
        context.in_flight.fetch_add(1, Ordering::Relaxed);
        Self { context }
    }
}

impl Drop for RequestGuard<'_> {
    fn drop(&mut self) {
        self.context.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Returns the limits in force for the connections of other hosts.
fn host_limits(context: &GatewayContext) -> CallerLimits {
    let limits = context.caller_limits();
    CallerLimits {
        idle_timeout: limits.idle_timeout.max(MIN_HOST_IDLE_TIMEOUT),
        ..limits
    }
}

/// Logs a request that is refused at admission.
fn log_refusal(
    context: &GatewayContext,
    request: Option<&Arc<str>>,
    status: StatusCode,
    outcome: &'static str,
    started_at: TimePoint,
) {
    context
        .metrics
        .increment(&format!("requests_{}_total", status.as_u16()));
    let elapsed = context.now().since(started_at);
    let record = GatewayRecord::RequestEnded {
        request: request.cloned().unwrap_or_default(),
        route: None,
        status: status.as_u16(),
        outcome: outcome.into(),
        elapsed_ms: u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX),
        head_ms: None,
        pause_ms: 0,
        attempts: 0,
        events: 0,
    };
    log_record(Level::Info, &record);
}
