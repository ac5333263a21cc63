//! Roll-out orders and the reports on them.

use std::sync::Arc;
use std::time::Duration;

use crate::state::StorePosition;

/// State of a roll-out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RolloutState {
    /// No host has started it.
    #[default]
    Ordered,
    /// Both versions serve requests.
    Running,
    /// The new version has replaced the previous one.
    Done,
    /// The new version was found bad and no longer serves.
    RolledBack,
}

/// An operator's order to move a service to a version.
#[derive(Clone, Debug, PartialEq)]
pub struct RolloutOrder {
    /// Name of the stored object.
    pub name: Arc<str>,
    /// Position of the stored object's last change.
    pub revision: StorePosition,
    /// Service to move.
    pub service: Arc<str>,
    /// Version to move to.
    pub target: Arc<str>,
    /// Time within which the roll-out should be complete.
    pub duration: Duration,
    /// State that was last reported.
    pub state: RolloutState,
    /// Share of the sessions that the new version serves, in thousandths.
    pub share: u32,
    /// Unix time at which the roll-out started, in milliseconds; 0 if it has not.
    pub began_ms: u64,
}

/// An entry host's report on a roll-out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutReport {
    /// State to report.
    pub state: RolloutState,
    /// Version that the report is about.
    pub target: Arc<str>,
    /// Share of the sessions that the new version serves, in thousandths.
    pub share: u32,
    /// Unix time at which the roll-out started, in milliseconds.
    pub began_ms: u64,
}
