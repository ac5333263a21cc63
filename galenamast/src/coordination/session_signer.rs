//! Signs and verifies the tokens that pin a session to a version.

use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use hmac::{Hmac, Mac};
use sha2::Sha256;

use crate::coordination::session_claims::SessionClaims;
use crate::coordination::session_error::SessionError;
use crate::state::{SecretKey, SessionKeys, WorkspaceName};

/// Length of the signature at the end of a token, in bytes.
const SIGNATURE_BYTES: usize = 32;
/// Maximum length of a token, in characters.
const MAX_TOKEN_CHARS: usize = 2_048;
/// Prefix of the signed content, which separates session tokens from other uses of a key.
const SIGNATURE_CONTEXT: &[u8] = b"galenamast session token 1";

/// Validity of session tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SessionSettings {
    /// Maximum age of a token.
    pub max_age: Duration,
    /// Maximum difference between the clocks of two entry hosts.
    pub clock_skew: Duration,
}

impl Default for SessionSettings {
    fn default() -> Self {
        Self {
            max_age: Duration::from_secs(24 * 3_600),
            clock_skew: Duration::from_secs(60),
        }
    }
}

/// Signs session tokens with the current key of a configuration and accepts its previous key too.
#[derive(Clone, Debug)]
pub struct SessionSigner {
    keys: SessionKeys,
    settings: SessionSettings,
}

impl SessionSigner {
    /// Creates a signer with the keys of a configuration.
    pub fn new(keys: SessionKeys, settings: SessionSettings) -> Self {
        Self { keys, settings }
    }

    /// Issues a signed token.
    ///
    /// ```
    /// use galenamast::coordination::{SessionClaims, SessionSettings, SessionSigner};
    /// use galenamast::state::{SecretKey, SessionKeys};
    ///
    /// let keys = SessionKeys { current: SecretKey::from_bytes([7; 32]), previous: None };
    /// let signer = SessionSigner::new(keys, SessionSettings::default());
    /// let claims = SessionClaims { workspace: "counter".into(), ..Default::default() };
    /// let token = signer.issue(&claims)?;
    /// assert_eq!(signer.verify(&token, &"counter".into(), 5), Ok(claims));
    /// # Ok::<(), galenamast::coordination::SessionError>(())
    /// ```
    ///
    /// # Errors
    ///
    /// Returns `Malformed` if the names are so long that the token would exceed the maximum length.
    pub fn issue(&self, claims: &SessionClaims) -> Result<String, SessionError> {
        let mut bytes = postcard::to_stdvec(claims).map_err(|_| SessionError::Malformed)?;
        let signature = keyed_hash(&self.keys.current, &bytes)?.finalize();
        bytes.extend_from_slice(&signature.into_bytes());
        let token = URL_SAFE_NO_PAD.encode(bytes);
        if token.len() > MAX_TOKEN_CHARS {
            return Err(SessionError::Malformed);
        }
        Ok(token)
    }

    /// Verifies a token that a caller of a workspace presents.
    ///
    /// # Errors
    ///
    /// Returns the reason for which the token is refused.
    pub fn verify(
        &self,
        token: &str,
        workspace: &WorkspaceName,
        unix_ms: u64,
    ) -> Result<SessionClaims, SessionError> {
        if token.len() > MAX_TOKEN_CHARS {
            return Err(SessionError::Malformed);
        }
        let bytes = URL_SAFE_NO_PAD
            .decode(token)
            .map_err(|_| SessionError::Malformed)?;
        let Some(split) = bytes.len().checked_sub(SIGNATURE_BYTES) else {
            return Err(SessionError::Malformed);
        };
        let (content, signature) = bytes.split_at(split);
        self.check_signature(content, signature)?;
        let claims: SessionClaims =
            postcard::from_bytes(content).map_err(|_| SessionError::Malformed)?;
        if claims.workspace != *workspace {
            return Err(SessionError::OtherWorkspace);
        }
        self.check_age(&claims, unix_ms)?;
        Ok(claims)
    }

    /// Checks the signature against each accepted key.
    fn check_signature(&self, content: &[u8], signature: &[u8]) -> Result<(), SessionError> {
        let accepted = std::iter::once(&self.keys.current).chain(self.keys.previous.as_ref());
        for key in accepted {
            if keyed_hash(key, content)?.verify_slice(signature).is_ok() {
                return Ok(());
            }
        }
        Err(SessionError::Forged)
    }

    /// Checks that the token was issued neither too long ago nor in the future, allowing for clock
    /// skew.
    fn check_age(&self, claims: &SessionClaims, unix_ms: u64) -> Result<(), SessionError> {
        let issued = claims.issued_unix_ms;
        let skew = millis(self.settings.clock_skew);
        let oldest = unix_ms.saturating_sub(millis(self.settings.max_age).saturating_add(skew));
        if issued < oldest || issued > unix_ms.saturating_add(skew) {
            return Err(SessionError::Expired);
        }
        Ok(())
    }
}

/// Returns the keyed hash of a token's content, ready to be finalized or verified.
fn keyed_hash(key: &SecretKey, content: &[u8]) -> Result<Hmac<Sha256>, SessionError> {
    let mut hash =
        Hmac::<Sha256>::new_from_slice(key.as_bytes()).map_err(|_| SessionError::Forged)?;
    hash.update(SIGNATURE_CONTEXT);
    hash.update(content);
    Ok(hash)
}

/// Converts a duration to whole milliseconds.
fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
