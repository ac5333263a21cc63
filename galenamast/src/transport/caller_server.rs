//! The face towards callers: HTTP routes and the thin request path.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use axum::Router;
use axum::body::Bytes;
use axum::extract::State;
use axum::http::{HeaderMap, HeaderValue, StatusCode, header};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use log::Level;

use crate::coordination::UsageRecord;
use crate::logging::log_record;
use crate::protocol::headers;
use crate::protocol::{CallerError, ChatRequest, DecisionRecord, ErrorCode, LogRecord};
use crate::state::{
    KeyDigest, ModelName, RefusalReason, RequestId, RouteOutcome, RouteRequest, RouteTarget,
    RunState, TaskName, WorkspaceName, plan_route,
};
use crate::transport::backend_client::BackendReply;
use crate::transport::host_context::HostContext;
use crate::transport::transport_error::TransportError;

/// Model name by which a caller leaves the choice to the router.
const AUTO_MODEL: &str = "auto";
/// Length of an answer that is assumed when the caller names none, in tokens.
const DEFAULT_OUTPUT_TOKENS: u32 = 256;
/// Task of a request that names none.
const DEFAULT_TASK: &str = "general";

/// Builds the routes for callers.
pub fn caller_routes(context: Arc<HostContext>) -> Router {
    Router::new()
        .route("/v1/chat/completions", post(complete_chat))
        .route("/livez", get(|| async { StatusCode::OK }))
        .route("/readyz", get(report_ready))
        .with_state(context)
}

/// Reports whether the host can serve.
async fn report_ready(State(context): State<Arc<HostContext>>) -> StatusCode {
    let draining = context.draining.load(Ordering::Relaxed);
    if context.image.load().generation.0 > 0 && !draining {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    }
}

/// Serves a chat completion.
async fn complete_chat(
    State(context): State<Arc<HostContext>>,
    headers: HeaderMap,
    body: Bytes,
) -> Response {
    let id = RequestId::generate();
    match run_chat(&context, id, &headers, &body).await {
        Ok(response) => response,
        Err(error) => error_response(&error),
    }
}

/// Authenticates, routes and runs a chat request.
async fn run_chat(
    context: &HostContext,
    id: RequestId,
    headers: &HeaderMap,
    body: &[u8],
) -> Result<Response, CallerError> {
    let workspace = authenticate(context, id, headers)?;
    let chat = ChatRequest::decode(body)
        .map_err(|error| refuse(id, ErrorCode::BadRequest, &error.to_string()))?;
    let request = route_request(id, workspace, headers, &chat, Duration::from_secs(60));
    let target = route(context, &request)?;
    let reply = context
        .backends
        .run_chat(&target, id, &chat, request.time_left)
        .await
        .map_err(|error| backend_failure(id, &error))?;
    bill(context, &request, &target, &reply);
    Ok(answer_response(id, &target, reply))
}

/// Finds the workspace of the caller's bearer key.
fn authenticate(
    context: &HostContext,
    id: RequestId,
    headers: &HeaderMap,
) -> Result<WorkspaceName, CallerError> {
    let key = headers
        .get(header::AUTHORIZATION)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.strip_prefix("Bearer "));
    let Some(key) = key else {
        return Err(refuse(
            id,
            ErrorCode::Unauthorized,
            "a bearer key is needed",
        ));
    };
    let image = context.image.load();
    let workspace = image.workspace_by_key(&KeyDigest::of_key(key));
    workspace
        .map(|workspace| workspace.name.clone())
        .ok_or_else(|| refuse(id, ErrorCode::Unauthorized, "the bearer key is not known"))
}

/// Describes a chat request for the routing decision.
fn route_request(
    id: RequestId,
    workspace: WorkspaceName,
    headers: &HeaderMap,
    chat: &ChatRequest,
    time_left: Duration,
) -> RouteRequest {
    let task = headers
        .get(headers::TASK)
        .and_then(|value| value.to_str().ok());
    let model = Some(chat.model.as_str()).filter(|name| !name.is_empty() && *name != AUTO_MODEL);
    RouteRequest {
        id,
        workspace,
        model: model.map(ModelName::new),
        task: TaskName::new(task.unwrap_or(DEFAULT_TASK)),
        prompt_tokens: chat.estimate_prompt_tokens(),
        max_output_tokens: chat.max_tokens.unwrap_or(DEFAULT_OUTPUT_TOKENS),
        time_left,
        idempotent: true,
        streamed: chat.stream,
        ..Default::default()
    }
}

/// Makes and logs the routing decision.
fn route(context: &HostContext, request: &RouteRequest) -> Result<RouteTarget, CallerError> {
    let image = context.image.load();
    let tables = context.tables.load();
    let now = context.timers.now();
    let decision = plan_route(request, &image, &tables, now, context.next_seed());
    let outcome = decision.outcome.clone();
    log_record(
        Level::Info,
        &LogRecord::Decision(DecisionRecord {
            request_id: request.id,
            attempt: 0,
            workspace: request.workspace.clone(),
            task: request.task.clone(),
            session: None,
            decision,
        }),
    );
    match outcome {
        RouteOutcome::Dispatch(target) => Ok(target),
        RouteOutcome::Cascade(plan) => Ok(plan.first),
        RouteOutcome::Queue(_) => Err(refuse_reason(request.id, RefusalReason::Overloaded)),
        RouteOutcome::Refuse(reason) => Err(refuse_reason(request.id, reason)),
    }
}

/// Records what the request is billed for.
fn bill(context: &HostContext, request: &RouteRequest, target: &RouteTarget, reply: &BackendReply) {
    let usage = reply.answer.usage;
    let image = context.image.load();
    let price = image.version(&target.version).map_or(0, |spec| {
        spec.price_of(usage.prompt_tokens, usage.completion_tokens)
    });
    let record = UsageRecord {
        request_id: request.id,
        workspace: request.workspace.clone(),
        task: request.task.clone(),
        version: Some(target.version.clone()),
        input_tokens: usage.prompt_tokens,
        output_tokens: usage.completion_tokens,
        price,
        ended_unix_ms: context.timers.unix_millis(),
    };
    log_record(Level::Info, &LogRecord::Usage(record));
}

/// Describes a refusal before anything was sent to a server.
fn refuse(id: RequestId, code: ErrorCode, message: &str) -> CallerError {
    CallerError {
        code,
        message: message.into(),
        run: RunState::NotRun,
        request_id: id,
        retry_after_ms: None,
    }
}

/// Describes a refusal by the routing decision.
fn refuse_reason(id: RequestId, reason: RefusalReason) -> CallerError {
    refuse(
        id,
        ErrorCode::from(reason),
        &format!("the request was refused: {reason:?}"),
    )
}

/// Describes the failure of an attempt.
fn backend_failure(id: RequestId, error: &TransportError) -> CallerError {
    let (code, run) = match error {
        TransportError::Connect { .. } => (ErrorCode::Unavailable, RunState::NotRun),
        TransportError::Timeout { .. } => (ErrorCode::Timeout, RunState::OutcomeUnknown),
        _ => (ErrorCode::BackendFailed, RunState::OutcomeUnknown),
    };
    let message = error.to_string();
    CallerError {
        code,
        message,
        run,
        request_id: id,
        retry_after_ms: None,
    }
}

/// Builds the answer with the headers that name what answered.
fn answer_response(id: RequestId, target: &RouteTarget, reply: BackendReply) -> Response {
    let mut response = reply.body.into_response();
    let headers = response.headers_mut();
    headers.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    let fields = [
        (headers::REQUEST_ID, id.to_string()),
        (headers::MODEL, target.version.model.to_string()),
        (headers::VERSION, target.version.version.to_string()),
    ];
    for (name, value) in fields {
        if let Ok(value) = HeaderValue::from_str(&value) {
            headers.insert(name, value);
        }
    }
    response
}

/// Builds the answer that carries an error.
fn error_response(error: &CallerError) -> Response {
    let status = StatusCode::from_u16(error.code.status()).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = (status, axum::Json(error)).into_response();
    if let Ok(value) = HeaderValue::from_str(&error.request_id.to_string()) {
        response.headers_mut().insert(headers::REQUEST_ID, value);
    }
    response
}
