//! Orders of roll-outs and what is reported of them.

use std::sync::Arc;
use std::time::Duration;

/// State of a roll-out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RolloutState {
    /// Nobody has taken it up.
    #[default]
    Ordered,
    /// Both versions serve.
    Running,
    /// The new version has taken over.
    Done,
    /// The new version was found bad.
    RolledBack,
}

/// An operator's order to move a service to a version.
#[derive(Clone, Debug, PartialEq)]
pub struct RolloutOrder {
    /// Name of the object.
    pub name: Arc<str>,
    /// Revision of the object.
    pub revision: u64,
    /// Service that is moved.
    pub service: Arc<str>,
    /// Version to move to.
    pub target: Arc<str>,
    /// Time within which it is to be done.
    pub duration: Duration,
    /// State that was reported.
    pub state: RolloutState,
    /// Share of the sessions that the new version serves, in thousandths.
    pub share: u32,
    /// Unix time at which it was taken up, in milliseconds.
    pub began_ms: u64,
}

/// What an entry host reports of a roll-out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutReport {
    /// State to report.
    pub state: RolloutState,
    /// Version that the report is about.
    pub target: Arc<str>,
    /// Share of the sessions that the new version serves, in thousandths.
    pub share: u32,
    /// Unix time at which it was taken up, in milliseconds.
    pub began_ms: u64,
}
