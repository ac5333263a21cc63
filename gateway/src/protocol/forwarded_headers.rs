//! Removal of hop-by-hop headers, which are not forwarded.

use http::HeaderMap;
use http::header::{self, HeaderName};

/// Hop-by-hop headers, in addition to those that `Connection` names.
const CONNECTION_HEADERS: [HeaderName; 7] = [
    header::CONNECTION,
    header::TRANSFER_ENCODING,
    header::TE,
    header::TRAILER,
    header::UPGRADE,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
];

/// Removes the hop-by-hop headers.
///
/// ```
/// use galenamast_gateway::protocol::strip_connection_headers;
/// use http::HeaderMap;
///
/// let mut headers = HeaderMap::new();
/// headers.insert("connection", "keep-alive, x-own".parse().unwrap());
/// headers.insert("x-own", "1".parse().unwrap());
/// headers.insert("accept", "*/*".parse().unwrap());
/// strip_connection_headers(&mut headers);
/// assert_eq!(headers.len(), 1);
/// ```
pub fn strip_connection_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&CONNECTION_HEADERS) {
        headers.remove(name);
    }
    headers.remove("keep-alive");
    headers.remove("proxy-connection");
}

/// Returns whether the headers leave the end of the body ambiguous, as in request smuggling.
pub fn has_ambiguous_length(headers: &HeaderMap) -> bool {
    let lengths = headers.get_all(header::CONTENT_LENGTH).iter().count();
    let encodings = headers.get_all(header::TRANSFER_ENCODING).iter().count();
    lengths > 1 || encodings > 1 || (lengths == 1 && encodings == 1)
}
