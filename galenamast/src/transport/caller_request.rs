//! Starts an admitted request and hands its answer to the caller.

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

/// A call of a plain service.
#[derive(Clone, Debug)]
pub struct ServiceCall {
    /// Pool of the service.
    pub pool: PoolName,
    /// HTTP method.
    pub method: Method,
    /// Path with its query.
    pub path: String,
    /// Media type of the body.
    pub content_type: Option<HeaderValue>,
}

/// What a request asks for.
#[derive(Clone, Debug)]
pub enum RequestWork {
    /// A chat completion.
    Chat(ChatRequest),
    /// A call of a plain service.
    Service(ServiceCall),
}

/// A request that is to be run.
#[derive(Debug)]
pub struct RequestJob {
    /// Properties that its routing depends on.
    pub route: RouteRequest,
    /// What it asks for.
    pub work: RequestWork,
    /// Body as the caller sent it.
    pub body: Bytes,
    /// Time by which the caller needs the answer.
    pub deadline: TimePoint,
    /// Silence after which a second attempt starts; `None` for no hedging.
    pub hedge_after: Option<Duration>,
    /// Share of the workspace under contention.
    pub weight: f64,
    /// Key under which the request runs at most once.
    pub idempotency_key: Option<HeaderValue>,
    /// Digest of what the request asks for.
    pub digest: BodyDigest,
    /// Session that the caller's token names.
    pub session: Option<CallerSession>,
    /// Limits that the request takes up.
    pub admitted: AdmittedRequest,
}

/// Runs a request apart from the caller's connection and returns its answer or its head.
///
/// # Errors
///
/// Returns the error that the caller gets.
pub async fn start_request(
    context: &Arc<HostContext>,
    job: RequestJob,
) -> Result<Response, CallerError> {
    let id = job.route.id;
    let gone = CancellationToken::new();
    let (channel, head) = CallerChannel::open(id, gone.clone());
    let runner = RequestRunner::new(context.clone(), job, channel, gone.clone());
    tokio::spawn(runner.run());
    // Dropped with the caller's connection, which tells the runner.
    let guard = gone.drop_guard();
    let answer = head.await;
    guard.disarm();
    answer.unwrap_or_else(|_| {
        let reason = FailureReason::Attempt(AttemptFailure::Cancelled);
        Err(describe_failure(id, reason, RunState::OutcomeUnknown))
    })
}
