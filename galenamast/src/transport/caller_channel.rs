//! Delivers an answer to its caller: complete, streamed, or as an error.

use std::convert::Infallible;
use std::time::Duration;

use axum::body::Body;
use axum::http::{HeaderValue, header};
use axum::response::{IntoResponse, Response};
use bytes::Bytes;
use futures_util::StreamExt;
use tokio::sync::{mpsc, oneshot};
use tokio_stream::wrappers::ReceiverStream;
use tokio_util::sync::CancellationToken;

use crate::protocol::{CallerError, END_MARKER, encode_event};
use crate::state::{RequestId, VersionKey};
use crate::transport::backend_client::BackendReply;
use crate::transport::caller_reply::set_answer_headers;

/// Parts of a streamed answer that are buffered for a slow caller.
const BODY_PART_CAPACITY: usize = 32;

/// Receives the complete answer, or the head of a streamed one.
pub type HeadReceiver = oneshot::Receiver<Result<Response, CallerError>>;

/// Sends the answer of one request to its caller.
#[derive(Debug)]
pub struct CallerChannel {
    id: RequestId,
    disconnected: CancellationToken,
    session_token: Option<String>,
    head: Option<oneshot::Sender<Result<Response, CallerError>>>,
    body: Option<mpsc::Sender<Bytes>>,
}

impl CallerChannel {
    /// Opens a channel; `disconnected` is cancelled when the caller drops the body of a stream.
    pub fn open(id: RequestId, disconnected: CancellationToken) -> (Self, HeadReceiver) {
        let (sender, receiver) = oneshot::channel();
        let channel = Self {
            id,
            disconnected,
            session_token: None,
            head: Some(sender),
            body: None,
        };
        (channel, receiver)
    }

    /// Sets the session token that the answer carries.
    pub fn set_session_token(&mut self, token: String) {
        self.session_token = Some(token);
    }

    /// Returns whether the head of a streamed answer was sent.
    pub fn is_streaming(&self) -> bool {
        self.body.is_some()
    }

    /// Sends a complete answer.
    pub fn send_answer(&mut self, reply: BackendReply, version: Option<&VersionKey>) {
        let mut response = (reply.status, reply.body).into_response();
        response.headers_mut().remove(header::CONTENT_TYPE);
        if let Some(content_type) = reply.content_type {
            let fields = response.headers_mut();
            fields.insert(header::CONTENT_TYPE, content_type);
        }
        self.send_head(response, version);
    }

    /// Sends the head of a streamed answer.
    pub fn start_stream(&mut self, version: Option<&VersionKey>) {
        let (sender, receiver) = mpsc::channel::<Bytes>(BODY_PART_CAPACITY);
        // Dropping the body drops the guard, which cancels the token that the runner awaits.
        let guard = self.disconnected.clone().drop_guard();
        let parts = ReceiverStream::new(receiver).map(move |part| {
            let _ = &guard;
            Ok::<Bytes, Infallible>(part)
        });
        let mut response = Body::from_stream(parts).into_response();
        let fields = response.headers_mut();
        let event_stream = HeaderValue::from_static("text/event-stream");
        fields.insert(header::CONTENT_TYPE, event_stream);
        fields.insert(header::CACHE_CONTROL, HeaderValue::from_static("no-store"));
        self.body = Some(sender);
        self.send_head(response, version);
    }

    /// Sends events of a streamed answer; returns false if the caller has disconnected or does not
    /// read within the timeout.
    pub async fn send_events(&mut self, events: &[String], timeout: Duration) -> bool {
        let text: String = events.iter().map(|data| encode_event(data)).collect();
        let Some(body) = &self.body else {
            return false;
        };
        let sent = tokio::time::timeout(timeout, body.send(Bytes::from(text))).await;
        matches!(sent, Ok(Ok(())))
    }

    /// Ends a complete streamed answer with the end marker.
    pub async fn end_stream(&mut self, timeout: Duration) {
        self.send_events(&[END_MARKER.to_owned()], timeout).await;
        self.body = None;
    }

    /// Sends an error, as the answer itself or as the last event of a streamed answer.
    pub async fn send_error(&mut self, error: CallerError, timeout: Duration) {
        if let Some(body) = self.body.take() {
            let data = serde_json::to_string(&error).unwrap_or_default();
            let event = Bytes::from(format!("event: error\ndata: {data}\n\n"));
            let _ = tokio::time::timeout(timeout, body.send(event)).await;
            return;
        }
        if let Some(head) = self.head.take() {
            let _ = head.send(Err(error));
        }
    }

    /// Adds the headers and the session token, and sends the head; a second head is dropped.
    fn send_head(&mut self, mut response: Response, version: Option<&VersionKey>) {
        set_answer_headers(&mut response, self.id, version);
        if let Some(token) = &self.session_token
            && let Ok(value) = HeaderValue::from_str(token)
        {
            let name = crate::protocol::headers::SESSION_TOKEN;
            response.headers_mut().insert(name, value);
        }
        if let Some(head) = self.head.take() {
            let _ = head.send(Ok(response));
        }
    }
}
