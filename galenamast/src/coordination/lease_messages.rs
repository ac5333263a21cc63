//! What the machine of a lease is told and what it wants done.

use std::time::Duration;

use crate::coordination::lease_document::{LeaseDocument, LeaseRecord};
use crate::coordination::object_write::{WriteCondition, WriteOutcome};
use crate::state::TimePoint;

/// Settings of a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseSettings {
    /// Time for which the lease is granted from each renewal on.
    pub duration: Duration,
    /// Time by which the holder stops early and a contender waits longer.
    pub margin: Duration,
}

impl Default for LeaseSettings {
    fn default() -> Self {
        Self {
            duration: Duration::from_secs(15),
            margin: Duration::from_secs(2),
        }
    }
}

/// What a lease machine is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseEvent {
    /// The time that the machine wanted to wait for has come.
    Due,
    /// The lease was read.
    Read(Option<LeaseRecord>),
    /// The lease could not be read.
    ReadFailed,
    /// A write of the lease that was sent at this time ended.
    Written(WriteOutcome, TimePoint),
    /// The host is about to leave, or wants the lease no more.
    Release,
}

/// What a lease machine wants done; the next event tells how it ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseAction {
    /// Waits until a point in time.
    Wait(TimePoint),
    /// Reads the lease.
    Read,
    /// Writes the lease.
    Write(WriteCondition, LeaseDocument),
    /// Does nothing more.
    Finish,
}
