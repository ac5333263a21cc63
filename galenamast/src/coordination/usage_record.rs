//! Usage record of a request, used for billing.

use serde::{Deserialize, Serialize};

use crate::state::{RequestId, TaskName, VersionKey, WorkspaceName};

/// Usage that a request is billed for. There is one record per request, regardless of its attempts.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct UsageRecord {
    /// Identifier of the request.
    pub request_id: RequestId,
    /// Workspace that is billed.
    pub workspace: WorkspaceName,
    /// Task of the request.
    pub task: TaskName,
    /// Version whose answer the caller received; `None` for a plain service.
    pub version: Option<VersionKey>,
    /// Length of the prompt, in tokens.
    pub input_tokens: u64,
    /// Length of the answer, in tokens.
    pub output_tokens: u64,
    /// Price, in micro-units of currency.
    pub price: u64,
    /// Time at which the request ended, in milliseconds since the Unix epoch.
    pub ended_unix_ms: u64,
}
