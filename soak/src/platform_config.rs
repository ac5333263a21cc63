//! The configuration that the operator writes.

use serde_json::{Value, json};

use crate::request_class::{CLASSES, RequestClass, RequestKind, SEASONAL};

/// Service of the streams.
pub(crate) const ENGINE_SERVICE: &str = "engines";
/// Service of the plain requests.
pub(crate) const PLAIN_SERVICE: &str = "desk";
/// Largest body that callers may send, in bytes.
pub(crate) const BODY_BYTES: usize = 4_194_304;
/// Idle limit of a connection unless a change says otherwise, in milliseconds.
pub(crate) const IDLE_TIMEOUT_MS: u64 = 15_000;

/// Returns whether a version has the route of the class `SEASONAL`.
pub(crate) fn has_seasonal_route(version: u64) -> bool {
    version.is_multiple_of(2)
}

/// Returns how many servers may run a request of a class.
pub(crate) fn attempts(class: &RequestClass) -> usize {
    match class.kind {
        RequestKind::Unsafe => 1,
        RequestKind::Safe | RequestKind::Stream => 2,
    }
}

/// Returns the configuration of a version with an idle limit in milliseconds.
pub(crate) fn configuration(version: u64, idle_timeout_ms: u64) -> Value {
    let seasonal = has_seasonal_route(version).then_some(&SEASONAL);
    let routes = CLASSES.iter().chain(seasonal).map(|class| {
        json!({
            "name": class.name, "host": "desk.example",
            "path_prefix": format!("/{}/", class.name), "kind": class.kind.name(),
            "timeout_ms": (class.limit * 1000.0) as u64, "goal_ms": class.goal_ms, "priority": 2,
            "service": if class.is_stream() { ENGINE_SERVICE } else { PLAIN_SERVICE },
            "attempts": attempts(class), "public": false,
            "sticky": class.is_stream(), "resumable": class.is_stream(), "gap_goal_ms": 800,
        })
    });
    json!({
        "version": version,
        "routes": routes.collect::<Vec<_>>(),
        "services": [
            {"name": ENGINE_SERVICE, "health_path": "/health", "connection_limit": 370,
             "engine": {"slots": 64, "models": [{"name": "m", "cost": 0.01}]}},
            {"name": PLAIN_SERVICE, "health_path": "/health", "connection_limit": 110},
        ],
        "limits": {"header_bytes": 16384, "body_bytes": BODY_BYTES, "header_timeout_ms": 3000,
                   "idle_timeout_ms": idle_timeout_ms},
        "tenants": [{"name": "hule930", "keys": ["key-1"], "priority": 1}],
    })
}
