//! Failures of attempts, and whether the backend server may have started them.

use serde::{Deserialize, Serialize};

use crate::state::RunState;

/// How an attempt on a backend server failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptFailure {
    /// The connection could not be made, so no byte reached the server.
    NotSent,
    /// The server answered with a status other than success.
    Refused {
        /// HTTP status of the answer.
        status: u16,
        /// Whether the server stated that it did not start the request.
        not_started: bool,
    },
    /// The connection failed before any answer, when part of the request may have been sent.
    Broken,
    /// The server did not answer in time.
    TimedOut,
    /// The answer began and ended without its end marker or its declared length.
    Truncated,
    /// The answer belongs to another request.
    Crossed,
    /// The answer violates the protocol.
    Malformed,
    /// The entry host cancelled the attempt.
    Cancelled,
}

/// Whether a backend server started an attempt that failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StartState {
    /// No byte reached the server, or the server stated that it did not start the attempt.
    NotStarted,
    /// The server may have started the attempt.
    Unknown,
    /// The server started the attempt.
    Ran,
}

/// Returns whether a backend server started an attempt that failed.
///
/// ```
/// use galenamast::coordination::{AttemptFailure, StartState, classify_failure};
///
/// assert_eq!(classify_failure(AttemptFailure::NotSent), StartState::NotStarted);
/// assert_eq!(classify_failure(AttemptFailure::Broken), StartState::Unknown);
/// ```
pub const fn classify_failure(failure: AttemptFailure) -> StartState {
    match failure {
        AttemptFailure::NotSent
        | AttemptFailure::Refused {
            not_started: true, ..
        } => StartState::NotStarted,
        AttemptFailure::Truncated => StartState::Ran,
        AttemptFailure::Refused {
            not_started: false, ..
        }
        | AttemptFailure::Broken
        | AttemptFailure::TimedOut
        | AttemptFailure::Crossed
        | AttemptFailure::Malformed
        | AttemptFailure::Cancelled => StartState::Unknown,
    }
}

impl AttemptFailure {
    /// Returns whether the server may have crashed while it ran the attempt.
    pub const fn suggests_crash(self) -> bool {
        matches!(self, Self::Broken | Self::Truncated)
    }

    /// Returns whether a retry would get the same answer.
    ///
    /// ```
    /// use galenamast::coordination::AttemptFailure;
    ///
    /// assert!(AttemptFailure::Refused { status: 400, not_started: true }.is_final());
    /// assert!(!AttemptFailure::Refused { status: 503, not_started: true }.is_final());
    /// ```
    pub const fn is_final(self) -> bool {
        match self {
            Self::Refused { status, .. } => matches!(status, 400 | 401 | 403 | 413 | 422),
            _ => false,
        }
    }
}

impl From<StartState> for RunState {
    fn from(state: StartState) -> Self {
        match state {
            StartState::NotStarted => Self::NotRun,
            StartState::Unknown => Self::OutcomeUnknown,
            StartState::Ran => Self::Run,
        }
    }
}
