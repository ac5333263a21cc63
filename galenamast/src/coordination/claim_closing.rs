//! Decides how a claim is settled or released when answers of the platform are lost.

use crate::coordination::claim_document::{ClaimDocument, ClaimRecord, ClaimState};
use crate::coordination::object_write::WriteCondition;

/// What to do next to close a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseStep {
    /// Write the closed document if the object is at the expected version.
    Write(WriteCondition),
    /// The claim is closed.
    Done,
    /// The claim belongs to another attempt, or is gone.
    Lost,
}

/// Compares the stored claim with the closed document that is to replace it.
///
/// A missing claim, or one that another attempt released, is written when it is to be released:
/// the new version then keeps a delayed write of this attempt from taking effect.
///
/// ```
/// use galenamast::coordination::claim_closing::{CloseStep, plan_close};
/// use galenamast::coordination::{BodyDigest, ClaimDocument, ClaimState, ReleaseReason};
///
/// let closed = ClaimDocument {
///     workspace: "counter".into(),
///     attempt: Default::default(),
///     holder: "entry-1".into(),
///     body_digest: BodyDigest::of(b""),
///     created_unix_ms: 0,
///     state: ClaimState::Released { reason: ReleaseReason::NotDispatched },
/// };
/// assert!(matches!(plan_close(&closed, None), CloseStep::Write(_)));
/// ```
pub fn plan_close(closed: &ClaimDocument, stored: Option<&ClaimRecord>) -> CloseStep {
    let Some(record) = stored else {
        return match closed.state {
            ClaimState::Released { .. } => CloseStep::Write(WriteCondition::Absent),
            ClaimState::Held | ClaimState::Settled { .. } => CloseStep::Lost,
        };
    };
    let own = record.document.attempt == closed.attempt;
    let rewrite = CloseStep::Write(WriteCondition::At(record.version));
    match (&record.document.state, &closed.state) {
        (ClaimState::Held, _) if own => rewrite,
        (ClaimState::Released { .. }, ClaimState::Released { .. }) if !own => rewrite,
        _ if own => CloseStep::Done,
        _ => CloseStep::Lost,
    }
}
