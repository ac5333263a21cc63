//! Idempotency keys: the names of their claim objects, and the time encoded in them.

use sha2::{Digest, Sha256};
use uuid::{Uuid, Version};

use crate::coordination::claim_document::{CLAIM_KIND, ClaimRetention};
use crate::coordination::object_record::ObjectKey;
use crate::state::WorkspaceName;

/// Returns the claim object of an idempotency key.
///
/// Its name is a hash, which reveals neither the key nor the workspace.
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
    // Without the length, different pairs with the same concatenation would share a claim.
    hash.update((workspace.as_str().len() as u64).to_be_bytes());
    hash.update(workspace.as_str());
    hash.update(key);
    ObjectKey::new(CLAIM_KIND, &hex::encode(hash.finalize()))
}

/// Returns whether a key encodes a time outside the window in which keys are accepted.
///
/// Keys that are not a UUIDv7 encode no time and are always accepted.
pub fn is_outside_window(key: &str, retention: &ClaimRetention, unix_ms: u64) -> bool {
    let Some(created) = key_unix_millis(key) else {
        return false;
    };
    let age = u128::from(unix_ms.saturating_sub(created));
    let lead = u128::from(created.saturating_sub(unix_ms));
    age > retention.window.as_millis() || lead > retention.clock_skew.as_millis()
}

/// Returns the time encoded in a UUIDv7 key, in milliseconds since the Unix epoch.
///
/// Returns `None` for other keys.
fn key_unix_millis(key: &str) -> Option<u64> {
    let uuid = Uuid::parse_str(key).ok()?;
    if uuid.get_version() != Some(Version::SortRand) {
        return None;
    }
    let (seconds, nanos) = uuid.get_timestamp()?.to_unix();
    Some(seconds * 1_000 + u64::from(nanos / 1_000_000))
}
