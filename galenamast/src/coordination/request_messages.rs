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

/// Properties of a request that are known when it is admitted.
#[derive(Clone, Debug)]
pub struct RequestPlan {
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Whether the request must be claimed before it is dispatched.
    pub needs_claim: bool,
    /// Time without a first byte after which a hedge starts; `None` disables hedging.
    pub hedge_after: Option<Duration>,
    /// Time by which the caller needs the answer.
    pub deadline: TimePoint,
    /// Budget of the workspace for retries and hedges.
    pub budget: Arc<RetryBudget>,
    /// Safeguards, which only tests disable.
    pub guards: RequestGuards,
}

/// Safeguards of the request machine, all enabled by default.
///
/// A test disables one to show that its checks detect the violation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestGuards {
    /// A non-idempotent request is dispatched at most once.
    pub single_dispatch: bool,
    /// A refusal says "not run" only if no server can have started the request.
    pub truthful_refusal: bool,
    /// An answered request is billed exactly once.
    pub single_bill: bool,
    /// A truncated answer is never delivered as a whole one.
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

/// Number of an attempt within its request, counted from zero.
pub type AttemptNumber = u32;

/// Event that the request machine handles.
#[derive(Clone, Debug, PartialEq)]
pub enum RequestEvent {
    /// The request was admitted.
    Admitted,
    /// The attempt to claim the request ended.
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
    /// A server of the pool has room for the queued request.
    QueueReleased,
    /// The queued request ran out of time or was shed.
    QueueExpired,
    /// The first part of an answer arrived, and it belongs to this request.
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
        /// Number of events of the answer that the caller has been sent.
        delivered: u64,
    },
    /// The rating service rated an answer or failed to do so.
    Rated {
        /// Rating from 0 to 1; `None` if the rating failed.
        rating: Option<f64>,
    },
    /// The hedging delay passed.
    HedgeDue,
    /// The caller's deadline passed.
    DeadlinePassed,
    /// The caller disconnected.
    CallerDisconnected,
}

/// Result of an attempt to claim a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimAnswer {
    /// The claim was made; the request may be dispatched once.
    Granted,
    /// The request ran before, and its stored outcome is the answer.
    Settled,
    /// The request is in progress elsewhere, or its outcome is unknown.
    InProgress,
    /// No claim could be made, so the request does not run.
    Unavailable,
    /// The key is older than the time for which outcomes are kept.
    KeyExpired,
    /// The key was used before with a different body.
    KeyReused,
}

/// How a claimed request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimEnd {
    /// This attempt answered the request.
    Answered(AttemptNumber),
    /// The request may have run.
    Unknown,
    /// The request did not run; the key may be used again.
    NotRun,
}

/// Reason why a request ends without a whole answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureReason {
    /// The request was refused.
    Refused(RefusalReason),
    /// The result of the claim forbids running the request.
    Claim(ClaimAnswer),
    /// An attempt failed and may not be retried.
    Attempt(AttemptFailure),
    /// The deadline passed.
    DeadlinePassed,
}

/// Action that the transport layer performs for a request.
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
    /// Send an attempt if the configuration still has this generation.
    Dispatch {
        /// Number of the attempt.
        attempt: AttemptNumber,
        /// Server and version that it is sent to.
        target: RouteTarget,
        /// Generation of the configuration that the decision used.
        generation: ConfigGeneration,
        /// Whether the answer is held back until it has been rated.
        withheld: bool,
    },
    /// Send an attempt that resumes a truncated stream.
    Resume {
        /// Number of the attempt.
        attempt: AttemptNumber,
        /// Server that began the stream.
        target: RouteTarget,
        /// Index of the first event to resume from.
        resume_from: u64,
    },
    /// Cancel an attempt.
    Cancel(AttemptNumber),
    /// Report [`RequestEvent::HedgeDue`] after a delay.
    StartHedgeTimer(Duration),
    /// Ask the rating service to rate the answer of an attempt.
    Rate(AttemptNumber),
    /// Record the usage of an attempt, for which the request is billed.
    Bill(AttemptNumber),
    /// Store how the claimed request ended.
    CloseClaim(ClaimEnd),
    /// Deliver the whole answer of an attempt to the caller.
    Deliver(AttemptNumber),
    /// Deliver the outcome that is stored with the claim.
    DeliverStored,
    /// Answer the caller that the request ends without a whole answer.
    Fail {
        /// Reason of the failure.
        reason: FailureReason,
        /// Whether the request ran.
        run: RunState,
    },
}
