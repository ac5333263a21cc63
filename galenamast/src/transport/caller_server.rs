//! HTTP server for callers: routes, connections and their limits.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use axum::Router;
use axum::extract::State;
use axum::http::StatusCode;
use axum::response::Response;
use axum::routing::{any, get, post};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto::Builder;
use hyper_util::server::graceful::{GracefulShutdown, Watcher};
use hyper_util::service::TowerToHyperService;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, TcpStream};
use tokio_rustls::TlsAcceptor;
use tokio_util::sync::CancellationToken;

use crate::coordination::AllowanceSettings;
use crate::logging::log_fault;
use crate::protocol::ErrorCode;
use crate::state::RequestId;
use crate::transport::bounded_socket::{BoundedSocket, SharedAllowance};
use crate::transport::caller_chat::{complete_chat, list_models};
use crate::transport::caller_reply::{error_response, refuse};
use crate::transport::caller_service::call_service;
use crate::transport::caller_stream::CallerStream;
use crate::transport::host_context::HostContext;

/// Maximum number of concurrent streams on one HTTP/2 connection.
const MAX_STREAMS_PER_CONNECTION: u32 = 250;
/// Delay before the next attempt after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);
/// Minimum size of the HTTP/1 buffer that hyper accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8_192;

/// Builds the router for callers' requests.
pub fn caller_routes(context: Arc<HostContext>) -> Router {
    Router::new()
        .route("/v1/chat/completions", post(complete_chat))
        .route("/v1/models", get(list_models))
        .route("/svc/{service}/{*path}", any(call_service))
        .route("/livez", get(|| async { StatusCode::OK }))
        .route("/readyz", get(report_ready))
        .fallback(unknown_path)
        .method_not_allowed_fallback(unknown_method)
        .with_state(context)
}

/// Handles the readiness probe.
async fn report_ready(State(context): State<Arc<HostContext>>) -> StatusCode {
    if context.is_ready() {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    }
}

/// Handles a request for an unknown path.
async fn unknown_path() -> Response {
    let id = RequestId::generate();
    error_response(&refuse(id, ErrorCode::NotFound, "no such path"))
}

/// Handles a request whose path does not support its method.
async fn unknown_method() -> Response {
    let id = RequestId::generate();
    let error = refuse(
        id,
        ErrorCode::BadRequest,
        "the path does not take this method",
    );
    let mut response = error_response(&error);
    *response.status_mut() = StatusCode::METHOD_NOT_ALLOWED;
    response
}

/// Accepts connections of callers until it is stopped, then shuts them down gracefully.
#[derive(Debug)]
pub struct CallerServer {
    /// Shared state of the host.
    pub context: Arc<HostContext>,
    /// Listening socket.
    pub listener: TcpListener,
    /// Cancelled when no more connections are to be accepted.
    pub stopped: CancellationToken,
}

impl CallerServer {
    /// Serves callers until stopped; returns when the last connection has ended.
    ///
    /// A connection beyond twice the stream limit is closed at once.
    pub async fn serve(self) {
        let routes = caller_routes(self.context.clone());
        let graceful = GracefulShutdown::new();
        let connections = Arc::new(AtomicUsize::new(0));
        loop {
            let accepted = tokio::select! {
                accepted = self.listener.accept() => accepted,
                () = self.stopped.cancelled() => break,
            };
            let Ok((stream, _)) = accepted else {
                log_fault("callers", &"cannot accept a connection from a caller");
                // A lack of file descriptors persists until other connections close.
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            let limit = self.context.current_settings().callers.max_streams as usize;
            if connections.load(Ordering::Relaxed) >= limit.saturating_mul(2) {
                continue;
            }
            let guard = ConnectionGuard::new(&connections);
            let _ = stream.set_nodelay(true);
            let connection = CallerConnection {
                context: self.context.clone(),
                routes: routes.clone(),
                watcher: graceful.watcher(),
                guard,
            };
            let acceptor = self.context.caller_tls.load_full();
            tokio::spawn(connection.run(stream, acceptor.map(TlsAcceptor::from)));
        }
        drop(self.listener);
        graceful.shutdown().await;
    }
}

/// Counts a connection as open until it is dropped.
#[derive(Debug)]
struct ConnectionGuard(Arc<AtomicUsize>);

impl ConnectionGuard {
    /// Increments the number of open connections.
    fn new(count: &Arc<AtomicUsize>) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(count.clone())
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// An accepted connection of a caller.
struct CallerConnection {
    context: Arc<HostContext>,
    routes: Router,
    watcher: Watcher,
    guard: ConnectionGuard,
}

impl CallerConnection {
    /// Completes the TLS handshake, if TLS is configured, and serves the connection.
    async fn run(self, stream: TcpStream, acceptor: Option<TlsAcceptor>) {
        let Some(acceptor) = acceptor else {
            return self.serve(stream).await;
        };
        let timeout = self.context.current_settings().callers.read_timeout;
        // A failed or slow handshake only affects this caller, so it is not logged.
        if let Ok(Ok(stream)) = tokio::time::timeout(timeout, acceptor.accept(stream)).await {
            self.serve(stream).await;
        }
    }

    /// Serves HTTP/1 or HTTP/2 on a stream until it ends.
    async fn serve(self, stream: impl AsyncRead + AsyncWrite + Unpin + Send + 'static) {
        let Self {
            context,
            routes,
            watcher,
            guard,
        } = self;
        let settings = context.current_settings();
        let callers = &settings.callers;
        let mut builder = Builder::new(TokioExecutor::new());
        builder
            .http1()
            .timer(TokioTimer::new())
            .header_read_timeout(callers.read_timeout)
            .max_buf_size(callers.max_header_bytes.max(MIN_BUFFER_BYTES));
        builder
            .http2()
            .timer(TokioTimer::new())
            .max_concurrent_streams(MAX_STREAMS_PER_CONNECTION)
            .max_header_list_size(u32::try_from(callers.max_header_bytes).unwrap_or(u32::MAX));
        // The time limits end what has no end, provided that other tasks get the processor.
        let allowance = SharedAllowance::new(AllowanceSettings {
            max_idle_bytes: u64::MAX,
            ..AllowanceSettings::default()
        });
        let stream = BoundedSocket::new(stream, allowance);
        let stream = CallerStream::new(stream, callers.write_timeout);
        let service = TowerToHyperService::new(routes);
        let connection = builder
            .serve_connection(TokioIo::new(stream), service)
            .into_owned();
        // A broken connection only affects this caller, so it is not logged.
        let _ = watcher.watch(connection).await;
        drop(guard);
    }
}
