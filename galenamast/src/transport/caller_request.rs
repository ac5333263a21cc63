//! Starts an admitted request and returns its answer to the caller.

use std::sync::Arc;
use std::time::Duration;

use axum::http::{HeaderValue, Method};
use axum::response::Response;
use bytes::Bytes;
use tokio_util::sync::CancellationToken;

use crate::coordination::{AttemptFailure, BodyDigest, FailureReason};
use crate::protocol::{CallerError, ChatRequest};
use crate::state::{PoolName, RouteRequest, RunState, TimePoint};
use crate::transport::caller_admission::AdmittedRequest;
use crate::transport::caller_channel::CallerChannel;
use crate::transport::caller_reply::describe_failure;
use crate::transport::host_context::HostContext;
use crate::transport::request_runner::RequestRunner;
use crate::transport::request_session::CallerSession;

/// A call to a plain service.
#[derive(Clone, Debug)]
pub struct ServiceCall {
    /// Pool of the service.
    pub pool: PoolName,
    /// HTTP method.
    pub method: Method,
    /// Path with its query.
    pub path: String,
    /// Media type of the body; `None` if the caller sent none.
    pub content_type: Option<HeaderValue>,
}

/// The work that a request asks for.
#[derive(Clone, Debug)]
pub enum RequestWork {
    /// A chat completion.
    Chat(ChatRequest),
    /// A call to a plain service.
    Service(ServiceCall),
}

/// An admitted request with everything that is needed to run it.
#[derive(Debug)]
pub struct RequestJob {
    /// Input of the routing decision.
    pub route: RouteRequest,
    /// The work that is asked for.
    pub work: RequestWork,
    /// Body as the caller sent it.
    pub body: Bytes,
    /// Time by which the caller needs the answer.
    pub deadline: TimePoint,
    /// Time without an answer after which a second attempt starts; `None` disables hedging.
    pub hedge_after: Option<Duration>,
    /// Weight of the workspace when requests of several workspaces wait.
    pub weight: f64,
    /// Key under which the request runs at most once; `None` if the caller sent none.
    pub idempotency_key: Option<HeaderValue>,
    /// Digest of the request, to detect an idempotency key that is reused for another one.
    pub digest: BodyDigest,
    /// Session of the caller's verified token; `None` if the caller sent none.
    pub session: Option<CallerSession>,
    /// Admission of the request, which holds its share of the limits.
    pub admitted: AdmittedRequest,
}

/// Runs a request in its own task and returns the complete answer, or the head of a streamed one.
///
/// # Errors
///
/// Returns the error to send to the caller.
pub async fn start_request(
    context: &Arc<HostContext>,
    job: RequestJob,
) -> Result<Response, CallerError> {
    let id = job.route.id;
    let disconnected = CancellationToken::new();
    let (channel, head) = CallerChannel::open(id, disconnected.clone());
    let runner = RequestRunner::new(context.clone(), job, channel, disconnected.clone());
    tokio::spawn(runner.run());
    // Dropped together with the caller's connection, which notifies the runner.
    let guard = disconnected.drop_guard();
    let answer = head.await;
    guard.disarm();
    answer.unwrap_or_else(|_| {
        let reason = FailureReason::Attempt(AttemptFailure::Cancelled);
        Err(describe_failure(id, reason, RunState::OutcomeUnknown))
    })
}
