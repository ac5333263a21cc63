//! Stand-in for a plain service.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use axum::body::Bytes;
use axum::extract::State;
use axum::http::{HeaderMap, Method, StatusCode, Uri};
use axum::response::{IntoResponse, Response};
use axum::routing::{any, get};
use axum::{Json, Router};
use serde_json::{Value, json};

use crate::fault_plan::FaultSwitch;
use crate::listener::FakeListener;

/// Stand-in for a plain service, which records each call that it runs.
#[derive(Debug)]
pub struct FakeService {
    state: Arc<ServiceState>,
    listener: FakeListener,
}

/// State that the service's handlers share.
#[derive(Debug, Default)]
struct ServiceState {
    runs: Mutex<Vec<ServiceRun>>,
    draining: Mutex<bool>,
    crashed: tokio_util::sync::CancellationToken,
    faults: FaultSwitch,
}

/// A call that the service ran.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceRun {
    /// HTTP method.
    pub method: String,
    /// Path of the call.
    pub path: String,
    /// Identifier of the request; empty if the call has none.
    pub request_id: String,
    /// Body of the call.
    pub body: Vec<u8>,
}

impl FakeService {
    /// Starts the service.
    pub async fn start() -> Self {
        let state = Arc::new(ServiceState::default());
        let routes = Router::new()
            .route("/load", get(report_load))
            .fallback(any(run_call))
            .with_state(state.clone());
        let listener = FakeListener::start_until(routes, state.crashed.clone()).await;
        Self { state, listener }
    }

    /// Returns the address of the service.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Returns the fault switch of the service.
    pub fn faults(&self) -> &FaultSwitch {
        &self.state.faults
    }

    /// Returns the calls that the service ran, oldest first.
    pub fn runs(&self) -> Vec<ServiceRun> {
        self.state
            .runs
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Sets whether the service reports that it is draining.
    pub fn set_draining(&self, draining: bool) {
        *self
            .state
            .draining
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = draining;
    }

    /// Stops the service and breaks its connections, as a crash would.
    pub fn kill(&self) {
        self.state.crashed.cancel();
        self.listener.kill();
    }
}

/// Answers with the load report.
async fn report_load(State(state): State<Arc<ServiceState>>) -> Json<Value> {
    let draining = *state
        .draining
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    Json(json!({ "incarnation": 0, "draining": draining, "running": 0, "waiting": 0 }))
}

/// Runs a call and answers with its identifier, method and path.
async fn run_call(
    State(state): State<Arc<ServiceState>>,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
) -> Response {
    if !state.faults.admit().await {
        return (StatusCode::SERVICE_UNAVAILABLE, [("x-not-started", "true")]).into_response();
    }
    let request_id = headers
        .get("x-request-id")
        .and_then(|value| value.to_str().ok());
    let run = ServiceRun {
        method: method.to_string(),
        path: uri.path().to_owned(),
        request_id: request_id.unwrap_or_default().to_owned(),
        body: body.to_vec(),
    };
    let answer = json!({ "request_id": run.request_id, "method": run.method, "path": run.path });
    state
        .runs
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .push(run.clone());
    if state.faults.loses_answer() {
        std::future::pending::<()>().await;
    }
    ([("x-request-id", run.request_id)], Json(answer)).into_response()
}
