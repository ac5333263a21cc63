//! Creates a claim. At most one attempt per idempotency key is ever granted.

use statig::blocking::{InitializedStateMachine, IntoStateMachineExt};
use statig::prelude::*;

use crate::coordination::claim_document::{ClaimDocument, ClaimRecord, ClaimState, StoredOutcome};
use crate::coordination::object_record::ObjectVersion;
use crate::coordination::object_write::{WriteCondition, WriteOutcome};

/// Largest number of writes to create one claim.
const MAX_WRITES: u32 = 6;

/// Input of a [`ClaimMachine`].
#[derive(Clone, Debug)]
pub enum ClaimEvent {
    /// The write ended with this outcome.
    Written(WriteOutcome),
    /// The claim was read; `None` if it does not exist.
    Read(Option<ClaimRecord>),
    /// The claim could not be read.
    ReadFailed,
    /// The time to create the claim is over.
    DeadlinePassed,
}

/// Action requested by a [`ClaimMachine`].
#[derive(Clone, Debug, PartialEq)]
pub enum ClaimAction {
    /// Write the document on this condition.
    Write(WriteCondition),
    /// Read the claim.
    Read,
    /// Stop; no further action follows.
    Finish(ClaimFinish),
}

/// How the creation of a claim ended.
#[derive(Clone, Debug, PartialEq)]
pub enum ClaimFinish {
    /// This attempt holds the claim at this object version and may be dispatched.
    Granted(ObjectVersion),
    /// Another attempt ended with this outcome.
    Settled(StoredOutcome),
    /// Another attempt holds the claim and has no outcome yet.
    InProgress,
    /// The key was already used with another request body.
    KeyReused,
    /// The attempt may not be dispatched.
    Unavailable {
        /// Whether the claim may exist, or may still be created by a delayed write.
        may_exist: bool,
    },
}

/// State machine that creates one claim, without I/O.
pub struct ClaimMachine {
    machine: InitializedStateMachine<ClaimFlow>,
}

impl std::fmt::Debug for ClaimMachine {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "ClaimMachine({:?})", self.machine.state())
    }
}

impl ClaimMachine {
    /// Creates the machine. Its first action writes the claim on condition that it does not exist.
    pub fn new(document: ClaimDocument) -> Self {
        let flow = ClaimFlow {
            document,
            writes_left: MAX_WRITES - 1,
            may_exist: false,
        };
        let mut action = ClaimAction::Read;
        let machine = flow
            .uninitialized_state_machine()
            .init_with_context(&mut action);
        Self { machine }
    }

    /// Returns the first action to take.
    pub const fn first_action(&self) -> ClaimAction {
        ClaimAction::Write(WriteCondition::Absent)
    }

    /// Handles an event and returns the next action.
    pub fn handle(&mut self, event: &ClaimEvent) -> ClaimAction {
        let may_exist = self.machine.may_exist;
        let mut action = ClaimAction::Finish(ClaimFinish::Unavailable { may_exist });
        self.machine.handle_with_context(event, &mut action);
        action
    }
}

/// Data shared by the states of the claim machine.
struct ClaimFlow {
    document: ClaimDocument,
    writes_left: u32,
    may_exist: bool,
}

#[state_machine(
    initial = "State::writing()",
    state(derive(Debug)),
    visibility = "pub(crate)"
)]
impl ClaimFlow {
    /// Waits for the outcome of a write.
    #[state]
    fn writing(&mut self, context: &mut ClaimAction, event: &ClaimEvent) -> Outcome<State> {
        match event {
            ClaimEvent::Written(WriteOutcome::Applied(version)) => {
                *context = ClaimAction::Finish(ClaimFinish::Granted(*version));
                Transition(State::finished())
            }
            ClaimEvent::Written(WriteOutcome::Conflict) => self.read_back(context),
            ClaimEvent::Written(WriteOutcome::Rejected) => self.give_up(context),
            ClaimEvent::Written(WriteOutcome::Indeterminate) => {
                self.may_exist = true;
                self.read_back(context)
            }
            ClaimEvent::DeadlinePassed => {
                self.may_exist = true;
                self.give_up(context)
            }
            ClaimEvent::Read(_) | ClaimEvent::ReadFailed => Handled,
        }
    }

    /// Waits for the result of a read.
    #[state]
    fn reading(&mut self, context: &mut ClaimAction, event: &ClaimEvent) -> Outcome<State> {
        match event {
            ClaimEvent::Read(None) => self.write(context, WriteCondition::Absent),
            ClaimEvent::Read(Some(record)) => self.evaluate(context, record),
            ClaimEvent::ReadFailed | ClaimEvent::DeadlinePassed => self.give_up(context),
            ClaimEvent::Written(_) => Handled,
        }
    }

    /// The creation of the claim has ended.
    #[state]
    fn finished(event: &ClaimEvent) -> Outcome<State> {
        let _ = event;
        Handled
    }

    /// Decides from the stored claim whether this attempt is granted.
    fn evaluate(&mut self, context: &mut ClaimAction, record: &ClaimRecord) -> Outcome<State> {
        let stored = &record.document;
        let is_own = stored.attempt == self.document.attempt;
        let finish = match &stored.state {
            ClaimState::Held if is_own => ClaimFinish::Granted(record.version),
            ClaimState::Released { .. } if is_own => return self.give_up(context),
            ClaimState::Released { .. } => {
                return self.write(context, WriteCondition::At(record.version));
            }
            _ if stored.body_digest != self.document.body_digest => ClaimFinish::KeyReused,
            ClaimState::Held => ClaimFinish::InProgress,
            ClaimState::Settled { outcome } => ClaimFinish::Settled(outcome.clone()),
        };
        *context = ClaimAction::Finish(finish);
        Transition(State::finished())
    }

    /// Writes the document again, or gives up if no writes are left.
    fn write(&mut self, context: &mut ClaimAction, condition: WriteCondition) -> Outcome<State> {
        if self.writes_left == 0 {
            return self.give_up(context);
        }
        self.writes_left -= 1;
        *context = ClaimAction::Write(condition);
        Transition(State::writing())
    }

    /// Reads the claim to find out whether a write took effect.
    fn read_back(&mut self, context: &mut ClaimAction) -> Outcome<State> {
        *context = ClaimAction::Read;
        Transition(State::reading())
    }

    /// Ends without granting the attempt.
    fn give_up(&mut self, context: &mut ClaimAction) -> Outcome<State> {
        let may_exist = self.may_exist;
        *context = ClaimAction::Finish(ClaimFinish::Unavailable { may_exist });
        Transition(State::finished())
    }
}
