//! Conditions and outcomes of writes through the object API.

use crate::coordination::object_record::ObjectVersion;

/// What is known about a write after the call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write took effect and created this version.
    Applied(ObjectVersion),
    /// The write did not take effect, because the object was not at the expected version.
    Conflict,
    /// The write did not take effect, because the platform refused it or was never reached.
    Rejected,
    /// It is unknown whether the write took effect.
    Indeterminate,
}

/// Condition of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteCondition {
    /// The object must not exist.
    Absent,
    /// The object must be at this version.
    At(ObjectVersion),
}
