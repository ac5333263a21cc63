//! What an entry host knows about whether a request was run.

use serde::{Deserialize, Serialize};

/// What the entry host knows about whether a request was run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunState {
    /// No backend server started the request.
    NotRun,
    /// A backend server may have run the request.
    OutcomeUnknown,
    /// A backend server ran the request.
    Run,
}
