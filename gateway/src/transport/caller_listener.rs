//! Accepts callers' connections and serves their requests.

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use galenamast::state::TimePoint;
use http::{HeaderValue, Request, Response, StatusCode, header};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use log::Level;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

use crate::protocol::GatewayRecord;
use crate::state::RouteKind;
use crate::transport::gateway_context::GatewayContext;
use crate::transport::record_log::log_record;
use crate::transport::request_admission::{Admission, Refusal, admit_head, read_body};
use crate::transport::request_exchange::RequestExchange;
use crate::transport::response_body::{ResponseBody, not_run_response};

/// Smallest buffer that the HTTP library takes, in bytes.
const MIN_HEADER_BUFFER_BYTES: usize = 8_192;
/// Headers of one request that are read at most.
const MAX_HEADERS: usize = 100;
/// Pause after a connection could not be accepted, as when descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Time for which a caller that reads nothing is waited for.
const UNREAD_TIMEOUT: Duration = Duration::from_secs(20);
/// Pause after which a caller of a host that stops finds another one.
const STOPPING_RETRY_AFTER: Duration = Duration::from_millis(100);

/// What the connections of callers share.
#[derive(Debug)]
pub(crate) struct CallerListener {
    /// What the parts of the host share.
    pub(crate) context: Arc<GatewayContext>,
    /// Is cancelled when idle connections are to be closed.
    pub(crate) close_idle: CancellationToken,
    /// Is cancelled when streams are turned away.
    pub(crate) reject_streams: CancellationToken,
    /// Is cancelled when all requests are turned away.
    pub(crate) reject_all: CancellationToken,
    /// Connections that are open.
    pub(crate) open: AtomicUsize,
}

impl CallerListener {
    /// Accepts connections for as long as the process runs.
    pub(crate) async fn accept(self: Arc<Self>, listener: TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            if self.open.load(Ordering::Relaxed) >= self.context.settings.max_caller_connections {
                self.context
                    .metrics
                    .increment("connections_over_limit_total");
                continue;
            }
            self.open.fetch_add(1, Ordering::Relaxed);
            let shared = self.clone();
            tokio::spawn(async move {
                shared.serve_connection(stream).await;
                shared.open.fetch_sub(1, Ordering::Relaxed);
            });
        }
    }

    /// Serves the requests of one connection.
    async fn serve_connection(self: &Arc<Self>, stream: TcpStream) {
        // Without these the connection works, only slower or longer.
        let _ = stream.set_nodelay(true);
        let _ = socket2::SockRef::from(&stream).set_tcp_user_timeout(Some(UNREAD_TIMEOUT));
        let limits = self
            .context
            .image
            .load()
            .as_ref()
            .map(|image| image.limits)
            .unwrap_or_default();
        let mut builder = http1::Builder::new();
        builder
            .timer(TokioTimer::new())
            // The library's clock for the next head also bounds the idle time before it.
            .header_read_timeout(limits.idle_timeout.max(limits.header_timeout))
            .max_headers(MAX_HEADERS)
            .max_buf_size(limits.header_bytes.max(MIN_HEADER_BUFFER_BYTES));
        let shared = self.clone();
        let service = service_fn(move |request| {
            let shared = shared.clone();
            async move { Ok::<_, Infallible>(shared.serve_request(request).await) }
        });
        let connection = builder.serve_connection(TokioIo::new(stream), service);
        let mut connection = std::pin::pin!(connection);
        if self.close_idle.is_cancelled() {
            // Its first answer closes a connection that comes so late; closing it before would
            // leave the caller without a word.
            let _ = connection.await;
            return;
        }
        // The caller sees how a connection breaks; the host has nothing to add.
        tokio::select! {
            _ = connection.as_mut() => return,
            () = self.close_idle.cancelled() => connection.as_mut().graceful_shutdown(),
        }
        let _ = connection.await;
    }

    /// Serves one request.
    async fn serve_request(self: &Arc<Self>, request: Request<Incoming>) -> Response<ResponseBody> {
        let started_at = self.context.now();
        let _count = RequestGuard::new(&self.context);
        let mut response = match self.admit_and_run(request, started_at).await {
            Ok(response) => response,
            Err(refusal) => *refusal,
        };
        if self.context.stopping.load(Ordering::SeqCst) {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
        }
        response
    }

    /// Admits a request and runs it.
    async fn admit_and_run(
        &self,
        request: Request<Incoming>,
        started_at: TimePoint,
    ) -> Result<Response<ResponseBody>, Refusal> {
        let context = &self.context;
        let (parts, body) = request.into_parts();
        let head = (context.format.read_request)(&parts.headers);
        let admitted = self.admit(&parts, &head).await;
        let admission = match admitted {
            Ok(admission) => admission,
            Err(refusal) => {
                log_refusal(context, head.request.as_ref(), refusal.status(), started_at);
                return Err(refusal);
            }
        };
        let body = read_body(context, &admission.image, &parts, body).await?;
        let exchange =
            RequestExchange::new(context.clone(), admission, parts, body, head, started_at);
        Ok(exchange.run().await)
    }

    /// Admits a request by its head.
    async fn admit(
        &self,
        parts: &http::request::Parts,
        head: &crate::state::CallerHead,
    ) -> Result<Admission, Refusal> {
        let stops = || Box::new(not_run_response("the host stops", STOPPING_RETRY_AFTER));
        // Before anything that may wait, as a look into the store does.
        if self.reject_all.is_cancelled() {
            return Err(stops());
        }
        let admission = admit_head(&self.context, parts, head).await?;
        let is_stream = admission.route.kind == RouteKind::Stream;
        if self.reject_all.is_cancelled() || (is_stream && self.reject_streams.is_cancelled()) {
            return Err(stops());
        }
        Ok(admission)
    }
}

/// Counts a request as in flight until its answer has begun.
struct RequestGuard<'a> {
    context: &'a GatewayContext,
}

impl<'a> RequestGuard<'a> {
    /// Counts a request.
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

/// Logs a request that the host answers before it has a course.
fn log_refusal(
    context: &GatewayContext,
    request: Option<&Arc<str>>,
    status: StatusCode,
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
        outcome: "not admitted".into(),
        elapsed_ms: u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX),
        head_ms: None,
        pause_ms: 0,
        attempts: 0,
        events: 0,
    };
    log_record(Level::Info, &record);
}
