//! Stand-in for the platform's object API.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use axum::extract::{Path, Query, State};
use axum::http::{HeaderMap, StatusCode, header};
use axum::response::{IntoResponse, Response};
use axum::routing::get;
use axum::{Json, Router};
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::sync::watch;

use crate::fault_plan::FaultSwitch;
use crate::listener::FakeListener;

/// Maximum number of objects in one listing.
const MAX_LISTED: usize = 1_000;

/// Maximum size of a JSON value, in bytes; larger writes get status 413.
const MAX_VALUE_BYTES: usize = 1_024 * 1_024;

/// Stand-in for the object API with versioned objects, conditional writes, listings and watches.
#[derive(Debug)]
pub struct FakeObjects {
    store: Arc<ObjectStore>,
    endpoint: ObjectEndpoint,
}

/// An address of the store with its own faults, for example those of one host's network.
#[derive(Debug)]
pub struct ObjectEndpoint {
    faults: FaultSwitch,
    listener: FakeListener,
}

/// State that the handlers of one endpoint share.
#[derive(Clone, Debug)]
struct EndpointState {
    store: Arc<ObjectStore>,
    faults: FaultSwitch,
}

impl ObjectEndpoint {
    /// Starts to serve a store at a new address, without faults.
    async fn start(store: Arc<ObjectStore>) -> Self {
        let faults = FaultSwitch::default();
        let state = EndpointState {
            store,
            faults: faults.clone(),
        };
        let routes = Router::new()
            .route("/v1/objects/{kind}", get(list_objects))
            .route(
                "/v1/objects/{kind}/{name}",
                get(read_object).put(write_object).delete(delete_object),
            )
            .route("/v1/watch/{kind}/{name}", get(watch_object))
            .with_state(state);
        let listener = FakeListener::start(routes).await;
        Self { faults, listener }
    }

    /// Returns the address of the endpoint.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Returns the fault switch of the endpoint.
    pub fn faults(&self) -> &FaultSwitch {
        &self.faults
    }
}

impl EndpointState {
    /// Counts a call and applies the faults; returns the status if the call is refused.
    async fn admit(&self, kind: &'static str) -> Result<(), StatusCode> {
        self.store.count(kind);
        if self.faults.throttles() {
            return Err(StatusCode::TOO_MANY_REQUESTS);
        }
        if !self.faults.admit().await {
            return Err(StatusCode::SERVICE_UNAVAILABLE);
        }
        Ok(())
    }
}

/// Objects and call counters of the stand-in, shared by all endpoints.
#[derive(Debug)]
struct ObjectStore {
    objects: Mutex<BTreeMap<(String, String), StoredObject>>,
    calls: Mutex<BTreeMap<&'static str, u64>>,
    changed: watch::Sender<u64>,
}

/// The value of an object and its version, which starts at 1.
#[derive(Clone, Debug)]
struct StoredObject {
    version: u64,
    value: Value,
}

/// Parameters of a listing.
#[derive(Debug, Deserialize)]
struct ListQuery {
    #[serde(default)]
    prefix: String,
    #[serde(default)]
    after: String,
    limit: Option<usize>,
}

/// Parameters of a watch.
#[derive(Debug, Deserialize)]
struct WatchQuery {
    #[serde(default)]
    after: u64,
    #[serde(default)]
    timeout_ms: u64,
}

impl FakeObjects {
    /// Starts an empty store.
    pub async fn start() -> Self {
        let store = Arc::new(ObjectStore {
            objects: Mutex::default(),
            calls: Mutex::default(),
            changed: watch::Sender::new(0),
        });
        let endpoint = ObjectEndpoint::start(store.clone()).await;
        Self { store, endpoint }
    }

    /// Opens a further address of the store with its own faults.
    pub async fn open_endpoint(&self) -> ObjectEndpoint {
        ObjectEndpoint::start(self.store.clone()).await
    }

    /// Returns the first address of the store.
    pub fn address(&self) -> SocketAddr {
        self.endpoint.address()
    }

    /// Returns the fault switch of the store's first address.
    pub fn faults(&self) -> &FaultSwitch {
        self.endpoint.faults()
    }

    /// Writes an object directly, whatever its version and without counting a call.
    pub fn put(&self, kind: &str, name: &str, value: Value) {
        self.store.replace(kind, name, value);
    }

    /// Reads an object directly, without counting a call.
    pub fn get(&self, kind: &str, name: &str) -> Option<Value> {
        let key = (kind.to_owned(), name.to_owned());
        self.store
            .objects()
            .get(&key)
            .map(|object| object.value.clone())
    }

    /// Returns the values of all objects of a kind, in the order of their names.
    pub fn values(&self, kind: &str) -> Vec<Value> {
        let objects = self.store.objects();
        let of_kind = objects.iter().filter(|((found, _), _)| found == kind);
        of_kind.map(|(_, object)| object.value.clone()).collect()
    }

    /// Returns the number of calls by kind: `read`, `list`, `write`, `delete` and `watch`.
    pub fn calls(&self) -> BTreeMap<&'static str, u64> {
        self.store
            .calls
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }
}

impl ObjectStore {
    /// Locks the objects, also after a panic of another holder.
    fn objects(&self) -> MutexGuard<'_, BTreeMap<(String, String), StoredObject>> {
        self.objects.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a call.
    fn count(&self, kind: &'static str) {
        *self
            .calls
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .entry(kind)
            .or_default() += 1;
    }

    /// Writes an object whatever its version; returns the new version.
    fn replace(&self, kind: &str, name: &str, value: Value) -> u64 {
        let key = (kind.to_owned(), name.to_owned());
        let mut objects = self.objects();
        let version = objects.get(&key).map_or(1, |object| object.version + 1);
        objects.insert(key, StoredObject { version, value });
        drop(objects);
        self.changed.send_modify(|count| *count += 1);
        version
    }
}

/// Returns the answer to a read: name, version and value of the object.
fn object_answer(name: &str, object: &StoredObject) -> Response {
    Json(json!({ "name": name, "version": object.version, "value": object.value })).into_response()
}

/// Handles a read.
async fn read_object(
    State(endpoint): State<EndpointState>,
    Path((kind, name)): Path<(String, String)>,
) -> Response {
    if let Err(status) = endpoint.admit("read").await {
        return status.into_response();
    }
    let store = &endpoint.store;
    let found = store.objects().get(&(kind, name.clone())).cloned();
    match found {
        Some(object) => object_answer(&name, &object),
        None => StatusCode::NOT_FOUND.into_response(),
    }
}

/// Handles a listing.
async fn list_objects(
    State(endpoint): State<EndpointState>,
    Path(kind): Path<String>,
    Query(query): Query<ListQuery>,
) -> Response {
    if let Err(status) = endpoint.admit("list").await {
        return status.into_response();
    }
    let store = &endpoint.store;
    let limit = query.limit.unwrap_or(MAX_LISTED).min(MAX_LISTED);
    let objects = store.objects();
    let items: Vec<Value> = objects
        .iter()
        .filter(|((found, name), _)| {
            *found == kind && name.starts_with(&query.prefix) && *name > query.after
        })
        .take(limit)
        .map(|((_, name), object)| {
            json!({ "name": name, "version": object.version, "value": object.value })
        })
        .collect();
    Json(json!({ "items": items })).into_response()
}

/// Handles a conditional write; 412 if its condition fails.
async fn write_object(
    State(endpoint): State<EndpointState>,
    Path((kind, name)): Path<(String, String)>,
    headers: HeaderMap,
    Json(value): Json<Value>,
) -> Response {
    if let Err(status) = endpoint.admit("write").await {
        return status.into_response();
    }
    if value.to_string().len() > MAX_VALUE_BYTES {
        return StatusCode::PAYLOAD_TOO_LARGE.into_response();
    }
    let store = &endpoint.store;
    let version = {
        let mut objects = store.objects();
        let current = objects
            .get(&(kind.clone(), name.clone()))
            .map(|object| object.version);
        if !condition_holds(&headers, current) {
            return StatusCode::PRECONDITION_FAILED.into_response();
        }
        let version = current.unwrap_or(0) + 1;
        objects.insert((kind.clone(), name), StoredObject { version, value });
        version
    };
    store.changed.send_modify(|count| *count += 1);
    if endpoint.faults.loses_answer_of(&kind) {
        std::future::pending::<()>().await;
    }
    Json(json!({ "version": version })).into_response()
}

/// Handles a conditional deletion; 412 if its condition fails.
async fn delete_object(
    State(endpoint): State<EndpointState>,
    Path((kind, name)): Path<(String, String)>,
    headers: HeaderMap,
) -> Response {
    if let Err(status) = endpoint.admit("delete").await {
        return status.into_response();
    }
    let store = &endpoint.store;
    let version = {
        let mut objects = store.objects();
        let key = (kind.clone(), name);
        let current = objects.get(&key).map(|object| object.version);
        if current.is_none() {
            return StatusCode::NOT_FOUND.into_response();
        }
        if !condition_holds(&headers, current) {
            return StatusCode::PRECONDITION_FAILED.into_response();
        }
        objects.remove(&key);
        current
    };
    store.changed.send_modify(|count| *count += 1);
    if endpoint.faults.loses_answer_of(&kind) {
        std::future::pending::<()>().await;
    }
    Json(json!({ "version": version })).into_response()
}

/// Handles a watch: answers once the object is newer than the given version, or 304 on timeout.
async fn watch_object(
    State(endpoint): State<EndpointState>,
    Path((kind, name)): Path<(String, String)>,
    Query(query): Query<WatchQuery>,
) -> Response {
    if let Err(status) = endpoint.admit("watch").await {
        return status.into_response();
    }
    let store = &endpoint.store;
    let mut changed = store.changed.subscribe();
    let newer = async {
        loop {
            changed.borrow_and_update();
            let found = store.objects().get(&(kind.clone(), name.clone())).cloned();
            if let Some(object) = found.filter(|object| object.version > query.after) {
                return object;
            }
            if changed.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
        }
    };
    match tokio::time::timeout(Duration::from_millis(query.timeout_ms), newer).await {
        Ok(_) if endpoint.faults.plan().refuse => StatusCode::SERVICE_UNAVAILABLE.into_response(),
        Ok(object) => object_answer(&name, &object),
        Err(_) => StatusCode::NOT_MODIFIED.into_response(),
    }
}

/// Returns whether the condition headers of a write allow it at the current version of the object.
fn condition_holds(headers: &HeaderMap, current: Option<u64>) -> bool {
    if headers.contains_key(header::IF_NONE_MATCH) {
        return current.is_none();
    }
    let Some(expected) = headers.get(header::IF_MATCH) else {
        return true;
    };
    let expected = expected.to_str().ok().and_then(|text| text.parse().ok());
    expected.is_some() && expected == current
}
