//! Decides how a claim is made: at most one attempt of a key is ever granted.

use statig::blocking::{InitializedStateMachine, IntoStateMachineExt};
use statig::prelude::*;

use crate::coordination::claim_document::{ClaimDocument, ClaimRecord, ClaimState, StoredOutcome};
use crate::coordination::object_record::ObjectVersion;
use crate::coordination::object_write::{WriteCondition, WriteOutcome};

/// Greatest number of writes of one claim.
const MAX_WRITES: u32 = 6;

/// What a claim machine is told.
#[derive(Clone, Debug)]
pub enum ClaimEvent {
    /// The write ended.
    Written(WriteOutcome),
    /// The claim was read; `None` if there is none.
    Read(Option<ClaimRecord>),
    /// The claim could not be read.
    ReadFailed,
    /// No time is left for the claim.
    DeadlinePassed,
}

/// What a claim machine asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum ClaimAction {
    /// Write the document if the object is at the expected version.
    Write(WriteCondition),
    /// Read the claim.
    Read,
    /// Nothing more; this is the end.
    Finish(ClaimFinish),
}

/// How the making of a claim ended.
#[derive(Clone, Debug, PartialEq)]
pub enum ClaimFinish {
    /// This attempt holds the claim, at this version, and may be dispatched.
    Granted(ObjectVersion),
    /// Another attempt ended with this outcome.
    Settled(StoredOutcome),
    /// Another attempt holds the claim and has no outcome yet.
    InProgress,
    /// The key was used with another body.
    KeyReused,
    /// The attempt may not be dispatched.
    Unavailable {
        /// Whether the claim may exist or may still come to exist.
        may_exist: bool,
    },
}

/// Makes one claim; it does no I/O.
pub struct ClaimMachine {
    machine: InitializedStateMachine<ClaimFlow>,
}

impl std::fmt::Debug for ClaimMachine {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "ClaimMachine({:?})", self.machine.state())
    }
}

impl ClaimMachine {
    /// Creates the machine of a claim; its first action is a write on condition that there is none.
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

    /// Returns the first action.
    pub const fn first_action(&self) -> ClaimAction {
        ClaimAction::Write(WriteCondition::Absent)
    }

    /// Takes in an event and returns what to do next.
    pub fn handle(&mut self, event: &ClaimEvent) -> ClaimAction {
        let may_exist = self.machine.may_exist;
        let mut action = ClaimAction::Finish(ClaimFinish::Unavailable { may_exist });
        self.machine.handle_with_context(event, &mut action);
        action
    }
}

/// What is kept of a claim across the states of its making.
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
    /// A write is on its way.
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

    /// A read is on its way.
    #[state]
    fn reading(&mut self, context: &mut ClaimAction, event: &ClaimEvent) -> Outcome<State> {
        match event {
            ClaimEvent::Read(None) => self.write(context, WriteCondition::Absent),
            ClaimEvent::Read(Some(record)) => self.judge(context, record),
            ClaimEvent::ReadFailed | ClaimEvent::DeadlinePassed => self.give_up(context),
            ClaimEvent::Written(_) => Handled,
        }
    }

    /// The claim was granted or refused.
    #[state]
    fn finished(event: &ClaimEvent) -> Outcome<State> {
        let _ = event;
        Handled
    }

    /// Compares the stored claim with this attempt.
    fn judge(&mut self, context: &mut ClaimAction, record: &ClaimRecord) -> Outcome<State> {
        let stored = &record.document;
        let own = stored.attempt == self.document.attempt;
        let finish = match &stored.state {
            ClaimState::Held if own => ClaimFinish::Granted(record.version),
            ClaimState::Released { .. } if own => return self.give_up(context),
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

    /// Writes the document again, if writes are left.
    fn write(&mut self, context: &mut ClaimAction, condition: WriteCondition) -> Outcome<State> {
        if self.writes_left == 0 {
            return self.give_up(context);
        }
        self.writes_left -= 1;
        *context = ClaimAction::Write(condition);
        Transition(State::writing())
    }

    /// Reads the claim after a write whose effect has to be found out.
    fn read_back(&mut self, context: &mut ClaimAction) -> Outcome<State> {
        *context = ClaimAction::Read;
        Transition(State::reading())
    }

    /// Refuses the attempt.
    fn give_up(&mut self, context: &mut ClaimAction) -> Outcome<State> {
        let may_exist = self.may_exist;
        *context = ClaimAction::Finish(ClaimFinish::Unavailable { may_exist });
        Transition(State::finished())
    }
}
