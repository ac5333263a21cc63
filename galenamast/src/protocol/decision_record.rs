//! The log record of a routing decision.

use serde::{Deserialize, Serialize};

use crate::state::{RequestId, RouteDecision, SessionName, TaskName, WorkspaceName};

/// A routing decision with the request that it was made for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DecisionRecord {
    /// Identifier of the request.
    pub request_id: RequestId,
    /// Number of the attempt that the decision is for, from zero.
    pub attempt: u32,
    /// Workspace of the request.
    pub workspace: WorkspaceName,
    /// Task of the request.
    pub task: TaskName,
    /// Session of the request, if it has one.
    pub session: Option<SessionName>,
    /// Decision and the verdicts that explain it.
    #[serde(flatten)]
    pub decision: RouteDecision,
}
