//! Stored claims, which make sure that a non-idempotent request runs at most once.

use std::sync::Arc;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::coordination::object_record::ObjectVersion;
use crate::state::{AttemptId, HostName, RunState, VersionKey, WorkspaceName};

/// Kind of the claim objects on the platform.
pub const CLAIM_KIND: &str = "claim";
/// Largest answer body that a claim stores, in bytes.
pub const MAX_STORED_BODY: usize = 64 * 1_024;

/// Digest of a request body, as hexadecimal text.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct BodyDigest(Arc<str>);

impl BodyDigest {
    /// Computes the digest of a body.
    ///
    /// ```
    /// use galenamast::coordination::BodyDigest;
    ///
    /// assert_ne!(BodyDigest::of(b"deposit 40"), BodyDigest::of(b"deposit 41"));
    /// ```
    pub fn of(body: &[u8]) -> Self {
        Self(hex::encode(Sha256::digest(body)).into())
    }
}

/// A claim as the platform stores it. The idempotency key itself is not stored.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClaimDocument {
    /// Workspace of the request.
    pub workspace: WorkspaceName,
    /// Attempt that holds the claim. Only this attempt may be dispatched.
    pub attempt: AttemptId,
    /// Entry host that created the claim.
    pub holder: HostName,
    /// Digest of the request body.
    pub body_digest: BodyDigest,
    /// Time at which the claim was created, in milliseconds since the Unix epoch.
    pub created_unix_ms: u64,
    /// State of the request.
    pub state: ClaimState,
}

/// State of a claimed request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum ClaimState {
    /// The attempt may be running. Only its holder can know the outcome.
    Held,
    /// The attempt ended. Later requests with the same key get its outcome.
    Settled {
        /// Outcome of the attempt.
        outcome: StoredOutcome,
    },
    /// The attempt was never dispatched. Another attempt may take the claim.
    Released {
        /// Why the claim was released.
        reason: ReleaseReason,
    },
}

/// Why a claim was released.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReleaseReason {
    /// The holder never dispatched the attempt.
    NotDispatched,
    /// An operator found that the attempt did not run.
    Operator {
        /// Operator who released the claim.
        author: String,
        /// What the operator found.
        reason: String,
    },
}

/// Outcome of a claimed request, stored for later requests with the same key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredOutcome {
    /// Whether the request was run.
    pub run: RunState,
    /// HTTP status code of the answer.
    pub status: u16,
    /// Version that answered; `None` for a plain service.
    pub version: Option<VersionKey>,
    /// Media type of the body.
    pub content_type: String,
    /// Body in base64; `None` if it was larger than [`MAX_STORED_BODY`].
    body: Option<String>,
}

impl StoredOutcome {
    /// Creates the outcome of a request that ran. A body larger than [`MAX_STORED_BODY`] is left
    /// out.
    ///
    /// ```
    /// use galenamast::coordination::StoredOutcome;
    ///
    /// let outcome = StoredOutcome::of_answer(200, None, "text/plain", b"held");
    /// assert_eq!(outcome.body_bytes().as_deref(), Some(&b"held"[..]));
    /// ```
    pub fn of_answer(
        status: u16,
        version: Option<VersionKey>,
        content_type: &str,
        body: &[u8],
    ) -> Self {
        let fits = body.len() <= MAX_STORED_BODY;
        Self {
            run: RunState::Run,
            status,
            version,
            content_type: content_type.into(),
            body: fits.then(|| STANDARD.encode(body)),
        }
    }

    /// Returns the body, or `None` if it was too large to be stored.
    pub fn body_bytes(&self) -> Option<Vec<u8>> {
        STANDARD.decode(self.body.as_ref()?).ok()
    }
}

/// A claim as read from the platform.
#[derive(Clone, Debug, PartialEq)]
pub struct ClaimRecord {
    /// Version of the stored object.
    pub version: ObjectVersion,
    /// Content of the stored object.
    pub document: ClaimDocument,
}

/// Retention times of claims.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimRetention {
    /// Age up to which an idempotency key is accepted.
    pub window: Duration,
    /// Age up to which a claim without an outcome is kept, so that an operator can resolve it.
    pub unresolved: Duration,
    /// Largest expected difference between the clocks of callers and entry hosts.
    pub clock_skew: Duration,
}

impl Default for ClaimRetention {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(24 * 3_600),
            unresolved: Duration::from_secs(30 * 24 * 3_600),
            clock_skew: Duration::from_secs(300),
        }
    }
}

impl ClaimRetention {
    /// Returns whether a claim may be deleted.
    ///
    /// Claims outlive the window by twice the clock skew, so a key within the window always finds
    /// its claim.
    pub fn is_expired(&self, document: &ClaimDocument, unix_ms: u64) -> bool {
        let kept = match document.state {
            ClaimState::Held => self.unresolved,
            ClaimState::Settled { .. } | ClaimState::Released { .. } => self.window,
        };
        let kept = kept.saturating_add(self.clock_skew.saturating_mul(2));
        let age = unix_ms.saturating_sub(document.created_unix_ms);
        u128::from(age) > kept.as_millis()
    }
}
