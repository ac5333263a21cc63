//! States and transitions of the lease state machine.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use statig::prelude::*;

use crate::coordination::lease_document::{LeaseDocument, LeaseOwner, LeaseRecord, LeaseStatus};
use crate::coordination::lease_messages::{LeaseAction, LeaseEvent, LeaseSettings};
use crate::coordination::object_record::ObjectVersion;
use crate::coordination::object_write::{WriteCondition, WriteOutcome};
use crate::state::TimePoint;

/// The lease duration divided by this is the time until a renewal, and the mean time between reads
/// of a lease that another host holds.
const RENEW_DIVISOR: u32 = 3;
/// The lease duration divided by this is the longest time before a failed call is retried.
const RETRY_DIVISOR: u32 = 12;

/// Time of an event, and the action that it results in.
#[derive(Debug)]
pub(crate) struct LeaseStep {
    pub(crate) now: TimePoint,
    pub(crate) action: LeaseAction,
}

/// Version of a lease that another host holds, and since when it has been observed unchanged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SeenLease {
    version: ObjectVersion,
    since: TimePoint,
}

/// An attempt to acquire the lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct LeaseAttempt {
    condition: WriteCondition,
    document: LeaseDocument,
    sent: Option<TimePoint>,
}

/// A lease held by this host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct HeldLease {
    version: ObjectVersion,
    term: u64,
    until: TimePoint,
    renew_at: TimePoint,
}

/// Data shared by the states of a lease.
pub(crate) struct LeaseFlow {
    owner: LeaseOwner,
    settings: LeaseSettings,
    generator: ChaCha8Rng,
    writes: u64,
    pub(crate) status: LeaseStatus,
}

impl LeaseFlow {
    pub(crate) fn new(owner: LeaseOwner, settings: LeaseSettings, seed: u64) -> Self {
        Self {
            owner,
            settings,
            generator: ChaCha8Rng::seed_from_u64(seed),
            writes: 0,
            status: LeaseStatus::Free,
        }
    }
}

#[state_machine(
    initial = "State::following(None)",
    state(derive(Debug)),
    visibility = "pub(crate)"
)]
impl LeaseFlow {
    /// Another host holds the lease, or it is free.
    #[state]
    fn following(
        &mut self,
        seen: &mut Option<SeenLease>,
        context: &mut LeaseStep,
        event: &LeaseEvent,
    ) -> Outcome<State> {
        match event {
            LeaseEvent::Read(None) => self.acquire(context, WriteCondition::Absent, 1),
            LeaseEvent::Read(Some(record)) => self.consider(context, seen, record),
            LeaseEvent::ReadFailed => {
                context.action = LeaseAction::Wait(self.retry_time(context.now));
                Handled
            }
            LeaseEvent::Due | LeaseEvent::Written(..) => {
                context.action = LeaseAction::Read;
                Handled
            }
            LeaseEvent::Release => finish(context),
        }
    }

    /// A write that acquires the lease is in progress, or its response was lost.
    #[state]
    fn acquiring(
        &mut self,
        attempt: &mut LeaseAttempt,
        context: &mut LeaseStep,
        event: &LeaseEvent,
    ) -> Outcome<State> {
        match event {
            LeaseEvent::Written(outcome, sent) => {
                // The lease is counted from the first time that this write was sent.
                let first = *attempt.sent.get_or_insert(*sent);
                self.handle_acquire_outcome(context, attempt.document.term, *outcome, first)
            }
            LeaseEvent::Read(Some(record)) if record.document == attempt.document => {
                let first = attempt.sent.unwrap_or(TimePoint::ZERO);
                self.hold(context, record.version, attempt.document.term, first)
            }
            LeaseEvent::Read(record) => {
                let current = record.as_ref().map(|record| record.version);
                let expected = match attempt.condition {
                    WriteCondition::Absent => None,
                    WriteCondition::At(version) => Some(version),
                };
                if current != expected {
                    return follow(context);
                }
                let document = attempt.document.clone();
                context.action = LeaseAction::Write(attempt.condition, document);
                Handled
            }
            LeaseEvent::ReadFailed => {
                context.action = LeaseAction::Wait(self.retry_time(context.now));
                Handled
            }
            LeaseEvent::Due => {
                context.action = LeaseAction::Read;
                Handled
            }
            LeaseEvent::Release => finish(context),
        }
    }

    /// The host holds the lease.
    #[state]
    fn holding(
        &mut self,
        held: &mut HeldLease,
        context: &mut LeaseStep,
        event: &LeaseEvent,
    ) -> Outcome<State> {
        if *event == LeaseEvent::Release {
            return self.release(context, held);
        }
        if context.now >= held.until {
            self.status = LeaseStatus::Free;
            return follow(context);
        }
        match event {
            LeaseEvent::Due if context.now >= held.renew_at => {
                let document = self.next_document(held.term, false);
                context.action = LeaseAction::Write(WriteCondition::At(held.version), document);
                Handled
            }
            LeaseEvent::Written(WriteOutcome::Applied(version), sent) => {
                self.hold(context, *version, held.term, *sent)
            }
            LeaseEvent::Written(WriteOutcome::Conflict, _) => {
                context.action = LeaseAction::Read;
                Handled
            }
            LeaseEvent::Read(Some(record)) if self.is_own(&record.document, held.term) => {
                // A renewal took effect but its response was lost. It extends the lease by no time.
                held.version = record.version;
                self.wait_to_renew(context, held)
            }
            LeaseEvent::Read(_) => {
                self.status = LeaseStatus::Free;
                follow(context)
            }
            LeaseEvent::Due => {
                context.action = LeaseAction::Wait(held.renew_at.min(held.until));
                Handled
            }
            _ => self.wait_to_renew(context, held),
        }
    }

    /// The host no longer holds the lease, and the write that releases it is in progress.
    #[state]
    fn releasing(
        &mut self,
        term: &mut u64,
        retried: &mut bool,
        context: &mut LeaseStep,
        event: &LeaseEvent,
    ) -> Outcome<State> {
        match event {
            LeaseEvent::Written(WriteOutcome::Conflict, _) if !*retried => {
                *retried = true;
                context.action = LeaseAction::Read;
                Handled
            }
            LeaseEvent::Read(Some(record)) if self.is_own(&record.document, *term) => {
                let condition = WriteCondition::At(record.version);
                context.action = LeaseAction::Write(condition, self.next_document(*term, true));
                Handled
            }
            // If the release is lost, the lease expires by itself.
            _ => finish(context),
        }
    }

    /// The machine has stopped.
    #[state]
    fn finished(context: &mut LeaseStep, event: &LeaseEvent) -> Outcome<State> {
        let _ = event;
        context.action = LeaseAction::Finish;
        Handled
    }

    /// Decides whether a lease that was read can be acquired.
    ///
    /// It can if it was released, belongs to this owner, or has been observed unchanged for its
    /// duration plus the margin.
    fn consider(
        &mut self,
        context: &mut LeaseStep,
        seen: &mut Option<SeenLease>,
        record: &LeaseRecord,
    ) -> Outcome<State> {
        let document = &record.document;
        let known = seen.filter(|seen| seen.version == record.version);
        let current = known.unwrap_or(SeenLease {
            version: record.version,
            since: context.now,
        });
        *seen = Some(current);
        let duration = document.duration.max(self.settings.duration);
        let free_at = current.since + duration + self.settings.margin;
        let is_free = document.released || document.owner == self.owner || context.now >= free_at;
        if is_free {
            let condition = WriteCondition::At(record.version);
            return self.acquire(context, condition, document.term + 1);
        }
        let jitter = self.generator.random_range(0.8..1.2);
        let read_at = context.now + (self.settings.duration / RENEW_DIVISOR).mul_f64(jitter);
        context.action = LeaseAction::Wait(read_at.min(free_at));
        Handled
    }

    /// Writes the lease in order to acquire it.
    fn acquire(
        &mut self,
        context: &mut LeaseStep,
        condition: WriteCondition,
        term: u64,
    ) -> Outcome<State> {
        let document = self.next_document(term, false);
        context.action = LeaseAction::Write(condition, document.clone());
        Transition(State::acquiring(LeaseAttempt {
            condition,
            document,
            sent: None,
        }))
    }

    /// Handles the outcome of the write that acquires the lease.
    fn handle_acquire_outcome(
        &mut self,
        context: &mut LeaseStep,
        term: u64,
        outcome: WriteOutcome,
        first: TimePoint,
    ) -> Outcome<State> {
        match outcome {
            WriteOutcome::Applied(version) => self.hold(context, version, term, first),
            WriteOutcome::Conflict | WriteOutcome::Indeterminate => {
                context.action = LeaseAction::Read;
                Handled
            }
            WriteOutcome::Rejected => {
                context.action = LeaseAction::Wait(self.retry_time(context.now));
                Transition(State::following(None))
            }
        }
    }

    /// Holds the lease, counted from the time at which the write that granted it was sent.
    fn hold(
        &mut self,
        context: &mut LeaseStep,
        version: ObjectVersion,
        term: u64,
        sent: TimePoint,
    ) -> Outcome<State> {
        let until = sent + self.settings.duration - self.settings.margin;
        if context.now >= until {
            self.status = LeaseStatus::Free;
            return follow(context);
        }
        self.status = LeaseStatus::Held { term, until };
        let renew_at = sent + self.settings.duration / RENEW_DIVISOR;
        context.action = LeaseAction::Wait(renew_at.max(context.now));
        Transition(State::holding(HeldLease {
            version,
            term,
            until,
            renew_at,
        }))
    }

    /// Waits for the retry time before the next renewal, but not beyond the end of the lease.
    fn wait_to_renew(&mut self, context: &mut LeaseStep, held: &mut HeldLease) -> Outcome<State> {
        held.renew_at = self.retry_time(context.now);
        context.action = LeaseAction::Wait(held.renew_at.min(held.until));
        Handled
    }

    /// Releases the lease: first stops acting as the holder, then writes the release.
    fn release(&mut self, context: &mut LeaseStep, held: &HeldLease) -> Outcome<State> {
        self.status = LeaseStatus::Free;
        let document = self.next_document(held.term, true);
        context.action = LeaseAction::Write(WriteCondition::At(held.version), document);
        Transition(State::releasing(held.term, false))
    }

    /// Returns whether a stored lease is held by this owner in this term.
    fn is_own(&self, document: &LeaseDocument, term: u64) -> bool {
        document.owner == self.owner && document.term == term && !document.released
    }

    /// Creates the document of the next write and counts the write.
    fn next_document(&mut self, term: u64, released: bool) -> LeaseDocument {
        self.writes += 1;
        LeaseDocument {
            owner: self.owner.clone(),
            term,
            duration: self.settings.duration,
            released,
            write: self.writes,
        }
    }

    /// Returns the time at which a failed call is retried.
    fn retry_time(&mut self, now: TimePoint) -> TimePoint {
        let jitter = self.generator.random_range(0.5..1.0);
        now + (self.settings.duration / RETRY_DIVISOR).mul_f64(jitter)
    }
}

/// Returns to following and reads the lease.
fn follow(context: &mut LeaseStep) -> Outcome<State> {
    context.action = LeaseAction::Read;
    Transition(State::following(None))
}

fn finish(context: &mut LeaseStep) -> Outcome<State> {
    context.action = LeaseAction::Finish;
    Transition(State::finished())
}
