//! Acquires, renews and releases one lease.

use std::fmt;

use statig::blocking::{InitializedStateMachine, IntoStateMachineExt};

use crate::coordination::lease_document::{LeaseOwner, LeaseStatus};
use crate::coordination::lease_flow::{LeaseFlow, LeaseStep};
use crate::coordination::lease_messages::{LeaseAction, LeaseEvent, LeaseSettings};
use crate::state::TimePoint;

/// State machine of one lease on one host, without I/O.
pub struct LeaseMachine {
    machine: InitializedStateMachine<LeaseFlow>,
}

impl fmt::Debug for LeaseMachine {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "LeaseMachine({:?})", self.machine.state())
    }
}

impl LeaseMachine {
    /// Creates the machine of a host that wants a lease. Its first action is to read the lease.
    ///
    /// `seed` determines the jitter of its waiting times.
    pub fn new(owner: LeaseOwner, settings: LeaseSettings, seed: u64) -> Self {
        let flow = LeaseFlow::new(owner, settings, seed);
        let mut step = LeaseStep {
            now: TimePoint::ZERO,
            action: LeaseAction::Read,
        };
        let machine = flow.uninitialized_state_machine();
        Self {
            machine: machine.init_with_context(&mut step),
        }
    }

    /// Returns whether the host holds the lease, as of the last event.
    pub fn status(&self) -> LeaseStatus {
        self.machine.status
    }

    /// Handles an event and returns the next action.
    pub fn handle(&mut self, event: &LeaseEvent, now: TimePoint) -> LeaseAction {
        let mut step = LeaseStep {
            now,
            action: LeaseAction::Read,
        };
        self.machine.handle_with_context(event, &mut step);
        step.action
    }
}
