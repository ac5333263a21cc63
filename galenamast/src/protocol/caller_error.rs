//! The JSON error body that callers receive.

use serde::{Deserialize, Serialize};

use crate::state::{RefusalReason, RequestId, RunState};

/// Error body of every answer that is not a success.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerError {
    /// Stable code of the error.
    pub code: ErrorCode,
    /// Human-readable explanation.
    pub message: String,
    /// Whether the request was run.
    pub run: RunState,
    /// Identifier of the request.
    pub request_id: RequestId,
    /// Time after which a retry may succeed, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

/// Stable code of an error.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ErrorCode {
    /// The request is malformed.
    BadRequest,
    /// The bearer key is missing or unknown.
    Unauthorized,
    /// The workspace may not use the model or service that the request names.
    Forbidden,
    /// The path or service does not exist.
    NotFound,
    /// The caller did not send the request in time, or the deadline passed.
    Timeout,
    /// The same idempotency key is in use by another request.
    Conflict,
    /// The request is too large.
    TooLarge,
    /// A call that may not be retried needs an idempotency key.
    KeyRequired,
    /// A limit of the workspace was reached.
    LimitExceeded,
    /// The session's version was withdrawn.
    VersionWithdrawn,
    /// The request's content crashed servers before.
    Quarantined,
    /// No server can take the request now.
    Unavailable,
    /// The backend server failed while it ran the request.
    BackendFailed,
}

impl ErrorCode {
    /// Returns the HTTP status of the error.
    ///
    /// ```
    /// use galenamast::protocol::ErrorCode;
    ///
    /// assert_eq!(ErrorCode::KeyRequired.status(), 428);
    /// ```
    pub const fn status(self) -> u16 {
        match self {
            Self::BadRequest => 400,
            Self::Unauthorized => 401,
            Self::Forbidden => 403,
            Self::NotFound => 404,
            Self::Timeout => 408,
            Self::Conflict | Self::VersionWithdrawn => 409,
            Self::TooLarge => 413,
            Self::KeyRequired => 428,
            Self::LimitExceeded => 429,
            Self::Quarantined => 422,
            Self::Unavailable => 503,
            Self::BackendFailed => 502,
        }
    }
}

impl From<RefusalReason> for ErrorCode {
    fn from(reason: RefusalReason) -> Self {
        match reason {
            RefusalReason::UnknownWorkspace => Self::Unauthorized,
            RefusalReason::ModelNotAllowed => Self::Forbidden,
            RefusalReason::VersionWithdrawn => Self::VersionWithdrawn,
            RefusalReason::LimitExceeded => Self::LimitExceeded,
            RefusalReason::Quarantined => Self::Quarantined,
            RefusalReason::DeadlineExceeded => Self::Timeout,
            RefusalReason::NoEligibleVersion
            | RefusalReason::NoServer
            | RefusalReason::Overloaded
            | RefusalReason::ShuttingDown
            | RefusalReason::ClaimUnavailable => Self::Unavailable,
        }
    }
}
