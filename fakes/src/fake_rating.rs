//! Stand-in for the rating service.

use std::net::SocketAddr;
use std::sync::Arc;

use axum::extract::State;
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::routing::post;
use axum::{Json, Router};
use serde_json::{Value, json};

use crate::fault_plan::FaultSwitch;
use crate::listener::FakeListener;

/// Stand-in for the rating service: rates an answer by the quality that its text states.
#[derive(Debug)]
pub struct FakeRating {
    faults: FaultSwitch,
    listener: FakeListener,
}

impl FakeRating {
    /// Starts the service.
    pub async fn start() -> Self {
        let faults = FaultSwitch::default();
        let state = Arc::new(faults.clone());
        let routes = Router::new()
            .route("/v1/rate", post(rate_answer))
            .with_state(state);
        Self {
            faults,
            listener: FakeListener::start(routes).await,
        }
    }

    /// Returns the address of the service.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Returns the fault switch of the service.
    pub fn faults(&self) -> &FaultSwitch {
        &self.faults
    }
}

/// Rates an answer by the number after `quality=` that ends a fake engine's text; 0.5 without one.
async fn rate_answer(State(faults): State<Arc<FaultSwitch>>, Json(body): Json<Value>) -> Response {
    if !faults.admit().await {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    let text = body["answer"].as_str().unwrap_or_default();
    let stated = text
        .rsplit_once("quality=")
        .and_then(|(_, number)| number.trim().parse().ok());
    let rating: f64 = stated.unwrap_or(0.5);
    Json(json!({ "request_id": body["request_id"], "rating": rating })).into_response()
}
