//! The properties of a request that its routing depends on.

use std::collections::BTreeSet;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::state::names::{ModelName, ServerName, TaskName, WorkspaceName};
use crate::state::request_id::RequestId;
use crate::state::version_key::VersionKey;

/// A request as the routing decision sees it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RouteRequest {
    /// Identifier of the request.
    pub id: RequestId,
    /// Workspace that the caller authenticated for.
    pub workspace: WorkspaceName,
    /// Model that the caller asked for; `None` leaves the choice to the router.
    pub model: Option<ModelName>,
    /// Kind of work that the request asks for.
    pub task: TaskName,
    /// Version that the caller's session is bound to.
    pub pinned: Option<VersionKey>,
    /// Estimated length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// Maximum length of the answer, in tokens.
    pub max_output_tokens: u32,
    /// Hash of the start of the prompt, for affinity to servers that cached it; 0 for no affinity.
    pub prefix_hash: u64,
    /// Time left until the caller's deadline.
    pub time_left: Duration,
    /// Whether the request may be run more than once.
    pub idempotent: bool,
    /// Whether the answer is streamed to the caller.
    pub streamed: bool,
    /// Priority of the request under overload.
    pub priority: RequestPriority,
    /// Servers that earlier attempts failed on.
    pub excluded: BTreeSet<ServerName>,
}

/// Priority of a request under overload; lower priorities are shed first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestPriority {
    /// Work that may wait and is shed first.
    Low,
    /// Ordinary work.
    #[default]
    Normal,
    /// A person waits for the answer.
    High,
}
