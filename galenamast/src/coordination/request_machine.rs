//! State machine of one request, from admission to its final answer.

use statig::blocking::{InitializedStateMachine, IntoStateMachineExt};

use crate::coordination::request_flow::{FlowContext, RequestFlow, State};
use crate::coordination::request_messages::{RequestAction, RequestEvent, RequestPlan};
use crate::state::TimePoint;

/// State machine of one request. It does no I/O.
pub struct RequestMachine {
    machine: InitializedStateMachine<RequestFlow>,
}

impl std::fmt::Debug for RequestMachine {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "RequestMachine({:?})", self.machine.state())
    }
}

impl RequestMachine {
    /// Creates the machine of an admitted request.
    pub fn new(plan: RequestPlan) -> Self {
        let flow = RequestFlow::new(plan);
        let mut context = FlowContext::at(TimePoint::ZERO);
        let machine = flow
            .uninitialized_state_machine()
            .init_with_context(&mut context);
        Self { machine }
    }

    /// Handles an event and returns the actions to perform, in order.
    pub fn handle(&mut self, event: &RequestEvent, now: TimePoint) -> Vec<RequestAction> {
        let mut context = FlowContext::at(now);
        self.machine.handle_with_context(event, &mut context);
        context.actions
    }

    /// Returns whether the request has ended.
    pub fn is_settled(&self) -> bool {
        matches!(self.machine.state(), State::Settled {})
    }
}
