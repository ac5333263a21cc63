//! Secret keys with which session tokens are signed.

use std::fmt;

use serde::{Deserialize, Serialize};
use zeroize::Zeroize;

/// Length of a signing key, in bytes.
pub const SECRET_KEY_BYTES: usize = 32;

/// A secret signing key, written as hexadecimal text in the configuration and never to logs.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct SecretKey([u8; SECRET_KEY_BYTES]);

impl SecretKey {
    /// Creates a key from its bytes.
    ///
    /// ```
    /// use galenamast::state::SecretKey;
    ///
    /// let key = SecretKey::from_bytes([7; 32]);
    /// assert_eq!(format!("{key:?}"), "SecretKey(..)");
    /// ```
    pub const fn from_bytes(bytes: [u8; SECRET_KEY_BYTES]) -> Self {
        Self(bytes)
    }

    /// Returns the bytes of the key.
    pub const fn as_bytes(&self) -> &[u8; SECRET_KEY_BYTES] {
        &self.0
    }
}

impl fmt::Debug for SecretKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("SecretKey(..)")
    }
}

impl Drop for SecretKey {
    fn drop(&mut self) {
        self.0.zeroize();
    }
}

impl TryFrom<String> for SecretKey {
    type Error = hex::FromHexError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        let mut bytes = [0; SECRET_KEY_BYTES];
        hex::decode_to_slice(text, &mut bytes)?;
        Ok(Self(bytes))
    }
}

impl From<SecretKey> for String {
    fn from(key: SecretKey) -> Self {
        hex::encode(key.0)
    }
}

/// Signing keys of session tokens: the current one signs new tokens, and both are accepted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SessionKeys {
    /// Key that signs new tokens.
    pub current: SecretKey,
    /// Key that signed tokens before the last rotation.
    #[serde(default)]
    pub previous: Option<SecretKey>,
}
