//! Reasons why a configuration change was not accepted.

use thiserror::Error;

use crate::coordination::config_documents::AcceptedChange;
use crate::coordination::coordination_error::CoordinationError;
use crate::state::{ConfigGeneration, StateError};

/// Reason why a configuration change was not accepted.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum ChangeRefusal {
    /// The change has no identifier or changes no entry.
    #[error("the change has no identifier or changes no entry")]
    Empty,
    /// An entry to remove does not exist.
    #[error("the configuration has no entry {0}")]
    UnknownEntry(String),
    /// An object or the head would be larger than the platform holds.
    #[error("{entry} takes {bytes} bytes, more than the platform holds")]
    TooLarge {
        /// Entry that is too large.
        entry: String,
        /// Size of the entry, in bytes.
        bytes: usize,
    },
    /// The resulting configuration would be invalid.
    #[error("the configuration would be invalid: {}", join(.0))]
    Invalid(Vec<StateError>),
    /// Changes after the base generation changed the same entries.
    #[error("overtaken by {}", describe(.notes))]
    Overtaken {
        /// The later changes.
        notes: Vec<AcceptedChange>,
    },
    /// The head does not record all changes since the base generation.
    #[error(
        "the change is based on generation {base}, but {current} does not record all changes since it"
    )]
    UnknownBase {
        /// Generation that the change is based on.
        base: ConfigGeneration,
        /// Generation in force.
        current: ConfigGeneration,
    },
    /// The platform could not be read or refused the write. The change was not made.
    #[error("not changed: {reason}")]
    Unavailable {
        /// The read or write that failed, and how.
        reason: String,
    },
    /// It is unknown whether the change was made. Repeat it with the same identifier.
    #[error("outcome of change {change_id} unknown; repeat it with the same identifier")]
    Indeterminate {
        /// Identifier of the change.
        change_id: String,
    },
    /// A document of the configuration is malformed.
    #[error(transparent)]
    Coordination(#[from] CoordinationError),
}

fn join(errors: &[StateError]) -> String {
    let texts: Vec<String> = errors.iter().map(ToString::to_string).collect();
    texts.join("; ")
}

/// Lists the changes with their authors and entries.
fn describe(changes: &[AcceptedChange]) -> String {
    let describe_change = |change: &AcceptedChange| {
        let entries = change.entries.join(", ");
        format!(
            "change {} by {} of {entries}",
            change.change_id, change.author
        )
    };
    let texts: Vec<String> = changes.iter().map(describe_change).collect();
    texts.join("; ")
}
