//! Stand-in for a model engine.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use axum::extract::State;
use axum::http::{HeaderMap, StatusCode};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Json, Router};
use serde_json::{Value, json};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use crate::engine_answer::{AnswerPlan, stream_answer, whole_answer};
use crate::engine_orders::{EngineOrders, OrderOptions, OrderedVersion};
use crate::fault_plan::FaultSwitch;
use crate::listener::FakeListener;

/// Behaviour of a fake engine.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// Quality of the answers by version, written `model@version`.
    pub versions: BTreeMap<String, f64>,
    /// Time to the first token of an answer.
    pub first_token: Duration,
    /// Time between tokens of an answer.
    pub token_gap: Duration,
    /// Number of tokens of each answer.
    pub answer_tokens: u32,
    /// Requests that the engine runs at once; further ones wait in order. `None` sets no bound.
    ///
    /// Read only when the engine starts.
    pub slots: Option<usize>,
    /// How the engine handles orders; `None` if it receives none and serves all its versions.
    ///
    /// An engine that receives orders serves those of its versions that it has loaded.
    pub orders: Option<OrderOptions>,
}

impl Default for EngineOptions {
    fn default() -> Self {
        Self {
            versions: BTreeMap::new(),
            first_token: Duration::ZERO,
            token_gap: Duration::ZERO,
            answer_tokens: 8,
            slots: None,
            orders: None,
        }
    }
}

/// Faults of an engine in addition to those of every stand-in.
#[derive(Clone, Debug, Default)]
pub struct EngineFaults {
    /// Index of the event before which truncated streams end, without the end marker.
    pub truncate_after: Option<u64>,
    /// Number of answers still to be truncated.
    pub truncations: u32,
    /// Number of upcoming answers that carry the identifier of another request.
    pub crossed_answers: u32,
    /// Whether each event is sent twice.
    pub repeat_events: bool,
    /// The engine crashes when the body of a request contains this text.
    pub poison: Option<String>,
    /// Whether the engine ignores the resume header and starts each stream at its first event.
    pub ignores_resume: bool,
    /// Whether load reports hang without an answer.
    pub hang_load: bool,
    /// Number of running requests that is reported instead of the real one.
    pub false_load: Option<u32>,
}

/// Stand-in for a model engine: answers with its version and the quality of its answers.
#[derive(Debug)]
pub struct FakeEngine {
    state: Arc<EngineState>,
    listener: FakeListener,
}

/// State that the engine's handlers share.
#[derive(Debug)]
pub(crate) struct EngineState {
    options: Mutex<EngineOptions>,
    engine_faults: Mutex<EngineFaults>,
    runs: Mutex<Vec<EngineRun>>,
    cancelled: Mutex<BTreeSet<String>>,
    running: AtomicU32,
    slots: Option<Arc<Semaphore>>,
    incarnation: AtomicU64,
    draining: AtomicBool,
    crashed: tokio_util::sync::CancellationToken,
    faults: FaultSwitch,
    orders: Option<Arc<EngineOrders>>,
}

/// A request that the engine started.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineRun {
    /// Identifier of the request.
    pub request_id: String,
    /// Version, as `model@version`.
    pub version: String,
    /// Priority from the entry host's header; empty if it sent none.
    pub priority: String,
    /// Index of the first event of the answer; 0 unless the request resumes a stream.
    pub resume_from: u64,
}

/// Counts a request as running until dropped, and as cancelled if its answer is incomplete then.
#[derive(Debug)]
pub(crate) struct RunGuard {
    state: Arc<EngineState>,
    request_id: String,
    finished: bool,
    slot: Option<OwnedSemaphorePermit>,
}

impl RunGuard {
    /// Counts a request as running.
    fn start(state: &Arc<EngineState>, request_id: &str) -> Self {
        state.running.fetch_add(1, Ordering::SeqCst);
        Self {
            state: state.clone(),
            request_id: request_id.to_owned(),
            finished: false,
            slot: None,
        }
    }

    /// Waits for a slot and holds it until the request ends.
    async fn take_slot(&mut self) {
        if let Some(slots) = self.state.slots.clone() {
            self.slot = slots.acquire_owned().await.ok();
        }
    }

    /// Marks the answer as complete, so that the request does not count as cancelled.
    pub(crate) fn finish(&mut self) {
        self.finished = true;
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        self.state.running.fetch_sub(1, Ordering::SeqCst);
        if !self.finished {
            let mut cancelled = lock(&self.state.cancelled);
            cancelled.insert(self.request_id.clone());
        }
    }
}

/// Locks a mutex, also after a panic of another holder.
fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl FakeEngine {
    /// Starts an engine.
    pub async fn start(options: EngineOptions) -> Self {
        let slots = options.slots.map(|count| Arc::new(Semaphore::new(count)));
        let orders = options.orders.clone().map(EngineOrders::new);
        let state = Arc::new(EngineState {
            slots,
            orders: orders.clone(),
            options: Mutex::new(options),
            engine_faults: Mutex::default(),
            runs: Mutex::default(),
            cancelled: Mutex::default(),
            running: AtomicU32::new(0),
            incarnation: AtomicU64::new(0),
            draining: AtomicBool::new(false),
            crashed: tokio_util::sync::CancellationToken::new(),
            faults: FaultSwitch::default(),
        });
        let mut routes = Router::new()
            .route("/v1/chat/completions", post(run_chat))
            .route("/load", get(report_load))
            .with_state(state.clone());
        if let Some(orders) = &orders {
            routes = routes.merge(orders.routes());
        }
        let listener = FakeListener::start_until(routes, state.crashed.clone()).await;
        Self { state, listener }
    }

    /// Returns the address of the engine.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Returns the switch of the faults that every stand-in has.
    pub fn faults(&self) -> &FaultSwitch {
        &self.state.faults
    }

    /// Returns the orders; `None` if the engine receives none.
    pub fn orders(&self) -> Option<&Arc<EngineOrders>> {
        self.state.orders.as_ref()
    }

    /// Changes the faults that only engines have.
    pub fn set_faults(&self, change: impl FnOnce(&mut EngineFaults)) {
        change(&mut lock(&self.state.engine_faults));
    }

    /// Changes the behaviour of the running engine.
    pub fn change(&self, change: impl FnOnce(&mut EngineOptions)) {
        change(&mut lock(&self.state.options));
    }

    /// Returns the requests that the engine started, oldest first.
    pub fn runs(&self) -> Vec<EngineRun> {
        lock(&self.state.runs).clone()
    }

    /// Returns the number of running requests, those that wait for a slot included.
    pub fn running(&self) -> u32 {
        self.state.running.load(Ordering::SeqCst)
    }

    /// Returns the identifiers of the requests whose answer was dropped before its end.
    pub fn cancelled(&self) -> BTreeSet<String> {
        lock(&self.state.cancelled).clone()
    }

    /// Returns whether the engine crashed or was killed.
    pub fn is_dead(&self) -> bool {
        self.state.crashed.is_cancelled()
    }

    /// Sets the incarnation that the load report states.
    pub fn set_incarnation(&self, incarnation: u64) {
        self.state.incarnation.store(incarnation, Ordering::SeqCst);
    }

    /// Sets whether the engine reports that it is draining.
    pub fn set_draining(&self, draining: bool) {
        self.state.draining.store(draining, Ordering::SeqCst);
    }

    /// Stops the engine and breaks its connections, as a crash would.
    pub fn kill(&self) {
        self.state.crashed.cancel();
        self.listener.kill();
    }
}

impl EngineState {
    /// Returns the served versions with the quality of their answers.
    fn served_versions(&self) -> BTreeMap<String, f64> {
        let mut versions = lock(&self.options).versions.clone();
        if let Some(orders) = &self.orders {
            let loaded = orders.state().loaded;
            versions.retain(|version, _| {
                let names = version.split_once('@');
                names.is_some_and(|(model, version)| {
                    loaded.contains(&OrderedVersion::new(model, version))
                })
            });
        }
        versions
    }

    /// Returns the plan of the next answer, with the faults that are due.
    fn plan_answer(&self, request_id: &str, version: &str, quality: f64) -> AnswerPlan {
        let options = lock(&self.options).clone();
        let mut faults = lock(&self.engine_faults);
        let mut plan = AnswerPlan {
            request_id: request_id.to_owned(),
            version: version.to_owned(),
            quality,
            tokens: options.answer_tokens,
            first_token: options.first_token,
            token_gap: options.token_gap,
            first_event: 0,
            repeat_events: faults.repeat_events,
            truncate_after: None,
        };
        if faults.crossed_answers > 0 {
            faults.crossed_answers -= 1;
            plan.request_id = "00000000-0000-7000-8000-000000000000".into();
        }
        if faults.truncations > 0 {
            faults.truncations -= 1;
            plan.truncate_after = faults.truncate_after;
        }
        plan
    }
}

/// Answers with the load report.
async fn report_load(State(state): State<Arc<EngineState>>) -> Json<Value> {
    if lock(&state.engine_faults).hang_load {
        std::future::pending::<()>().await;
    }
    let versions: Vec<Value> = state
        .served_versions()
        .keys()
        .filter_map(|version| version.split_once('@'))
        .map(|(model, version)| json!({ "model": model, "version": version }))
        .collect();
    let false_load = lock(&state.engine_faults).false_load;
    let running = false_load.unwrap_or_else(|| state.running.load(Ordering::SeqCst));
    Json(json!({
        "incarnation": state.incarnation.load(Ordering::SeqCst),
        "draining": state.draining.load(Ordering::SeqCst),
        "running": running,
        "waiting": 0,
        "cache_used": 0,
        "versions": versions,
    }))
}

/// Returns a header as text; empty if it is missing or not text.
fn header_text(headers: &HeaderMap, name: &str) -> String {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default().to_owned()
}

/// Runs a chat request; refuses one that a fault or an unserved version keeps from starting.
async fn run_chat(
    State(state): State<Arc<EngineState>>,
    headers: HeaderMap,
    Json(body): Json<Value>,
) -> Response {
    if !state.faults.admit().await {
        return (StatusCode::SERVICE_UNAVAILABLE, [("x-not-started", "true")]).into_response();
    }
    let version = body["model"].as_str().unwrap_or_default().to_owned();
    let quality = state.served_versions().get(&version).copied();
    let Some(quality) = quality else {
        return (StatusCode::NOT_FOUND, [("x-not-started", "true")]).into_response();
    };
    let request_id = header_text(&headers, "x-request-id");
    let requested_event = header_text(&headers, "x-resume-from").parse().unwrap_or(0);
    let ignores_resume = lock(&state.engine_faults).ignores_resume;
    let resume_from = if ignores_resume { 0 } else { requested_event };
    lock(&state.runs).push(EngineRun {
        request_id: request_id.clone(),
        version: version.clone(),
        priority: header_text(&headers, "x-priority"),
        resume_from,
    });
    let poison = lock(&state.engine_faults).poison.clone();
    if poison.is_some_and(|text| body.to_string().contains(&text)) {
        state.crashed.cancel();
        std::future::pending::<()>().await;
    }
    let mut plan = state.plan_answer(&request_id, &version, quality);
    plan.first_event = resume_from;
    let mut guard = RunGuard::start(&state, &request_id);
    guard.take_slot().await;
    if state.faults.loses_answer() {
        std::future::pending::<()>().await;
    }
    if body["stream"].as_bool() == Some(true) {
        return stream_answer(plan, guard).await;
    }
    whole_answer(&plan, guard).await
}
