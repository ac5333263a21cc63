//! What a session token states.

use serde::{Deserialize, Serialize};

use crate::state::{ConfigGeneration, SessionName, VersionKey, WorkspaceName};

/// What a session token states: the version that a session keeps.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SessionClaims {
    /// Workspace of the session.
    pub workspace: WorkspaceName,
    /// Name of the session.
    pub session: SessionName,
    /// Version that the session keeps.
    pub version: VersionKey,
    /// Configuration generation by which the version was chosen.
    pub generation: ConfigGeneration,
    /// When the token was issued, in milliseconds since the Unix epoch.
    pub issued_unix_ms: u64,
}
