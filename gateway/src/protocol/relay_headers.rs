//! Headers of requests that one entry host passes on to another, and of the responses.

use http::HeaderName;

/// Name of the host that passes a request on; it is passed on only once.
pub const RELAYED_BY: HeaderName = HeaderName::from_static("galenamast-relayed-by");
/// Names the request that a response belongs to.
pub const RELAYED_REQUEST: HeaderName = HeaderName::from_static("galenamast-relayed-request");
/// Marks the response to a request that did not run at the other host, but may run at a third.
pub const RELAY_UNSERVED: HeaderName = HeaderName::from_static("galenamast-relay-unserved");
