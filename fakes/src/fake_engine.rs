//! Stand-in for a model engine.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use axum::extract::State;
use axum::http::{HeaderMap, StatusCode, header};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Json, Router};
use serde_json::{Value, json};

use crate::fault_plan::FaultSwitch;
use crate::listener::FakeListener;

/// How a fake engine behaves.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// Quality of the answers by version, written `model@version`.
    pub versions: BTreeMap<String, f64>,
    /// Time to the first token.
    pub first_token: Duration,
    /// Time between tokens.
    pub token_gap: Duration,
    /// Tokens of each answer.
    pub answer_tokens: u32,
    /// Whether the engine refuses orders with an old fencing number.
    pub checks_fencing: bool,
}

impl Default for EngineOptions {
    fn default() -> Self {
        Self {
            versions: BTreeMap::new(),
            first_token: Duration::ZERO,
            token_gap: Duration::ZERO,
            answer_tokens: 8,
            checks_fencing: true,
        }
    }
}

/// Stand-in for a model engine: answers with its version and the quality of its answers.
#[derive(Debug)]
pub struct FakeEngine {
    state: Arc<EngineState>,
    listener: FakeListener,
}

/// Shared state of the engine.
#[derive(Debug)]
struct EngineState {
    options: Mutex<EngineOptions>,
    runs: Mutex<Vec<EngineRun>>,
    running: AtomicU32,
    draining: AtomicBool,
    faults: FaultSwitch,
}

/// A request that the engine started.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineRun {
    /// Identifier of the request.
    pub request_id: String,
    /// Version, as `model@version`.
    pub version: String,
}

impl FakeEngine {
    /// Starts an engine.
    pub async fn start(options: EngineOptions) -> Self {
        let state = Arc::new(EngineState {
            options: Mutex::new(options),
            runs: Mutex::default(),
            running: AtomicU32::new(0),
            draining: AtomicBool::new(false),
            faults: FaultSwitch::default(),
        });
        let routes = Router::new()
            .route("/v1/chat/completions", post(run_chat))
            .route("/load", get(report_load))
            .with_state(state.clone());
        Self {
            state,
            listener: FakeListener::start(routes).await,
        }
    }

    /// Returns the address of the engine.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Returns the switch of the engine's faults.
    pub fn faults(&self) -> &FaultSwitch {
        &self.state.faults
    }

    /// Changes how the engine behaves.
    pub fn change(&self, change: impl FnOnce(&mut EngineOptions)) {
        change(
            &mut self
                .state
                .options
                .lock()
                .unwrap_or_else(PoisonError::into_inner),
        );
    }

    /// Returns the requests that were started.
    pub fn runs(&self) -> Vec<EngineRun> {
        self.state
            .runs
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Sets whether the engine reports that it is leaving.
    pub fn set_draining(&self, draining: bool) {
        self.state.draining.store(draining, Ordering::SeqCst);
    }

    /// Stops the engine as a crash would.
    pub fn kill(&self) {
        self.listener.kill();
    }
}

impl EngineState {
    /// Returns a copy of the options.
    fn options(&self) -> EngineOptions {
        self.options
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }
}

/// Serves the load report.
async fn report_load(State(state): State<Arc<EngineState>>) -> Json<Value> {
    let options = state.options();
    let versions: Vec<Value> = options
        .versions
        .keys()
        .filter_map(|version| version.split_once('@'))
        .map(|(model, version)| json!({ "model": model, "version": version }))
        .collect();
    Json(json!({
        "incarnation": 0,
        "draining": state.draining.load(Ordering::SeqCst),
        "running": state.running.load(Ordering::SeqCst),
        "waiting": 0,
        "cache_used": 0,
        "versions": versions,
    }))
}

/// Runs a chat request.
async fn run_chat(
    State(state): State<Arc<EngineState>>,
    headers: HeaderMap,
    Json(body): Json<Value>,
) -> Response {
    if !state.faults.admit().await {
        return (StatusCode::SERVICE_UNAVAILABLE, [("x-not-started", "true")]).into_response();
    }
    let options = state.options();
    let version = body["model"].as_str().unwrap_or_default().to_owned();
    let Some(quality) = options.versions.get(&version) else {
        return (StatusCode::NOT_FOUND, [("x-not-started", "true")]).into_response();
    };
    let request_id = headers
        .get("x-request-id")
        .and_then(|value| value.to_str().ok());
    let request_id = request_id.unwrap_or_default().to_owned();
    let run = EngineRun {
        request_id: request_id.clone(),
        version: version.clone(),
    };
    state
        .runs
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .push(run);
    state.running.fetch_add(1, Ordering::SeqCst);
    let time = options.first_token + options.token_gap * options.answer_tokens;
    if !time.is_zero() {
        tokio::time::sleep(time).await;
    }
    state.running.fetch_sub(1, Ordering::SeqCst);
    if state.faults.loses_answer() {
        std::future::pending::<()>().await;
    }
    let words = "word ".repeat(options.answer_tokens as usize);
    let text = format!("{words}quality={quality}");
    let answer = json!({
        "id": request_id,
        "model": version,
        "choices": [{
            "index": 0,
            "message": { "role": "assistant", "content": text },
            "finish_reason": "stop",
        }],
        "usage": { "prompt_tokens": 16, "completion_tokens": options.answer_tokens },
    });
    (
        [(header::CONTENT_TYPE, "application/json")],
        answer.to_string(),
    )
        .into_response()
}
