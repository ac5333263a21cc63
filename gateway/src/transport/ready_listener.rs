//! Serves readiness to the load balancer, and the metrics page.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpListener;

use crate::transport::gateway_context::GatewayContext;
use crate::transport::open_connections::{CallerSlot, ConnectionPurpose};
use crate::transport::response_body::{ResponseBody, full_body, host_response};

/// Longest time that reading a request head may take.
const HEADER_TIMEOUT: Duration = Duration::from_secs(3);
/// Size of a connection's buffer in bytes, the smallest that hyper accepts.
const MAX_BUFFER_BYTES: usize = 8_192;
/// Delay after accepting a connection failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Path of the metrics page.
const METRICS_PATH: &str = "/metrics";

/// Serves readiness and metrics until the task is dropped.
pub(crate) async fn serve_readiness(context: Arc<GatewayContext>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let Some(slot) = CallerSlot::take(&context, ConnectionPurpose::Probes).await else {
            continue;
        };
        let context = context.clone();
        tokio::spawn(async move {
            let service = service_fn(|request| {
                let response = handle_request(&context, &request);
                async move { Ok::<_, Infallible>(response) }
            });
            let mut builder = http1::Builder::new();
            builder
                .timer(TokioTimer::new())
                .header_read_timeout(HEADER_TIMEOUT)
                .max_buf_size(MAX_BUFFER_BYTES);
            tokio::select! {
                // An I/O error concerns this connection only; the balancer connects again.
                _ = builder.serve_connection(TokioIo::new(stream), service) => {}
                () = slot.activity.evicted.cancelled() => {}
            }
        });
    }
}

/// Handles one request.
fn handle_request(context: &GatewayContext, request: &Request<Incoming>) -> Response<ResponseBody> {
    match request.uri().path() {
        path if path == context.format.ready_path => match context.is_ready() {
            true => host_response(StatusCode::OK, "ready"),
            false => host_response(StatusCode::SERVICE_UNAVAILABLE, "not ready"),
        },
        METRICS_PATH => {
            let page =
                context.metrics.render() + &context.memory.render() + &context.connections.render();
            Response::new(full_body(page.into()))
        }
        _ => host_response(StatusCode::NOT_FOUND, "no such page"),
    }
}
