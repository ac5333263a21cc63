//! The record by which a request is billed.

use serde::{Deserialize, Serialize};

use crate::state::{RequestId, TaskName, VersionKey, WorkspaceName};

/// What a request is billed for; one record per request, whatever attempts it took.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct UsageRecord {
    /// Identifier of the request.
    pub request_id: RequestId,
    /// Workspace that is billed.
    pub workspace: WorkspaceName,
    /// Task of the request.
    pub task: TaskName,
    /// Version whose answer the caller got; `None` for a plain service.
    pub version: Option<VersionKey>,
    /// Length of the prompt, in tokens.
    pub input_tokens: u64,
    /// Length of the answer, in tokens.
    pub output_tokens: u64,
    /// Price, in micro-units of currency.
    pub price: u64,
    /// When the request ended, in milliseconds since the Unix epoch.
    pub ended_unix_ms: u64,
}
