//! Idempotency keys: the names of their claims and the time that they carry.

use sha2::{Digest, Sha256};
use uuid::{Uuid, Version};

use crate::coordination::claim_document::{CLAIM_KIND, ClaimRetention};
use crate::coordination::object_record::ObjectKey;
use crate::state::WorkspaceName;

/// Names the claim of a key; the name reveals neither key nor workspace.
///
/// ```
/// use galenamast::coordination::claim_key::claim_object;
///
/// let claim = claim_object(&"counter".into(), "deposit/7");
/// assert_eq!(claim.name.len(), 64);
/// assert_ne!(claim, claim_object(&"advice".into(), "deposit/7"));
/// ```
pub fn claim_object(workspace: &WorkspaceName, key: &str) -> ObjectKey {
    let mut hash = Sha256::new();
    // The length keeps pairs apart whose joined text is the same.
    hash.update((workspace.as_str().len() as u64).to_be_bytes());
    hash.update(workspace.as_str());
    hash.update(key);
    ObjectKey::new(CLAIM_KIND, &hex::encode(hash.finalize()))
}

/// Returns whether a key carries a time that lies outside the window in which claims are kept.
///
/// Keys other than UUIDv7 carry no time and are always inside.
pub fn is_outside_window(key: &str, retention: &ClaimRetention, unix_ms: u64) -> bool {
    let Some(made) = key_unix_millis(key) else {
        return false;
    };
    let age = u128::from(unix_ms.saturating_sub(made));
    let lead = u128::from(made.saturating_sub(unix_ms));
    age > retention.window.as_millis() || lead > retention.clock_skew.as_millis()
}

/// Returns the time that a UUIDv7 key carries, in milliseconds since the Unix epoch.
fn key_unix_millis(key: &str) -> Option<u64> {
    let uuid = Uuid::parse_str(key).ok()?;
    if uuid.get_version() != Some(Version::SortRand) {
        return None;
    }
    let (seconds, nanos) = uuid.get_timestamp()?.to_unix();
    Some(seconds * 1_000 + u64::from(nanos / 1_000_000))
}
