//! Whether a request was run, as far as an entry host knows.

use serde::{Deserialize, Serialize};

/// Whether a request was run, as far as the entry host knows.
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
