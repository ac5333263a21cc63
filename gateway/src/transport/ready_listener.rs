//! Serves readiness to the load balancer, and the metrics page.

use std::convert::Infallible;
use std::sync::Arc;

use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpListener;

use crate::transport::gateway_context::GatewayContext;
use crate::transport::response_body::{ResponseBody, full_body, host_response};

/// Path of the metrics page.
const METRICS_PATH: &str = "/metrics";

/// Serves readiness and metrics until the task is dropped.
pub(crate) async fn serve_readiness(context: Arc<GatewayContext>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(std::time::Duration::from_millis(50)).await;
            continue;
        };
        let context = context.clone();
        tokio::spawn(async move {
            let service = service_fn(|request| {
                let response = handle_request(&context, &request);
                async move { Ok::<_, Infallible>(response) }
            });
            let mut builder = http1::Builder::new();
            builder.timer(TokioTimer::new());
            // An I/O error concerns this connection only; the balancer connects again.
            let _ = builder
                .serve_connection(TokioIo::new(stream), service)
                .await;
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
