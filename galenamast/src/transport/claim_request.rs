//! Messages of the claim runner.

use std::time::Duration;

use crate::coordination::{
    BodyDigest, ClaimDocument, ClaimRetention, ObjectKey, ObjectVersion, StoredOutcome,
};
use crate::state::{AttemptId, HostName, RequestId, TimePoint, WorkspaceName};

/// How claims are made.
#[derive(Clone, Debug)]
pub struct ClaimSettings {
    /// Entry host that makes the claims.
    pub host: HostName,
    /// How long claims are kept.
    pub retention: ClaimRetention,
    /// Longest time in which a claim is made or refused.
    pub timeout: Duration,
    /// Longest time from the start of a claim to the dispatch of its attempt.
    pub dispatch_window: Duration,
    /// Longest time for which closing a claim is tried.
    pub close_timeout: Duration,
}

impl Default for ClaimSettings {
    fn default() -> Self {
        Self {
            host: HostName::default(),
            retention: ClaimRetention::default(),
            timeout: Duration::from_secs(2),
            dispatch_window: Duration::from_secs(60),
            close_timeout: Duration::from_secs(3_600),
        }
    }
}

/// Asks for the right to run a non-idempotent request.
#[derive(Clone, Debug)]
pub struct ClaimRequest {
    /// Workspace of the caller.
    pub workspace: WorkspaceName,
    /// Idempotency key that the caller chose.
    pub key: String,
    /// Digest of the request body.
    pub body_digest: BodyDigest,
    /// Attempt that is to be dispatched.
    pub attempt: AttemptId,
    /// Request that the attempt runs.
    pub request: RequestId,
}

/// The right to dispatch one attempt once.
#[derive(Debug)]
pub struct ClaimTicket {
    pub(super) object: ObjectKey,
    pub(super) version: ObjectVersion,
    pub(super) document: ClaimDocument,
    pub(super) dispatch_until: TimePoint,
}

impl ClaimTicket {
    /// Returns whether the attempt may still be dispatched; a ticket that waited too long is released.
    pub fn may_dispatch(&self, now: TimePoint) -> bool {
        now < self.dispatch_until
    }

    /// Copies the ticket, for the release of one that its caller did not take.
    pub(super) fn duplicate(&self) -> Self {
        Self {
            object: self.object.clone(),
            version: self.version,
            document: self.document.clone(),
            dispatch_until: self.dispatch_until,
        }
    }
}

/// What a claim allows.
#[derive(Debug)]
pub enum ClaimVerdict {
    /// The attempt may be dispatched once.
    Granted(ClaimTicket),
    /// The request has run, with this outcome.
    Settled(StoredOutcome),
    /// Another attempt may be running; the outcome is unknown.
    InProgress,
    /// The claim could not be made; the request is refused and not run.
    Unavailable,
    /// The key's time lies outside the window; the outcome is unknown.
    KeyExpired,
    /// The key was used with another body; the request is refused and not run.
    KeyReused,
}

/// How a claim without an outcome is resolved by an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimResolution {
    /// The operator found that the request had not run; a resend runs it.
    NotRun {
        /// Who resolved the claim.
        author: String,
        /// What was found.
        reason: String,
    },
    /// The operator found that the request had run; a resend gets this outcome.
    Ran(StoredOutcome),
}
