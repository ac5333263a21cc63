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
    limiter: Arc<DownloadLimiter>,
    listener: FakeListener,
}

/// Rate limit of the weight store: a sliding window over the granted downloads.
#[derive(Debug)]
pub struct DownloadLimiter {
    per_period: usize,
    period: Duration,
    granted: Mutex<Vec<Instant>>,
    refused: Mutex<u64>,
    faults: FaultSwitch,
}

impl FakeWeights {
    /// Starts a store that grants `per_period` downloads in each `period`.
    pub async fn start(per_period: usize, period: Duration) -> Self {
        let limiter = Arc::new(DownloadLimiter {
            per_period,
            period,
            granted: Mutex::default(),
            refused: Mutex::default(),
            faults: FaultSwitch::default(),
        });
        let routes = Router::new()
            .route("/v1/weights/{version}", get(serve_download))
            .with_state(limiter.clone());
        Self {
            limiter,
            listener: FakeListener::start(routes).await,
        }
    }

    /// Returns the address of the store.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Returns the rate limit, for engine stand-ins that download without an HTTP call.
    pub fn limiter(&self) -> &Arc<DownloadLimiter> {
        &self.limiter
    }

    /// Returns the fault switch of the store.
    pub fn faults(&self) -> &FaultSwitch {
        &self.limiter.faults
    }

    /// Returns how many downloads were refused because of the rate limit.
    pub fn refused(&self) -> u64 {
        *self
            .limiter
            .refused
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl DownloadLimiter {
    /// Grants a download if the rate limit allows one now; otherwise counts a refusal.
    pub fn admit(&self) -> bool {
        let now = Instant::now();
        let mut granted = self.granted.lock().unwrap_or_else(PoisonError::into_inner);
        granted.retain(|granted_at| now.duration_since(*granted_at) < self.period);
        if granted.len() >= self.per_period {
            *self.refused.lock().unwrap_or_else(PoisonError::into_inner) += 1;
            return false;
        }
        granted.push(now);
        true
    }
}

/// Answers a download request; 429 if the rate limit refuses it.
async fn serve_download(
    State(limiter): State<Arc<DownloadLimiter>>,
    Path(version): Path<String>,
) -> Response {
    if !limiter.faults.admit().await {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    if !limiter.admit() {
        return StatusCode::TOO_MANY_REQUESTS.into_response();
    }
    Json(json!({ "version": version })).into_response()
}
