//! Settings, requests and results of the claim runner.

use std::time::Duration;

use crate::coordination::{
    BodyDigest, ClaimDocument, ClaimRetention, ObjectKey, ObjectVersion, StoredOutcome,
};
use crate::state::{AttemptId, HostName, RequestId, TimePoint, WorkspaceName};

/// Settings of the claim runner.
#[derive(Clone, Debug)]
pub struct ClaimSettings {
    /// Entry host that makes the claims.
    pub host: HostName,
    /// Retention of claims.
    pub retention: ClaimRetention,
    /// Timeout for acquiring a claim.
    pub timeout: Duration,
    /// Longest time from the start of a claim to the dispatch of its attempt.
    pub dispatch_window: Duration,
    /// Longest time for which closing a claim is retried.
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

/// Request for the right to run a non-idempotent request.
#[derive(Clone, Debug)]
pub struct ClaimRequest {
    /// Workspace of the caller.
    pub workspace: WorkspaceName,
    /// Idempotency key that the caller chose.
    pub key: String,
    /// Digest of the request body.
    pub body_digest: BodyDigest,
    /// Attempt to dispatch.
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
    /// Returns whether the attempt may still be dispatched; an expired ticket is to be released.
    pub fn may_dispatch(&self, now: TimePoint) -> bool {
        now < self.dispatch_until
    }

    /// Copies the ticket, so that it can be released if its receiver is gone.
    pub(super) fn duplicate(&self) -> Self {
        Self {
            object: self.object.clone(),
            version: self.version,
            document: self.document.clone(),
            dispatch_until: self.dispatch_until,
        }
    }
}

/// Result of acquiring a claim.
#[derive(Debug)]
pub enum ClaimVerdict {
    /// The attempt may be dispatched once.
    Granted(ClaimTicket),
    /// The request has already run, with this outcome.
    Settled(StoredOutcome),
    /// Another attempt may be running; the outcome is unknown.
    InProgress,
    /// The claim could not be acquired; the request is refused and not run.
    Unavailable,
    /// The time in the key lies outside the retention window; the outcome is unknown.
    KeyExpired,
    /// The key was used with a different body; the request is refused and not run.
    KeyReused,
}

/// An operator's resolution of a claim without an outcome.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimResolution {
    /// The request did not run; a resend runs it.
    NotRun {
        /// Operator who resolved the claim.
        author: String,
        /// Finding that the resolution is based on.
        reason: String,
    },
    /// The request ran; a resend gets this outcome.
    Ran(StoredOutcome),
}
