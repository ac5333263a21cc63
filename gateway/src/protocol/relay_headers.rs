//! Headers of requests that one entry host passes on to another, and of the responses.

use http::{HeaderMap, HeaderName, HeaderValue, header};

/// Name of the host that passes a request on; it is passed on only once.
pub const RELAYED_BY: HeaderName = HeaderName::from_static("galenamast-relayed-by");
/// Names the request that a response belongs to.
pub const RELAYED_REQUEST: HeaderName = HeaderName::from_static("galenamast-relayed-request");
/// Marks the response to a request that did not run at the other host, but may run at a third.
pub const RELAY_UNSERVED: HeaderName = HeaderName::from_static("galenamast-relay-unserved");
/// Number of servers that may run the request at the other host. `Connection` names it, so that a build
/// that does not know it removes it.
const RELAY_ATTEMPTS: HeaderName = HeaderName::from_static("galenamast-relay-attempts");
/// Number of attempts at the other host that reached a server, in a response that is marked as unserved.
const RELAY_ARRIVALS: HeaderName = HeaderName::from_static("galenamast-relay-arrivals");

/// Version of the configuration that a request was admitted under at the first host. `Connection` names it
/// like the number of servers.
const RELAY_CONFIGURATION: HeaderName = HeaderName::from_static("galenamast-relay-configuration");

/// States the version of the configuration that a request was admitted under.
pub fn write_relay_configuration(headers: &mut HeaderMap, version: u64) {
    headers.insert(RELAY_CONFIGURATION, HeaderValue::from(version));
    let name = HeaderValue::from_name(RELAY_CONFIGURATION);
    headers.append(header::CONNECTION, name);
}

/// Removes and returns the version of the configuration that a request was admitted under; `None` if an
/// earlier build passed it on.
///
/// ```
/// use galenamast_gateway::protocol::{take_relay_configuration, write_relay_configuration};
/// use http::HeaderMap;
///
/// let mut headers = HeaderMap::new();
/// write_relay_configuration(&mut headers, 7);
/// assert_eq!(take_relay_configuration(&mut headers), Some(7));
/// assert_eq!(take_relay_configuration(&mut headers), None);
/// ```
pub fn take_relay_configuration(headers: &mut HeaderMap) -> Option<u64> {
    let version = headers.remove(RELAY_CONFIGURATION)?;
    version.to_str().ok()?.parse().ok()
}

/// States how many servers may run a request that is passed on.
pub fn write_relay_attempts(headers: &mut HeaderMap, attempts: u32) {
    headers.insert(RELAY_ATTEMPTS, HeaderValue::from(attempts));
    headers.append(header::CONNECTION, HeaderValue::from_name(RELAY_ATTEMPTS));
}

/// Removes and returns the number of servers that may run a request; `None` if an earlier build passed
/// it on.
///
/// ```
/// use galenamast_gateway::protocol::{take_relay_attempts, write_relay_attempts};
/// use http::HeaderMap;
///
/// let mut headers = HeaderMap::new();
/// write_relay_attempts(&mut headers, 2);
/// assert_eq!(take_relay_attempts(&mut headers), Some(2));
/// assert_eq!(take_relay_attempts(&mut headers), None);
/// ```
pub fn take_relay_attempts(headers: &mut HeaderMap) -> Option<u32> {
    headers.remove(RELAY_ATTEMPTS)?.to_str().ok()?.parse().ok()
}

/// Marks the response to a request that did not run, after a number of attempts that reached a server.
pub fn mark_unserved(headers: &mut HeaderMap, arrivals: u32) {
    headers.insert(RELAY_UNSERVED, HeaderValue::from_static("1"));
    headers.insert(RELAY_ARRIVALS, HeaderValue::from(arrivals));
}

/// Returns whether a response that is marked as unserved states attempts that reached a server.
pub fn has_relay_arrivals(headers: &HeaderMap) -> bool {
    let stated = headers
        .get(RELAY_ARRIVALS)
        .and_then(|value| value.to_str().ok());
    let arrivals: Option<u32> = stated.and_then(|value| value.parse().ok());
    arrivals.is_some_and(|arrivals| arrivals > 0)
}
