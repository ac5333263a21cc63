//! Limits that the operator sets.

use crate::request_class::{RequestClass, RequestKind};

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
