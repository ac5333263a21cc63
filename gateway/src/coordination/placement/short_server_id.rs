//! Short identifiers of backend servers for datagrams.

use std::hash::Hasher;

use siphasher::sip::SipHasher13;

/// Returns a 32-bit hash of a server's identifier, the same on all hosts.
///
/// ```
/// use galenamast_gateway::coordination::placement::short_server_id;
///
/// assert_eq!(short_server_id("i-1"), short_server_id("i-1"));
/// assert_ne!(short_server_id("i-1"), short_server_id("i-2"));
/// ```
pub fn short_server_id(server: &str) -> u32 {
    let mut hasher = SipHasher13::new();
    hasher.write(server.as_bytes());
    (hasher.finish() >> 32) as u32
}
