//! Parses and validates a caller's input: bearer key, headers and body.

use std::sync::Arc;
use std::time::Duration;

use axum::body::Body;
use axum::http::{HeaderMap, HeaderValue, header};
use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};

use crate::protocol::{CallerError, ErrorCode, headers};
use crate::state::{KeyDigest, RequestId, RequestPriority, TaskName, WorkspaceSpec};
use crate::transport::caller_reply::refuse;
use crate::transport::host_context::HostContext;

/// Task of a request without a task header.
const DEFAULT_TASK: &str = "general";
/// Maximum length of an idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 255;
/// Upper bound of the deadline; a longer one that a caller asks for is cut to it.
const MAX_DEADLINE: Duration = Duration::from_secs(3_600);

/// Options that a caller sets in the headers of a request.
#[derive(Clone, Debug)]
pub struct CallerOptions {
    /// Task of the request.
    pub task: TaskName,
    /// Priority in the queue and at the server.
    pub priority: RequestPriority,
    /// Time that the caller waits for the complete answer.
    pub time_left: Duration,
    /// Key under which the request runs at most once; `None` if the caller sent none.
    pub idempotency_key: Option<HeaderValue>,
    /// Whether the caller marked the request as one that must not run twice.
    pub non_idempotent: bool,
    /// Session token, not verified yet.
    pub session_token: Option<String>,
}

/// Returns the workspace that the caller's bearer key belongs to.
///
/// # Errors
///
/// Returns the refusal if the key is missing or unknown.
pub fn authenticate(
    context: &HostContext,
    id: RequestId,
    headers: &HeaderMap,
) -> Result<Arc<WorkspaceSpec>, CallerError> {
    let unauthorized = |message| refuse(id, ErrorCode::Unauthorized, message);
    let key = headers
        .get(header::AUTHORIZATION)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.strip_prefix("Bearer "))
        .ok_or_else(|| unauthorized("a bearer key is needed"))?;
    let image = context.image.load();
    image
        .workspace_by_key(&KeyDigest::of_key(key))
        .cloned()
        .ok_or_else(|| unauthorized("the bearer key is not known"))
}

/// Parses the optional headers of a request.
///
/// # Errors
///
/// Returns the refusal if a header is malformed.
pub fn read_options(
    id: RequestId,
    headers: &HeaderMap,
    default_deadline: Duration,
) -> Result<CallerOptions, CallerError> {
    let bad_request = |message: &str| refuse(id, ErrorCode::BadRequest, message);
    let header_text = |name: &str| match headers.get(name).map(HeaderValue::to_str) {
        None => Ok(None),
        Some(Ok(text)) => Ok(Some(text)),
        Some(Err(_)) => Err(bad_request(&format!("`{name}` is not plain text"))),
    };
    let priority = match header_text(headers::PRIORITY)? {
        None | Some("normal") => RequestPriority::Normal,
        Some("low") => RequestPriority::Low,
        Some("high") => RequestPriority::High,
        Some(_) => return Err(bad_request("`x-priority` must be low, normal or high")),
    };
    let time_left = match header_text(headers::DEADLINE)? {
        None => default_deadline,
        Some(value) => value
            .parse()
            .ok()
            .filter(|millis| *millis > 0)
            .map(Duration::from_millis)
            .ok_or_else(|| bad_request("`x-deadline-ms` must be a whole number above zero"))?,
    };
    let idempotency_key = headers.get(headers::IDEMPOTENCY_KEY).cloned();
    if let Some(key) = &idempotency_key
        && (key.is_empty() || key.len() > MAX_KEY_BYTES || key.to_str().is_err())
    {
        return Err(bad_request(
            "`idempotency-key` must be 1 to 255 plain characters",
        ));
    }
    let non_idempotent = match header_text(headers::NON_IDEMPOTENT)? {
        None | Some("false") => false,
        Some("true") => true,
        Some(_) => return Err(bad_request("`x-non-idempotent` must be true or false")),
    };
    Ok(CallerOptions {
        task: TaskName::new(header_text(headers::TASK)?.unwrap_or(DEFAULT_TASK)),
        priority,
        time_left: time_left.min(MAX_DEADLINE),
        idempotency_key,
        non_idempotent,
        session_token: header_text(headers::SESSION_TOKEN)?.map(str::to_owned),
    })
}

/// Reads a body within the configured size limit and read timeout.
///
/// # Errors
///
/// Returns the refusal if the body is too large, too slow or cut off.
pub async fn read_body(
    context: &HostContext,
    id: RequestId,
    body: Body,
) -> Result<Bytes, CallerError> {
    let settings = context.current_settings();
    let callers = &settings.callers;
    let collect = Limited::new(body, callers.max_body_bytes).collect();
    let collected = tokio::select! {
        collected = collect => collected,
        () = context.timers.sleep(callers.read_timeout) => {
            return Err(refuse(id, ErrorCode::Timeout, "the body was not sent in time"));
        }
    };
    match collected {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => {
            Err(refuse(id, ErrorCode::TooLarge, "the body is too large"))
        }
        Err(_) => Err(refuse(id, ErrorCode::BadRequest, "the body was cut off")),
    }
}
