//! The lifecycle of one request, from admission to the one final answer.

use statig::blocking::{InitializedStateMachine, IntoStateMachineExt};

use crate::coordination::request_flow::{FlowTurn, RequestFlow, State};
use crate::coordination::request_messages::{RequestAction, RequestEvent, RequestPlan};
use crate::state::TimePoint;

/// The machine of one request; it does no I/O.
pub struct RequestMachine {
    machine: InitializedStateMachine<RequestFlow>,
}

impl std::fmt::Debug for RequestMachine {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "RequestMachine({:?})", self.machine.state())
    }
}

impl RequestMachine {
    /// Creates the machine of a request that was admitted.
    pub fn new(plan: RequestPlan) -> Self {
        let flow = RequestFlow::new(plan);
        let mut turn = FlowTurn::at(TimePoint::ZERO);
        let machine = flow
            .uninitialized_state_machine()
            .init_with_context(&mut turn);
        Self { machine }
    }

    /// Takes in an event and returns what to do, in this order.
    pub fn handle(&mut self, event: &RequestEvent, now: TimePoint) -> Vec<RequestAction> {
        let mut turn = FlowTurn::at(now);
        self.machine.handle_with_context(event, &mut turn);
        turn.actions
    }

    /// Returns whether the request has had its final answer.
    pub fn is_settled(&self) -> bool {
        matches!(self.machine.state(), State::Settled {})
    }
}
