//! Orders of a fake model engine, which say which versions it is to serve.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use axum::extract::State;
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::routing::get;
use axum::{Json, Router};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::fake_weights::DownloadLimiter;
use crate::fault_plan::FaultSwitch;
use crate::listener::FakeListener;

/// Wait before a refused download is tried again.
const DOWNLOAD_RETRY_DELAY: Duration = Duration::from_millis(5);

/// A version as orders name it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct OrderedVersion {
    /// Name of the model.
    pub model: String,
    /// Name of the version.
    pub version: String,
}

impl OrderedVersion {
    /// Creates a version from its names.
    pub fn new(model: &str, version: &str) -> Self {
        Self {
            model: model.into(),
            version: version.into(),
        }
    }
}

/// How an engine handles orders.
#[derive(Clone, Debug)]
pub struct OrderOptions {
    /// Whether orders with an outdated fencing number are refused.
    pub checks_fencing: bool,
    /// Time to load a version after its download is granted.
    pub load_time: Duration,
    /// Rate limit of the weight store; `None` grants every download.
    pub weights: Option<Arc<DownloadLimiter>>,
    /// Versions that the engine serves from the start.
    pub loaded: BTreeSet<OrderedVersion>,
}

impl Default for OrderOptions {
    fn default() -> Self {
        Self {
            checks_fencing: true,
            load_time: Duration::ZERO,
            weights: None,
            loaded: BTreeSet::new(),
        }
    }
}

/// An order as the engine receives it.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct ReceivedOrder {
    /// Fencing number of the order.
    pub term: u64,
    /// Lease holder that gave the order.
    pub holder: String,
    /// Versions that are to be served.
    pub versions: BTreeSet<OrderedVersion>,
}

/// The engine's report on its orders.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct OrderState {
    /// Fencing number of the last accepted order; 0 before the first.
    pub term: u64,
    /// Versions that the last accepted order names; the initial versions before the first.
    pub ordered: BTreeSet<OrderedVersion>,
    /// Versions that the engine has loaded and serves.
    pub loaded: BTreeSet<OrderedVersion>,
}

/// The orders of an engine and its progress with them.
#[derive(Debug)]
pub struct EngineOrders {
    options: OrderOptions,
    state: Mutex<OrderState>,
    taken: Mutex<Vec<ReceivedOrder>>,
    faults: FaultSwitch,
}

impl EngineOrders {
    /// Creates the orders of an engine that serves `options.loaded` from the start.
    pub fn new(options: OrderOptions) -> Arc<Self> {
        let state = OrderState {
            term: 0,
            ordered: options.loaded.clone(),
            loaded: options.loaded.clone(),
        };
        Arc::new(Self {
            options,
            state: Mutex::new(state),
            taken: Mutex::default(),
            faults: FaultSwitch::default(),
        })
    }

    /// Returns the HTTP routes for orders.
    pub fn routes(self: &Arc<Self>) -> Router {
        Router::new()
            .route("/orders", get(read_orders).put(take_order))
            .with_state(self.clone())
    }

    /// Returns the state of the orders.
    pub fn state(&self) -> OrderState {
        self.lock().clone()
    }

    /// Returns the accepted orders, oldest first.
    pub fn taken(&self) -> Vec<ReceivedOrder> {
        self.taken
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Returns the fault switch of the order routes.
    pub fn faults(&self) -> &FaultSwitch {
        &self.faults
    }

    /// Applies an order; returns false if fencing is checked and the order's number is outdated.
    pub fn take(self: &Arc<Self>, order: ReceivedOrder) -> bool {
        let missing: Vec<OrderedVersion> = {
            let mut state = self.lock();
            if self.options.checks_fencing && order.term < state.term {
                return false;
            }
            state.term = order.term;
            state.ordered.clone_from(&order.versions);
            state.loaded = &state.loaded & &order.versions;
            (&order.versions - &state.loaded).into_iter().collect()
        };
        self.taken
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(order);
        for version in missing {
            tokio::spawn(self.clone().load(version));
        }
        true
    }

    /// Downloads and loads a version; the version is not served if a later order leaves it out.
    async fn load(self: Arc<Self>, version: OrderedVersion) {
        if let Some(limiter) = &self.options.weights {
            while !limiter.admit() {
                tokio::time::sleep(DOWNLOAD_RETRY_DELAY).await;
            }
        }
        tokio::time::sleep(self.options.load_time).await;
        let mut state = self.lock();
        if state.ordered.contains(&version) {
            state.loaded.insert(version);
        }
    }

    /// Locks the state, also after a panic of another holder.
    fn lock(&self) -> MutexGuard<'_, OrderState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Answers with the state of the orders.
async fn read_orders(State(orders): State<Arc<EngineOrders>>) -> Response {
    if !orders.faults.admit().await {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    Json(orders.state()).into_response()
}

/// Receives an order; answers 409 if it is refused because of its fencing number.
async fn take_order(
    State(orders): State<Arc<EngineOrders>>,
    Json(order): Json<ReceivedOrder>,
) -> Response {
    if !orders.faults.admit().await {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    if !orders.take(order) {
        return StatusCode::CONFLICT.into_response();
    }
    if orders.faults.loses_answer() {
        std::future::pending::<()>().await;
    }
    Json(orders.state()).into_response()
}

/// Answers with the load report of an engine that runs no requests.
async fn report_load(State(orders): State<Arc<EngineOrders>>) -> Json<Value> {
    let versions = orders.state().loaded;
    Json(
        json!({ "incarnation": 0, "draining": false, "running": 0, "waiting": 0, "versions": versions }),
    )
}

/// Stand-in for an engine that only receives orders and reports its load.
#[derive(Debug)]
pub struct FakeOrders {
    orders: Arc<EngineOrders>,
    listener: FakeListener,
}

impl FakeOrders {
    /// Starts the engine.
    pub async fn start(options: OrderOptions) -> Self {
        let orders = EngineOrders::new(options);
        let load = get(report_load).with_state(orders.clone());
        let routes = orders.routes().route("/load", load);
        let listener = FakeListener::start(routes).await;
        Self { orders, listener }
    }

    /// Returns the address of the engine.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Returns the orders and their state.
    pub fn orders(&self) -> &Arc<EngineOrders> {
        &self.orders
    }
}
