//! Soft state that entry hosts tell each other and that may be lost.

use serde::{Deserialize, Serialize};

use crate::coordination::{BrakeNote, CrashNote};
use crate::state::ConfigGeneration;

/// A piece of soft state.
///
/// New variants go to the end, and a variant never changes its shape: hosts of the previous release
/// skip what they cannot read, and still pass it on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[non_exhaustive]
pub enum SoftState {
    /// A configuration generation is in force on the sending host.
    ConfigNews(ConfigGeneration),
    /// A server died while it ran a request.
    Crash(CrashNote),
    /// A version takes no new work.
    Brake(BrakeNote),
}
