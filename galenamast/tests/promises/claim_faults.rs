//! A non-idempotent request runs at most once: interleavings of hosts, faults and resends.

use proptest::collection::vec;
use proptest::prelude::any;
use proptest::test_runner::TestCaseError;
use uuid::Uuid;

use galenamast::coordination::claim_closing::{CloseStep, plan_close};
use galenamast::coordination::claim_machine::{ClaimAction, ClaimEvent, ClaimFinish, ClaimMachine};
use galenamast::coordination::{
    BodyDigest, ClaimDocument, ClaimRecord, ClaimState, ObjectKey, ReleaseReason, StoredOutcome,
    WriteCondition, WriteOutcome,
};
use galenamast::state::{AttemptId, RequestId};

use crate::memory_objects::MemoryObjects;
use crate::support::property_runner;

/// Number of steps in an interleaving.
const STEPS: usize = 160;
/// Greatest number of attempts of one key: the first call and its resends, each on another host.
const MAX_ATTEMPTS: u8 = 5;

/// What an attempt does next.
#[derive(Debug)]
enum Stage {
    Claiming(ClaimMachine, ClaimAction),
    Granted,
    Closing(ClaimDocument, Option<WriteCondition>),
    Ended,
}

/// One attempt on its host.
struct Attempt {
    document: ClaimDocument,
    stage: Stage,
    dispatched: bool,
}

/// A write in transit that may still take effect.
struct DelayedWrite {
    condition: WriteCondition,
    document: ClaimDocument,
}

/// The hosts, the platform and the writes in transit between them.
struct Simulation {
    store: MemoryObjects,
    key: ObjectKey,
    attempts: Vec<Attempt>,
    delayed: Vec<DelayedWrite>,
    killed: bool,
    answers: Vec<StoredOutcome>,
}

/// Safety mechanisms that a test switches off.
#[derive(Clone, Copy, Default)]
struct DisabledMechanisms {
    ignore_conditions: bool,
    dispatch_refused: bool,
}

impl Simulation {
    fn new(attempts: u8, disabled: DisabledMechanisms) -> Self {
        let store = MemoryObjects::default();
        if disabled.ignore_conditions {
            store.ignore_conditions();
        }
        let attempts = (0..u128::from(attempts)).map(new_attempt).collect();
        Self {
            store,
            key: ObjectKey::new("claim", "k"),
            attempts,
            delayed: Vec::new(),
            killed: false,
            answers: Vec::new(),
        }
    }

    fn read(&self) -> Option<ClaimRecord> {
        let record = self.store.of_kind("claim").pop()?;
        let document = serde_json::from_value(record.value).expect("the claim is well-formed");
        Some(ClaimRecord {
            version: record.version,
            document,
        })
    }

    /// Sends a write; the choice determines its outcome.
    fn write(
        &mut self,
        condition: WriteCondition,
        document: &ClaimDocument,
        choice: u8,
    ) -> WriteOutcome {
        let value = serde_json::to_value(document).expect("the claim can be encoded");
        match choice % 6 {
            0..=2 => self.store.apply(&self.key, condition, Some(value)),
            3 => {
                self.store.apply(&self.key, condition, Some(value));
                WriteOutcome::Indeterminate
            }
            4 => {
                let document = document.clone();
                self.delayed.push(DelayedWrite {
                    condition,
                    document,
                });
                WriteOutcome::Indeterminate
            }
            _ => WriteOutcome::Rejected,
        }
    }

    /// Delivers a delayed write.
    fn deliver(&mut self, choice: u8) {
        if self.delayed.is_empty() {
            return;
        }
        let late = self
            .delayed
            .swap_remove(usize::from(choice) % self.delayed.len());
        let value = serde_json::to_value(&late.document).expect("the claim can be encoded");
        self.store.apply(&self.key, late.condition, Some(value));
    }

    /// Advances one attempt by one step.
    fn step(&mut self, index: usize, choice: u8, disabled: DisabledMechanisms) {
        let stage = std::mem::replace(&mut self.attempts[index].stage, Stage::Ended);
        let document = self.attempts[index].document.clone();
        let next = match stage {
            Stage::Claiming(machine, action) => {
                self.step_claim(index, machine, &action, choice, disabled)
            }
            Stage::Granted if choice.is_multiple_of(8) => Stage::Closing(released(document), None),
            Stage::Granted => {
                self.attempts[index].dispatched = true;
                Stage::Closing(settled(document), None)
            }
            Stage::Closing(closed, write) => self.step_close(closed, write, choice),
            Stage::Ended => Stage::Ended,
        };
        self.attempts[index].stage = next;
    }

    fn step_claim(
        &mut self,
        index: usize,
        mut machine: ClaimMachine,
        action: &ClaimAction,
        choice: u8,
        disabled: DisabledMechanisms,
    ) -> Stage {
        let document = self.attempts[index].document.clone();
        let event = match action {
            _ if choice >= 250 => ClaimEvent::DeadlinePassed,
            ClaimAction::Write(condition) => {
                ClaimEvent::Written(self.write(*condition, &document, choice))
            }
            ClaimAction::Read if choice.is_multiple_of(5) => ClaimEvent::ReadFailed,
            ClaimAction::Read => ClaimEvent::Read(self.read()),
            ClaimAction::Finish(_) => return Stage::Ended,
        };
        match machine.handle(&event) {
            ClaimAction::Finish(ClaimFinish::Granted(_)) => Stage::Granted,
            ClaimAction::Finish(ClaimFinish::Unavailable { .. }) if disabled.dispatch_refused => {
                Stage::Granted
            }
            ClaimAction::Finish(ClaimFinish::Unavailable { may_exist: true }) => {
                Stage::Closing(released(document), None)
            }
            ClaimAction::Finish(ClaimFinish::Settled(outcome)) => {
                self.answers.push(outcome);
                Stage::Ended
            }
            ClaimAction::Finish(_) => Stage::Ended,
            next => Stage::Claiming(machine, next),
        }
    }

    fn step_close(
        &mut self,
        closed: ClaimDocument,
        write: Option<WriteCondition>,
        choice: u8,
    ) -> Stage {
        if let Some(condition) = write {
            return match self.write(condition, &closed, choice) {
                WriteOutcome::Applied(_) => Stage::Ended,
                _ => Stage::Closing(closed, None),
            };
        }
        match plan_close(&closed, self.read().as_ref()) {
            CloseStep::Write(condition) => Stage::Closing(closed, Some(condition)),
            CloseStep::Done | CloseStep::Lost => Stage::Ended,
        }
    }

    /// Kills a host, which ends its attempt without closing the claim.
    fn kill(&mut self, index: usize) {
        self.killed = true;
        self.attempts[index].stage = Stage::Ended;
    }

    fn runs(&self) -> usize {
        self.attempts
            .iter()
            .filter(|attempt| attempt.dispatched)
            .count()
    }
}

fn new_attempt(number: u128) -> Attempt {
    let request = RequestId(Uuid::from_u128(number + 1));
    let document = ClaimDocument {
        workspace: "counter".into(),
        attempt: AttemptId { request, number: 0 },
        holder: "entry".into(),
        body_digest: BodyDigest::of(b"charge"),
        created_unix_ms: 0,
        state: ClaimState::Held,
    };
    let machine = ClaimMachine::new(document.clone());
    let action = machine.first_action();
    Attempt {
        document,
        stage: Stage::Claiming(machine, action),
        dispatched: false,
    }
}

fn answer_of(document: &ClaimDocument) -> StoredOutcome {
    let body = document.attempt.to_string();
    StoredOutcome::of_answer(200, None, "text/plain", body.as_bytes())
}

fn settled(document: ClaimDocument) -> ClaimDocument {
    let outcome = answer_of(&document);
    ClaimDocument {
        state: ClaimState::Settled { outcome },
        ..document
    }
}

fn released(document: ClaimDocument) -> ClaimDocument {
    let reason = ReleaseReason::NotDispatched;
    ClaimDocument {
        state: ClaimState::Released { reason },
        ..document
    }
}

/// Runs an interleaving and checks that the request ran at most once.
fn run_interleaving(
    attempts: u8,
    choices: &[(u8, u8)],
    disabled: DisabledMechanisms,
) -> Result<(), TestCaseError> {
    let mut simulation = Simulation::new(attempts, disabled);
    for (actor, choice) in choices {
        let index = usize::from(*actor) % (usize::from(attempts) + 1);
        match index.checked_sub(1) {
            None => simulation.deliver(*choice),
            Some(index) if *actor >= 252 => simulation.kill(index),
            Some(index) => simulation.step(index, *choice, disabled),
        }
    }
    check_ran_once(&simulation)?;
    finish(&mut simulation, disabled);
    check_ran_once(&simulation)?;
    check_availability(&mut simulation)
}

/// Checks that the request ran at most once, and that resends got the answer of that run.
fn check_ran_once(simulation: &Simulation) -> Result<(), TestCaseError> {
    if simulation.runs() > 1 {
        return Err(TestCaseError::fail(format!(
            "the request ran {} times",
            simulation.runs()
        )));
    }
    for answer in &simulation.answers {
        let ran = simulation
            .attempts
            .iter()
            .find(|attempt| attempt.dispatched);
        if ran.is_none_or(|attempt| answer_of(&attempt.document) != *answer) {
            return Err(TestCaseError::fail("a resend got the answer of no run"));
        }
    }
    Ok(())
}

/// Completes all attempts and delayed writes without further faults.
fn finish(simulation: &mut Simulation, disabled: DisabledMechanisms) {
    for _ in 0..32 {
        for index in 0..simulation.attempts.len() {
            simulation.step(index, 1, disabled);
        }
        simulation.deliver(0);
    }
}

/// Checks that, unless a host was killed, the claim ends settled or free for the next attempt.
fn check_availability(simulation: &mut Simulation) -> Result<(), TestCaseError> {
    if simulation.killed {
        return Ok(());
    }
    let held = simulation
        .read()
        .is_some_and(|record| record.document.state == ClaimState::Held);
    if held {
        return Err(TestCaseError::fail("the claim of a living host stays held"));
    }
    Ok(())
}

fn check_interleavings(disabled: DisabledMechanisms) -> Result<(), String> {
    let choices = vec((any::<u8>(), any::<u8>()), STEPS);
    let strategy = (1..=MAX_ATTEMPTS, choices);
    property_runner(4_000)
        .run(&strategy, |(attempts, choices)| {
            run_interleaving(attempts, &choices, disabled)
        })
        .map_err(|error| error.to_string())
}

#[test]
fn a_claimed_request_runs_at_most_once() {
    check_interleavings(DisabledMechanisms::default()).unwrap();
}

#[test]
fn without_conditional_writes_a_request_runs_twice() {
    let disabled = DisabledMechanisms {
        ignore_conditions: true,
        ..Default::default()
    };
    let found = check_interleavings(disabled).expect_err("the mechanism is switched off");
    assert!(found.contains("the request ran"), "{found}");
}

#[test]
fn a_request_runs_twice_if_refused_attempts_are_dispatched() {
    let disabled = DisabledMechanisms {
        dispatch_refused: true,
        ..Default::default()
    };
    let found = check_interleavings(disabled).expect_err("the mechanism is switched off");
    assert!(found.contains("the request ran"), "{found}");
}
