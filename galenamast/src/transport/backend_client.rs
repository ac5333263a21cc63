//! Client of the backend servers: sends one attempt and reads its answer.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;

use crate::coordination::AttemptFailure;
use crate::protocol::{ChatAnswer, ChatUsage, headers};
use crate::state::{RequestId, RequestPriority};
use crate::transport::http_client::{HttpClient, read_body};
use crate::transport::transport_error::TransportError;

/// Greatest size of an answer that is not streamed, in bytes.
const MAX_ANSWER_BYTES: usize = 16 * 1_024 * 1_024;
/// Longest time in which a server that broke a connection is tried again.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);

/// A request as it is sent to a backend server.
#[derive(Clone, Debug)]
pub struct BackendCall {
    /// Address of the server as `ip:port`.
    pub address: String,
    /// HTTP method.
    pub method: Method,
    /// Path with its query.
    pub path: String,
    /// Media type of the body.
    pub content_type: Option<HeaderValue>,
    /// Body.
    pub body: Bytes,
    /// Identifier of the request.
    pub request: RequestId,
    /// Importance of the request.
    pub priority: RequestPriority,
    /// Time left until the caller's deadline.
    pub time_left: Duration,
    /// Index of the first event that is wanted.
    pub resume_from: u64,
    /// Key that marks a call that must not be repeated.
    pub idempotency_key: Option<HeaderValue>,
}

/// A whole answer of a backend server.
#[derive(Clone, Debug, PartialEq)]
pub struct BackendReply {
    /// HTTP status of the answer.
    pub status: StatusCode,
    /// Media type of the body.
    pub content_type: Option<HeaderValue>,
    /// Body of the answer; empty if it was streamed.
    pub body: Bytes,
    /// Length of prompt and answer.
    pub usage: ChatUsage,
}

/// Client of the backend servers.
#[derive(Clone, Debug)]
pub struct BackendClient {
    client: HttpClient,
}

impl BackendClient {
    /// Creates a client that shares the connections of an HTTP client.
    pub fn new(client: HttpClient) -> Self {
        Self { client }
    }

    /// Sends a call and returns the head of the answer, checked for the request's identifier.
    ///
    /// # Errors
    ///
    /// Returns how the attempt failed.
    pub async fn open(&self, call: &BackendCall) -> Result<Response<Incoming>, AttemptFailure> {
        let request = build_request(call).map_err(|_| AttemptFailure::NotSent)?;
        let sent = self.client.send(&call.address, request).await;
        let response = sent.map_err(|error| failure_of(&error))?;
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

    /// Runs a chat completion and reads the whole answer.
    ///
    /// # Errors
    ///
    /// Returns how the attempt failed.
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

    /// Runs a call of a plain service; any whole answer is the caller's.
    ///
    /// # Errors
    ///
    /// Returns how the attempt failed.
    pub async fn run_service(&self, call: &BackendCall) -> Result<BackendReply, AttemptFailure> {
        let response = self.open(call).await?;
        read_reply(&call.address, response).await
    }

    /// Returns whether a server that broke a connection accepts no other one.
    pub async fn is_dead(&self, address: &str) -> bool {
        let connect = tokio::net::TcpStream::connect(address);
        !matches!(
            tokio::time::timeout(PROBE_TIMEOUT, connect).await,
            Ok(Ok(_))
        )
    }
}

/// Reads a whole answer.
async fn read_reply(
    address: &str,
    response: Response<Incoming>,
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

/// Returns whether a server said that it did not start the request.
fn is_not_started(headers: &HeaderMap) -> bool {
    headers
        .get(headers::NOT_STARTED)
        .is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"true"))
}

/// Names the failure that an error of the client stands for.
fn failure_of(error: &TransportError) -> AttemptFailure {
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

/// Returns the name of a priority as headers carry it.
const fn priority_name(priority: RequestPriority) -> &'static str {
    match priority {
        RequestPriority::Low => "low",
        RequestPriority::Normal => "normal",
        RequestPriority::High => "high",
    }
}
