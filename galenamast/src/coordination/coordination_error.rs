//! Errors of the coordination layer.

use thiserror::Error;

use crate::state::StateError;

/// An error of the coordination layer.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum CoordinationError {
    /// A document is not valid JSON, or not of the expected shape.
    #[error("malformed {what}: {source}")]
    Malformed {
        /// What was decoded.
        what: &'static str,
        /// Why it could not be decoded.
        source: serde_json::Error,
    },
    /// A document breaks a rule.
    #[error("invalid {what}: {reason}")]
    Invalid {
        /// What was checked.
        what: &'static str,
        /// The rule that it breaks.
        reason: String,
    },
    /// The state layer refused a value.
    #[error(transparent)]
    State(#[from] StateError),
}
