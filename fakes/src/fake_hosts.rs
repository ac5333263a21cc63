//! Stand-in for the platform's host list.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use axum::extract::State;
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::routing::get;
use axum::{Json, Router};
use serde::Serialize;
use serde_json::json;

use crate::fault_plan::FaultSwitch;
use crate::listener::FakeListener;

/// An entry of the list, which describes a backend server.
#[derive(Clone, Debug, Serialize)]
pub struct ListedHost {
    /// Name of the server.
    pub name: String,
    /// Address as `ip:port`.
    pub address: String,
    /// Failure domain of the server.
    pub domain: String,
    /// Pool of the server.
    pub pool: String,
    /// Number that increases with each restart of the server.
    pub incarnation: u64,
    /// `live` or `leaving`.
    pub state: String,
}

/// Stand-in for the host list; serves what the test last published.
#[derive(Debug)]
pub struct FakeHosts {
    list: Arc<HostTable>,
    listener: FakeListener,
}

/// The published list and its faults.
#[derive(Debug, Default)]
struct HostTable {
    hosts: Mutex<Vec<ListedHost>>,
    faults: FaultSwitch,
}

impl FakeHosts {
    /// Starts the stand-in with an empty list.
    pub async fn start() -> Self {
        let list = Arc::new(HostTable::default());
        let routes = Router::new()
            .route("/hosts", get(serve_list))
            .with_state(list.clone());
        Self {
            list,
            listener: FakeListener::start(routes).await,
        }
    }

    /// Returns the address of the list.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Returns the fault switch of the list.
    pub fn faults(&self) -> &FaultSwitch {
        &self.list.faults
    }

    /// Changes the published list.
    pub fn publish(&self, change: impl FnOnce(&mut Vec<ListedHost>)) {
        change(
            &mut self
                .list
                .hosts
                .lock()
                .unwrap_or_else(PoisonError::into_inner),
        );
    }
}

/// Answers with the list.
async fn serve_list(State(list): State<Arc<HostTable>>) -> Response {
    if !list.faults.admit().await {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    let hosts = list
        .hosts
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .clone();
    Json(json!({ "hosts": hosts })).into_response()
}
