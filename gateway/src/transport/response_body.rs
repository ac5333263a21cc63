//! Responses to callers and their bodies.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use rand::Rng;
use thiserror::Error;

/// Relative jitter of `Retry-After`, so that callers do not all return at the same time.
const RETRY_AFTER_SPREAD: f64 = 0.5;

/// `Retry-After` while the host stops; by then the caller reaches another host.
const STOPPING_RETRY_AFTER: Duration = Duration::from_millis(100);

/// A streamed response ended early. The connection is closed without the final chunk, so that the
/// caller can tell that the response is incomplete.
#[derive(Debug, Error)]
#[error("the response ended before it was complete")]
pub(crate) struct TruncatedResponse;

/// Body of a response to a caller.
pub(crate) type ResponseBody = UnsyncBoxBody<Bytes, TruncatedResponse>;

/// Returns a body that holds all its bytes already.
pub(crate) fn full_body(bytes: Bytes) -> ResponseBody {
    Full::new(bytes)
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Returns a plain-text response that the host itself gives.
pub(crate) fn host_response(status: StatusCode, text: &'static str) -> Response<ResponseBody> {
    let mut response = Response::new(full_body(Bytes::from_static(text.as_bytes())));
    *response.status_mut() = status;
    let content_type = HeaderValue::from_static("text/plain");
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, content_type);
    response
}

/// Returns a 503 response for a request that did not run and never will. `Retry-After` holds
/// `pause` with jitter, in seconds with two decimals.
pub(crate) fn not_run_response(text: &'static str, pause: Duration) -> Response<ResponseBody> {
    let mut response = host_response(StatusCode::SERVICE_UNAVAILABLE, text);
    let jitter = rand::rng().random_range(1.0 - RETRY_AFTER_SPREAD..1.0 + RETRY_AFTER_SPREAD);
    let seconds = format!("{:.2}", pause.as_secs_f64() * jitter);
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        response.headers_mut().insert(header::RETRY_AFTER, value);
    }
    response
}

/// Returns the response to a request that a stopping host does not run.
pub(crate) fn stopping_response() -> Response<ResponseBody> {
    not_run_response("the host stops", STOPPING_RETRY_AFTER)
}
