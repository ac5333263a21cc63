//! HTTP client for backend servers: sends one attempt and reads its answer.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Response, StatusCode};
use http_body_util::Full;

use crate::coordination::AttemptFailure;
use crate::protocol::{ChatAnswer, ChatUsage, headers};
use crate::state::{RequestId, RequestPriority};
use crate::transport::bounded_body::BoundedBody;
use crate::transport::http_client::{HttpClient, read_body};
use crate::transport::transport_error::TransportError;

/// Maximum size of an answer that is not streamed, in bytes.
const MAX_ANSWER_BYTES: usize = 16 * 1_024 * 1_024;
/// Timeout for the new connection that probes whether a server is dead.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);

/// A request to send to a backend server.
#[derive(Clone, Debug)]
pub struct BackendCall {
    /// Address of the server as `ip:port`.
    pub address: String,
    /// HTTP method.
    pub method: Method,
    /// Path with its query.
    pub path: String,
    /// Media type of the body; `None` sends no `Content-Type`.
    pub content_type: Option<HeaderValue>,
    /// Request body.
    pub body: Bytes,
    /// Identifier of the request.
    pub request: RequestId,
    /// Priority of the request.
    pub priority: RequestPriority,
    /// Time left until the caller's deadline.
    pub time_left: Duration,
    /// Index of the first event to send; zero starts a new answer.
    pub resume_from: u64,
    /// Idempotency key; `None` if the call may be repeated.
    pub idempotency_key: Option<HeaderValue>,
}

/// A complete answer of a backend server.
#[derive(Clone, Debug, PartialEq)]
pub struct BackendReply {
    /// HTTP status of the answer.
    pub status: StatusCode,
    /// Media type of the body; `None` if the server sent none or the answer was streamed.
    pub content_type: Option<HeaderValue>,
    /// Body of the answer; empty if it was streamed.
    pub body: Bytes,
    /// Tokens of prompt and answer; zero for a plain service.
    pub usage: ChatUsage,
}

/// Sends calls to backend servers.
#[derive(Clone, Debug)]
pub struct BackendClient {
    client: HttpClient,
}

impl BackendClient {
    /// Creates a client that shares the connection pool of an HTTP client.
    pub fn new(client: HttpClient) -> Self {
        Self { client }
    }

    /// Sends a call and returns the response with its unread body.
    ///
    /// # Errors
    ///
    /// Returns `Refused` if the server says that it did not start the request, `Crossed` if the
    /// answer carries the identifier of another request, or how sending failed.
    pub async fn open(&self, call: &BackendCall) -> Result<Response<BoundedBody>, AttemptFailure> {
        let request = build_request(call).map_err(|_| AttemptFailure::NotSent)?;
        let sent = self.client.send(&call.address, request).await;
        let response = sent.map_err(|error| classify_error(&error))?;
        let status = response.status().as_u16();
        if is_not_started(response.headers()) {
            return Err(AttemptFailure::Refused {
                status,
                not_started: true,
            });
        }
        if let Some(id) = response.headers().get(headers::REQUEST_ID)
            && id.as_bytes() != call.request.to_string().as_bytes()
        {
            return Err(AttemptFailure::Crossed);
        }
        Ok(response)
    }

    /// Sends a chat completion and reads the complete answer.
    ///
    /// # Errors
    ///
    /// Returns how the attempt failed; any status but 200 counts as `Refused`.
    pub async fn run_chat(&self, call: &BackendCall) -> Result<BackendReply, AttemptFailure> {
        let response = self.open(call).await?;
        let reply = read_reply(&call.address, response).await?;
        if reply.status != StatusCode::OK {
            return Err(AttemptFailure::Refused {
                status: reply.status.as_u16(),
                not_started: false,
            });
        }
        let answer: ChatAnswer =
            serde_json::from_slice(&reply.body).map_err(|_| AttemptFailure::Malformed)?;
        if answer.id != call.request.to_string() {
            return Err(AttemptFailure::Crossed);
        }
        let usage = answer.usage;
        Ok(BackendReply { usage, ..reply })
    }

    /// Sends a call to a plain service; any complete answer is returned, whatever its status.
    ///
    /// # Errors
    ///
    /// Returns how the attempt failed.
    pub async fn run_service(&self, call: &BackendCall) -> Result<BackendReply, AttemptFailure> {
        let response = self.open(call).await?;
        read_reply(&call.address, response).await
    }

    /// Returns whether a server accepts no new connection, as after a crash.
    pub async fn is_dead(&self, address: &str) -> bool {
        let connect = tokio::net::TcpStream::connect(address);
        !matches!(
            tokio::time::timeout(PROBE_TIMEOUT, connect).await,
            Ok(Ok(_))
        )
    }
}

/// Reads the complete answer.
async fn read_reply(
    address: &str,
    response: Response<BoundedBody>,
) -> Result<BackendReply, AttemptFailure> {
    let status = response.status();
    let content_type = response.headers().get(http::header::CONTENT_TYPE).cloned();
    let body = read_body(address, response, MAX_ANSWER_BYTES)
        .await
        .map_err(|_| AttemptFailure::Truncated)?;
    Ok(BackendReply {
        status,
        content_type,
        body,
        usage: ChatUsage::default(),
    })
}

/// Returns whether the server states that it did not start the request.
fn is_not_started(headers: &HeaderMap) -> bool {
    headers
        .get(headers::NOT_STARTED)
        .is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"true"))
}

/// Maps a transport error to the failure of the attempt.
fn classify_error(error: &TransportError) -> AttemptFailure {
    match error {
        TransportError::Connect { .. } => AttemptFailure::NotSent,
        TransportError::Timeout { .. } => AttemptFailure::TimedOut,
        _ => AttemptFailure::Broken,
    }
}

/// Builds the HTTP request of a call.
fn build_request(call: &BackendCall) -> Result<Request<Full<Bytes>>, http::Error> {
    let mut builder = Request::builder()
        .method(call.method.clone())
        .uri(format!("http://{}{}", call.address, call.path))
        .header(headers::REQUEST_ID, call.request.to_string())
        .header(headers::PRIORITY, priority_name(call.priority))
        .header(headers::DEADLINE, call.time_left.as_millis().to_string());
    let optional = [
        (http::header::CONTENT_TYPE, call.content_type.clone()),
        (
            HeaderName::from_static(headers::IDEMPOTENCY_KEY),
            call.idempotency_key.clone(),
        ),
    ];
    for (name, value) in optional {
        if let Some(value) = value {
            builder = builder.header(name, value);
        }
    }
    if call.resume_from > 0 {
        builder = builder.header(headers::RESUME_FROM, call.resume_from.to_string());
    }
    builder.body(Full::new(call.body.clone()))
}

/// Returns the value of a priority in the request header.
const fn priority_name(priority: RequestPriority) -> &'static str {
    match priority {
        RequestPriority::Low => "low",
        RequestPriority::Normal => "normal",
        RequestPriority::High => "high",
    }
}
