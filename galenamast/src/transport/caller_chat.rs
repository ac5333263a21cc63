//! Serves chat completions and the list of models.

use std::sync::Arc;
use std::time::Duration;

use axum::body::Body;
use axum::extract::State;
use axum::http::{HeaderMap, Request};
use axum::response::{IntoResponse, Response};
use serde::Serialize;

use crate::coordination::{BodyDigest, CrashFingerprint};
use crate::protocol::{CallerError, ChatRequest, ErrorCode};
use crate::state::{ModelName, RequestId, RouteRequest, WorkspaceName};
use crate::transport::caller_admission::{InFlightGuard, admit};
use crate::transport::caller_input::{authenticate, read_body, read_options};
use crate::transport::caller_reply::{error_response, refuse};
use crate::transport::caller_request::{RequestJob, RequestWork, start_request};
use crate::transport::host_context::HostContext;
use crate::transport::request_session::{CallerSession, verify_token};

/// Model name with which a caller leaves the choice to the router.
const AUTO_MODEL: &str = "auto";
/// Assumed output length when the caller sets no `max_tokens`, in tokens.
const DEFAULT_OUTPUT_TOKENS: u32 = 256;
/// Time without an answer after which a request of a hedged task gets a second attempt.
const HEDGE_DELAY: Duration = Duration::from_millis(150);

/// Handles a chat completion request.
pub async fn complete_chat(
    State(context): State<Arc<HostContext>>,
    request: Request<Body>,
) -> Response {
    let id = RequestId::generate();
    match run_chat(&context, id, request).await {
        Ok(response) => response,
        Err(error) => error_response(&error),
    }
}

/// Validates, admits and runs a chat completion.
async fn run_chat(
    context: &Arc<HostContext>,
    id: RequestId,
    request: Request<Body>,
) -> Result<Response, CallerError> {
    let arrived = context.timers.now();
    let _in_flight = InFlightGuard::open(context, id)?;
    let (parts, body) = request.into_parts();
    let workspace = authenticate(context, id, &parts.headers)?;
    let default_deadline = context.current_settings().callers.default_deadline;
    let options = read_options(id, &parts.headers, default_deadline)?;
    let bytes = read_body(context, id, body).await?;
    let chat = ChatRequest::decode(&bytes)
        .map_err(|error| refuse(id, ErrorCode::BadRequest, &error.to_string()))?;
    if options.non_idempotent && options.idempotency_key.is_none() {
        let message = "a request that must not be run twice needs an `Idempotency-Key`";
        return Err(refuse(id, ErrorCode::KeyRequired, message));
    }
    let session = options
        .session_token
        .as_deref()
        .map(|token| verify_token(context, &workspace.name, token))
        .transpose()
        .map_err(|error| refuse(id, ErrorCode::BadRequest, &error.to_string()))?;
    let admitted = admit(context, id, &workspace, &bytes)?;
    let idempotent = options.idempotency_key.is_none();
    let model = Some(chat.model.as_str()).filter(|name| !name.is_empty() && *name != AUTO_MODEL);
    let route = RouteRequest {
        id,
        workspace: workspace.name.clone(),
        model: model.map(ModelName::new),
        task: options.task.clone(),
        pinned: session.as_ref().map(|known| known.claims.version.clone()),
        prefix_hash: prefix_hash(session.as_ref(), &chat),
        prompt_tokens: chat.estimate_prompt_tokens(),
        max_output_tokens: chat.max_tokens.unwrap_or(DEFAULT_OUTPUT_TOKENS),
        time_left: options.time_left,
        idempotent,
        streamed: chat.stream,
        priority: options.priority,
        ..Default::default()
    };
    let hedged = idempotent && workspace.hedged_tasks.contains(&options.task);
    let job = RequestJob {
        deadline: arrived + options.time_left,
        hedge_after: hedged.then_some(HEDGE_DELAY),
        weight: workspace.limits.share_weight,
        idempotency_key: options.idempotency_key,
        work: RequestWork::Chat(chat),
        digest: BodyDigest::of(&bytes),
        session,
        body: bytes,
        route,
        admitted,
    };
    start_request(context, job).await
}

/// Hashes what requests that benefit from the same server's cache share: the session, or else the
/// first message.
fn prefix_hash(session: Option<&CallerSession>, chat: &ChatRequest) -> u64 {
    let workspace = WorkspaceName::default();
    let hash = |text: &str| CrashFingerprint::of_request(&[0; 16], &workspace, text.as_bytes()).0;
    match (session, chat.messages.first()) {
        (Some(session), _) => hash(session.claims.session.as_str()),
        (None, Some(message)) => hash(&message.content.to_string()),
        (None, None) => 0,
    }
}

/// An entry in the list of models.
#[derive(Debug, Serialize)]
struct ModelEntry {
    id: ModelName,
    object: &'static str,
    versions: Vec<String>,
}

/// Body of the answer that lists models.
#[derive(Debug, Serialize)]
struct ModelList {
    object: &'static str,
    data: Vec<ModelEntry>,
}

/// Lists the models that the caller's workspace may use.
pub async fn list_models(State(context): State<Arc<HostContext>>, headers: HeaderMap) -> Response {
    let id = RequestId::generate();
    let workspace = match authenticate(&context, id, &headers) {
        Ok(workspace) => workspace,
        Err(error) => return error_response(&error),
    };
    let data = workspace
        .allowed
        .iter()
        .map(|(model, versions)| ModelEntry {
            id: model.clone(),
            object: "model",
            versions: versions.iter().map(ToString::to_string).collect(),
        })
        .collect();
    let list = ModelList {
        object: "list",
        data,
    };
    axum::Json(list).into_response()
}
