//! Settings, events and actions of the lease state machine.

use std::time::Duration;

use crate::coordination::lease_document::{LeaseDocument, LeaseRecord};
use crate::coordination::object_write::{WriteCondition, WriteOutcome};
use crate::state::TimePoint;

/// Settings of a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseSettings {
    /// Time for which each renewal grants the lease.
    pub duration: Duration,
    /// Safety margin: the holder stops this much before the end, and others wait this much longer.
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

/// Input of a lease machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseEvent {
    /// The requested waiting time is over.
    Due,
    /// The lease was read; `None` if it does not exist.
    Read(Option<LeaseRecord>),
    /// The lease could not be read.
    ReadFailed,
    /// A write ended with this outcome; the time is when it was sent.
    Written(WriteOutcome, TimePoint),
    /// The host is about to leave, or no longer wants the lease.
    Release,
}

/// Action requested by a lease machine. Its result is the machine's next event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseAction {
    /// Wait until a point in time.
    Wait(TimePoint),
    /// Read the lease.
    Read,
    /// Write the lease on a condition.
    Write(WriteCondition, LeaseDocument),
    /// Stop; no further action follows.
    Finish,
}
