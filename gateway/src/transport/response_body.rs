//! Answers to callers.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use rand::Rng;
use thiserror::Error;

/// Part of a pause by which callers are spread, so that they do not come back together.
const RETRY_AFTER_SPREAD: f64 = 0.5;

/// A streamed answer ended before it was whole; the connection is closed without its end mark.
#[derive(Debug, Error)]
#[error("the answer broke off")]
pub(crate) struct TruncatedResponse;

/// Body of an answer.
pub(crate) type ResponseBody = UnsyncBoxBody<Bytes, TruncatedResponse>;

/// Returns a body of known bytes.
pub(crate) fn full_body(bytes: Bytes) -> ResponseBody {
    Full::new(bytes)
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Returns an answer of the host itself.
pub(crate) fn host_response(status: StatusCode, text: &'static str) -> Response<ResponseBody> {
    let mut response = Response::new(full_body(Bytes::from_static(text.as_bytes())));
    *response.status_mut() = status;
    let plain = HeaderValue::from_static("text/plain");
    response.headers_mut().insert(header::CONTENT_TYPE, plain);
    response
}

/// Returns the answer to a request that did not run and never will, with the time to come back.
pub(crate) fn not_run_response(text: &'static str, pause: Duration) -> Response<ResponseBody> {
    let mut response = host_response(StatusCode::SERVICE_UNAVAILABLE, text);
    let spread = rand::rng().random_range(1.0 - RETRY_AFTER_SPREAD..1.0 + RETRY_AFTER_SPREAD);
    let seconds = format!("{:.2}", pause.as_secs_f64() * spread);
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        response.headers_mut().insert(header::RETRY_AFTER, value);
    }
    response
}
