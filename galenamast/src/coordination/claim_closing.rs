//! Plans how to settle or release a claim, also when the platform's responses are lost.

use crate::coordination::claim_document::{ClaimDocument, ClaimRecord, ClaimState};
use crate::coordination::object_write::WriteCondition;

/// Next step to close a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseStep {
    /// Write the closed document on this condition.
    Write(WriteCondition),
    /// The claim is already closed.
    Done,
    /// The claim belongs to another attempt, or no longer exists.
    Lost,
}

/// Plans the next step from the stored claim and the closed document that is to replace it.
///
/// A release is also written if the claim is missing, or if another attempt released it. The new
/// object version then prevents a delayed write of this attempt from taking effect.
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
    let is_own = record.document.attempt == closed.attempt;
    let rewrite = CloseStep::Write(WriteCondition::At(record.version));
    match (&record.document.state, &closed.state) {
        (ClaimState::Held, _) if is_own => rewrite,
        (ClaimState::Released { .. }, ClaimState::Released { .. }) if !is_own => rewrite,
        _ if is_own => CloseStep::Done,
        _ => CloseStep::Lost,
    }
}
