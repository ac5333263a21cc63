//! Content of a session token.

use serde::{Deserialize, Serialize};

use crate::state::{ConfigGeneration, SessionName, VersionKey, WorkspaceName};

/// Content of a session token, which pins a session to a version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SessionClaims {
    /// Workspace of the session.
    pub workspace: WorkspaceName,
    /// Name of the session.
    pub session: SessionName,
    /// Version that serves the session's requests.
    pub version: VersionKey,
    /// Generation of the configuration with which the version was chosen.
    pub generation: ConfigGeneration,
    /// Time of issue, in milliseconds since the Unix epoch.
    pub issued_unix_ms: u64,
}
