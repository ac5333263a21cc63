//! Errors of the protocol layer.

use thiserror::Error;

use crate::coordination::CoordinationError;
use crate::state::StateError;

/// An error of the protocol layer.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum ProtocolError {
    /// A message is not valid JSON, or not of the expected shape.
    #[error("malformed {what}: {source}")]
    Json {
        /// Kind of message that was decoded.
        what: &'static str,
        /// Error of the decoder.
        source: serde_json::Error,
    },
    /// A message breaks a rule of its protocol.
    #[error("invalid {what}: {reason}")]
    Invalid {
        /// Kind of message that was checked.
        what: &'static str,
        /// The rule that the message breaks.
        reason: String,
    },
    /// The coordination layer refused the content of a message.
    #[error(transparent)]
    Coordination(#[from] CoordinationError),
    /// The state layer refused the content of a message.
    #[error(transparent)]
    State(#[from] StateError),
}
