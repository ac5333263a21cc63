//! Errors of the coordination layer.

use thiserror::Error;

use crate::state::StateError;

/// Error of the coordination layer.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum CoordinationError {
    /// A document is not valid JSON or does not have the expected structure.
    #[error("malformed {what}: {source}")]
    Malformed {
        /// Kind of document that was decoded.
        what: &'static str,
        /// Error of the JSON decoder.
        source: serde_json::Error,
    },
    /// A document violates a rule.
    #[error("invalid {what}: {reason}")]
    Invalid {
        /// Kind of document that was checked.
        what: &'static str,
        /// Rule that the document violates.
        reason: String,
    },
    /// The state layer rejected a value.
    #[error(transparent)]
    State(#[from] StateError),
}
