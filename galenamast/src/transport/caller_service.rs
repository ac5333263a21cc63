//! Serves calls to plain services according to their configured rules.

use std::sync::Arc;

use axum::body::Body;
use axum::extract::{Path, State};
use axum::http::{Request, header};
use axum::response::Response;

use crate::coordination::BodyDigest;
use crate::protocol::{CallerError, ErrorCode};
use crate::state::{RequestId, RouteRequest, ServiceName};
use crate::transport::caller_admission::{InFlightGuard, admit};
use crate::transport::caller_input::{authenticate, read_body, read_options};
use crate::transport::caller_reply::{error_response, refuse};
use crate::transport::caller_request::{RequestJob, RequestWork, ServiceCall, start_request};
use crate::transport::host_context::HostContext;

/// Handles a call to a plain service.
pub async fn call_service(
    State(context): State<Arc<HostContext>>,
    Path((service, path)): Path<(String, String)>,
    request: Request<Body>,
) -> Response {
    let id = RequestId::generate();
    match run_service(&context, id, &service, &path, request).await {
        Ok(response) => response,
        Err(error) => error_response(&error),
    }
}

/// Validates, admits and runs a call to a plain service.
async fn run_service(
    context: &Arc<HostContext>,
    id: RequestId,
    service: &str,
    path: &str,
    request: Request<Body>,
) -> Result<Response, CallerError> {
    let arrived = context.timers.now();
    let _in_flight = InFlightGuard::open(context, id)?;
    let (parts, body) = request.into_parts();
    let workspace = authenticate(context, id, &parts.headers)?;
    let default_deadline = context.current_settings().callers.default_deadline;
    let options = read_options(id, &parts.headers, default_deadline)?;
    let name = ServiceName::new(service);
    let not_found = || refuse(id, ErrorCode::NotFound, "no such service or path");
    let image = context.image.load_full();
    if !workspace.services.contains(&name) {
        return Err(not_found());
    }
    let spec = image.services.get(&name).ok_or_else(not_found)?;
    let path = format!("/{path}");
    // The server could resolve dot segments to a path outside the prefix of the rule.
    if path.split('/').any(|segment| matches!(segment, "." | "..")) {
        return Err(not_found());
    }
    let rule = spec.rule_for(parts.method.as_str(), &path);
    let idempotent = rule.ok_or_else(not_found)?.idempotent && options.idempotency_key.is_none();
    if (!idempotent || options.non_idempotent) && options.idempotency_key.is_none() {
        let message = "a call that must not be repeated needs an `Idempotency-Key`";
        return Err(refuse(id, ErrorCode::KeyRequired, message));
    }
    let bytes = read_body(context, id, body).await?;
    let raw_path = parts.uri.path_and_query().map_or("", |path| path.as_str());
    let prefix = format!("/svc/{service}");
    let call = ServiceCall {
        pool: spec.pool.clone(),
        method: parts.method.clone(),
        path: raw_path.strip_prefix(&prefix).unwrap_or(&path).to_owned(),
        content_type: parts.headers.get(header::CONTENT_TYPE).cloned(),
    };
    let method = call.method.as_str().as_bytes();
    let identity = [service.as_bytes(), method, call.path.as_bytes(), &bytes].join(&0);
    let admitted = admit(context, id, &workspace, &identity)?;
    let job = RequestJob {
        deadline: arrived + options.time_left,
        hedge_after: None,
        weight: workspace.limits.share_weight,
        idempotency_key: options.idempotency_key,
        work: RequestWork::Service(call),
        digest: BodyDigest::of(&identity),
        session: None,
        body: bytes,
        route: RouteRequest {
            id,
            workspace: workspace.name.clone(),
            task: options.task.clone(),
            time_left: options.time_left,
            idempotent,
            priority: options.priority,
            ..Default::default()
        },
        admitted,
    };
    start_request(context, job).await
}
