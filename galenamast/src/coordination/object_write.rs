//! Conditional writes of the object API and what is known of them afterwards.

use crate::coordination::object_record::ObjectVersion;

/// What is known of a write after the call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write took effect and made this version.
    Applied(ObjectVersion),
    /// The write did not take effect, because the object was not at the expected version.
    Conflict,
    /// The write did not take effect, because the platform refused it or was never reached.
    Rejected,
    /// The write may have taken effect.
    Indeterminate,
}

/// The version that a conditional write expects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteCondition {
    /// The object must not exist.
    Absent,
    /// The object must be at this version.
    At(ObjectVersion),
}
