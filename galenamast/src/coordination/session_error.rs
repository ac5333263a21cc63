//! Errors of session tokens.

use thiserror::Error;

/// Reason why a session token is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[non_exhaustive]
pub enum SessionError {
    /// The text is not a session token.
    #[error("the session token is malformed")]
    Malformed,
    /// The signature matches none of the accepted keys.
    #[error("the session token was not signed with a key in force")]
    Forged,
    /// The token was issued too long ago or in the future.
    #[error("the session token has expired")]
    Expired,
    /// The token was issued to another workspace.
    #[error("the session token belongs to another workspace")]
    OtherWorkspace,
}
