//! Heads of responses that stream events.

use http::{HeaderMap, StatusCode, header};

/// Media type of server-sent events.
const EVENT_STREAM: &str = "text/event-stream";

/// Returns whether the body of a response is a stream of events, or may be one since it states no type.
///
/// ```
/// use galenamast_gateway::protocol::is_event_stream;
/// use http::{HeaderMap, HeaderValue, StatusCode};
///
/// let mut headers = HeaderMap::new();
/// assert!(is_event_stream(StatusCode::OK, &headers));
/// headers.insert("content-type", HeaderValue::from_static("text/event-stream; charset=utf-8"));
/// assert!(is_event_stream(StatusCode::OK, &headers));
/// assert!(!is_event_stream(StatusCode::NO_CONTENT, &headers));
/// headers.insert("content-type", HeaderValue::from_static("text/plain"));
/// assert!(!is_event_stream(StatusCode::OK, &headers));
/// ```
pub fn is_event_stream(status: StatusCode, headers: &HeaderMap) -> bool {
    let is_stated_so = headers.get(header::CONTENT_TYPE).is_none_or(|value| {
        let text = value.to_str().unwrap_or_default();
        let media_type = text.split(';').next().unwrap_or_default();
        media_type.trim().eq_ignore_ascii_case(EVENT_STREAM)
    });
    status == StatusCode::OK && is_stated_so
}
