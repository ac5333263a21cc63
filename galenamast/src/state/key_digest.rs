//! Digests of secret keys, compared in constant time.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

/// SHA-256 digest of a bearer key, written as hexadecimal text.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Computes the digest of a key.
    ///
    /// ```
    /// use galenamast::state::KeyDigest;
    ///
    /// let digest = KeyDigest::of_key("secret");
    /// assert!(digest.matches(&KeyDigest::of_key("secret")));
    /// assert!(!digest.matches(&KeyDigest::of_key("other")));
    /// ```
    pub fn of_key(key: &str) -> Self {
        Self::of_bytes(key.as_bytes())
    }

    /// Computes the digest of arbitrary bytes, such as a certificate in DER form.
    pub fn of_bytes(bytes: &[u8]) -> Self {
        Self(Sha256::digest(bytes).into())
    }

    /// Compares two digests in constant time.
    pub fn matches(&self, other: &KeyDigest) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("KeyDigest(..)")
    }
}

impl TryFrom<String> for KeyDigest {
    type Error = hex::FromHexError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        let mut bytes = [0; 32];
        hex::decode_to_slice(text, &mut bytes)?;
        Ok(Self(bytes))
    }
}

impl From<KeyDigest> for String {
    fn from(digest: KeyDigest) -> Self {
        hex::encode(digest.0)
    }
}
