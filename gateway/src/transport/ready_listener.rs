//! Tells the balancer whether the host takes new connections, and shows the metrics.

use std::convert::Infallible;
use std::sync::Arc;

use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpListener;

use crate::transport::answer_body::{AnswerBody, own_answer, whole_body};
use crate::transport::gateway_context::GatewayContext;

/// Path of the metrics page.
const METRICS_PATH: &str = "/metrics";

/// Answers questions about the host for as long as the process runs.
pub(crate) async fn serve_ready(context: Arc<GatewayContext>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(std::time::Duration::from_millis(50)).await;
            continue;
        };
        let context = context.clone();
        tokio::spawn(async move {
            let service = service_fn(|request| {
                let answer = answer_question(&context, &request);
                async move { Ok::<_, Infallible>(answer) }
            });
            let mut builder = http1::Builder::new();
            builder.timer(TokioTimer::new());
            // A broken connection of the balancer needs no answer.
            let _ = builder
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

/// Answers one question.
fn answer_question(context: &GatewayContext, request: &Request<Incoming>) -> Response<AnswerBody> {
    match request.uri().path() {
        path if path == context.format.ready_path => match context.is_ready() {
            true => own_answer(StatusCode::OK, "ready"),
            false => own_answer(StatusCode::SERVICE_UNAVAILABLE, "not ready"),
        },
        METRICS_PATH => Response::new(whole_body(context.metrics.page().into())),
        _ => own_answer(StatusCode::NOT_FOUND, "no such page"),
    }
}
