//! Events and actions of the request machine.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use crate::coordination::request_failure::AttemptFailure;
use crate::coordination::retry_budget::RetryBudget;
use crate::state::{
    ConfigGeneration, PoolName, RefusalReason, RouteOutcome, RouteTarget, RunState, ServerName,
    TimePoint, VersionKey,
};

/// What the machine needs to know of a request from the start.
#[derive(Clone, Debug)]
pub struct RequestPlan {
    /// Whether the request may be run again.
    pub idempotent: bool,
    /// Whether a claim is needed before the request is dispatched.
    pub needs_claim: bool,
    /// Time without a first byte after which a second attempt starts; `None` for no hedging.
    pub hedge_after: Option<Duration>,
    /// Time by which the caller needs the answer.
    pub deadline: TimePoint,
    /// Tokens for retries and hedges of the workspace.
    pub budget: Arc<RetryBudget>,
    /// Mechanisms that tests switch off.
    pub guards: RequestGuards,
}

/// Mechanisms of the machine, all on; a test switches one off to show that its check notices.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestGuards {
    /// A non-idempotent request is dispatched at most once.
    pub single_dispatch: bool,
    /// A refusal says "not run" only if no server can have started the request.
    pub truthful_refusal: bool,
    /// An answered request is billed once.
    pub single_bill: bool,
    /// A failed attempt is never delivered as the answer.
    pub whole_answer: bool,
}

impl Default for RequestGuards {
    fn default() -> Self {
        Self {
            single_dispatch: true,
            truthful_refusal: true,
            single_bill: true,
            whole_answer: true,
        }
    }
}

/// Number of an attempt of a request, from zero.
pub type AttemptNumber = u32;

/// What happened to a request.
#[derive(Clone, Debug, PartialEq)]
pub enum RequestEvent {
    /// The request was admitted.
    Admitted,
    /// The claim was made, refused, or found to be settled.
    ClaimAnswered(ClaimAnswer),
    /// A routing decision was made.
    Routed {
        /// Generation of the configuration that the decision used.
        generation: ConfigGeneration,
        /// The decision.
        outcome: RouteOutcome,
    },
    /// The configuration changed between decision and dispatch; nothing was sent.
    DecisionStale {
        /// Attempt that was not sent.
        attempt: AttemptNumber,
    },
    /// The wait for a free server ended.
    QueueReleased,
    /// The request could not wait any longer, or was shed.
    QueueExpired,
    /// The first part of an answer to the right request arrived.
    AnswerStarted {
        /// Attempt that is answered.
        attempt: AttemptNumber,
    },
    /// A whole answer arrived.
    AttemptFinished {
        /// Attempt that is answered.
        attempt: AttemptNumber,
    },
    /// An attempt failed.
    AttemptFailed {
        /// Attempt that failed.
        attempt: AttemptNumber,
        /// How it failed.
        failure: AttemptFailure,
        /// Events of the answer that the caller was sent already.
        delivered: u64,
    },
    /// The rating service rated an answer, or could not.
    Rated {
        /// The rating from 0 to 1.
        rating: Option<f64>,
    },
    /// The hedging delay passed.
    HedgeDue,
    /// The caller's deadline passed.
    DeadlinePassed,
    /// The caller disconnected.
    CallerDisconnected,
}

/// What the attempt to claim a request found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimAnswer {
    /// The request may be dispatched once.
    Granted,
    /// The request ran before; the stored outcome answers it.
    Settled,
    /// The request is in progress elsewhere, or its outcome is not known.
    InProgress,
    /// No claim can be made, so that the request is not run.
    Unavailable,
    /// The key is older than outcomes are kept.
    KeyExpired,
    /// The key was used with another body.
    KeyReused,
}

/// What is known of a claimed request at its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimEnd {
    /// The request was answered by this attempt.
    Answered(AttemptNumber),
    /// The request may have run.
    Unknown,
    /// The request did not run; the key may be used again.
    NotRun,
}

/// Why a request ends without a whole answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureReason {
    /// The request was refused.
    Refused(RefusalReason),
    /// The claim forbids to run the request.
    Claim(ClaimAnswer),
    /// An attempt failed and no other may follow.
    Attempt(AttemptFailure),
    /// The deadline passed.
    DeadlinePassed,
}

/// What transport does next for a request.
#[derive(Clone, Debug, PartialEq)]
pub enum RequestAction {
    /// Claim the request.
    Claim,
    /// Make a routing decision.
    Route {
        /// Servers that must not be chosen.
        excluded: BTreeSet<ServerName>,
        /// Version that must be chosen.
        version: Option<VersionKey>,
    },
    /// Wait for a free server of a pool.
    Wait(PoolName),
    /// Send an attempt, if the configuration is still of this generation.
    Dispatch {
        /// Number of the attempt.
        attempt: AttemptNumber,
        /// Where it goes.
        target: RouteTarget,
        /// Generation of the configuration that the decision used.
        generation: ConfigGeneration,
        /// Whether the answer is kept back until it has been rated.
        withheld: bool,
    },
    /// Send an attempt that goes on with a truncated stream.
    Resume {
        /// Number of the attempt.
        attempt: AttemptNumber,
        /// Server that began the stream.
        target: RouteTarget,
        /// Index of the first event that is wanted.
        resume_from: u64,
    },
    /// Give up an attempt.
    Cancel(AttemptNumber),
    /// Report after a delay that hedging is due.
    StartHedgeTimer(Duration),
    /// Have the answer of an attempt rated.
    Rate(AttemptNumber),
    /// Record what the request is billed for.
    Bill(AttemptNumber),
    /// Write back the end of the claim.
    CloseClaim(ClaimEnd),
    /// Give the caller the whole answer of an attempt.
    Deliver(AttemptNumber),
    /// Give the caller the outcome stored with the claim.
    DeliverStored,
    /// Tell the caller that the request ends without a whole answer.
    Fail {
        /// Why it ends.
        reason: FailureReason,
        /// Whether the request was run.
        run: RunState,
    },
}
