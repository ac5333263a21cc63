//! Stand-in for the weight store.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use axum::extract::{Path, State};
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::routing::get;
use axum::{Json, Router};
use serde_json::json;
use tokio::time::{Duration, Instant};

use crate::fault_plan::FaultSwitch;
use crate::listener::FakeListener;

/// Stand-in for the weight store: grants a bounded number of downloads per period.
#[derive(Debug)]
pub struct FakeWeights {
    gate: Arc<DownloadGate>,
    listener: FakeListener,
}

/// The rate limit of the weight store.
#[derive(Debug)]
pub struct DownloadGate {
    per_period: usize,
    period: Duration,
    granted: Mutex<Vec<Instant>>,
    refused: Mutex<u64>,
    faults: FaultSwitch,
}

impl FakeWeights {
    /// Starts a store that grants `per_period` downloads in each `period`.
    pub async fn start(per_period: usize, period: Duration) -> Self {
        let gate = Arc::new(DownloadGate {
            per_period,
            period,
            granted: Mutex::default(),
            refused: Mutex::default(),
            faults: FaultSwitch::default(),
        });
        let routes = Router::new()
            .route("/v1/weights/{version}", get(grant))
            .with_state(gate.clone());
        Self {
            gate,
            listener: FakeListener::start(routes).await,
        }
    }

    /// Returns the address of the store.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Returns the rate limit, for a stand-in of an engine that downloads without a call.
    pub fn gate(&self) -> &Arc<DownloadGate> {
        &self.gate
    }

    /// Returns the switch of the store's faults.
    pub fn faults(&self) -> &FaultSwitch {
        &self.gate.faults
    }

    /// Returns how many downloads were refused because of the rate limit.
    pub fn refused(&self) -> u64 {
        *self
            .gate
            .refused
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl DownloadGate {
    /// Grants a download if the rate allows one now.
    pub fn admit(&self) -> bool {
        let now = Instant::now();
        let mut granted = self.granted.lock().unwrap_or_else(PoisonError::into_inner);
        granted.retain(|at| now.duration_since(*at) < self.period);
        if granted.len() >= self.per_period {
            *self.refused.lock().unwrap_or_else(PoisonError::into_inner) += 1;
            return false;
        }
        granted.push(now);
        true
    }
}

/// Grants or refuses a download.
async fn grant(State(gate): State<Arc<DownloadGate>>, Path(version): Path<String>) -> Response {
    if !gate.faults.admit().await {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    if !gate.admit() {
        return StatusCode::TOO_MANY_REQUESTS.into_response();
    }
    Json(json!({ "version": version })).into_response()
}
