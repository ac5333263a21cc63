//! Why a change of the configuration was not accepted.

use thiserror::Error;

use crate::coordination::config_documents::AcceptedChange;
use crate::coordination::coordination_error::CoordinationError;
use crate::state::{ConfigGeneration, StateError};

/// Why a change was not accepted.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum ChangeRefusal {
    /// The change has no identifier or touches nothing.
    #[error("the change has no identifier or touches no entry")]
    Empty,
    /// An entry to remove does not exist.
    #[error("the configuration has no entry {0}")]
    UnknownEntry(String),
    /// An object or the head would exceed what the platform holds.
    #[error("{entry} takes {bytes} bytes, more than the platform holds")]
    TooLarge {
        /// Entry that is too large.
        entry: String,
        /// Size of the entry, in bytes.
        bytes: usize,
    },
    /// The configuration would be invalid.
    #[error("the configuration would be invalid: {}", join(.0))]
    Invalid(Vec<StateError>),
    /// Later changes touched the same entries.
    #[error("overtaken by {}", describe(.notes))]
    Overtaken {
        /// The later changes.
        notes: Vec<AcceptedChange>,
    },
    /// What happened since the generation that the change is based on is not recorded.
    #[error("the change is based on generation {base}, which {current} does not remember")]
    UnknownBase {
        /// Generation that the change is based on.
        base: ConfigGeneration,
        /// Generation in force.
        current: ConfigGeneration,
    },
    /// The platform could not be read or refused the write; the change was not made.
    #[error("not changed: {reason}")]
    Unavailable {
        /// What failed.
        reason: String,
    },
    /// Whether the change was made is unknown; repeat it with the same identifier.
    #[error("outcome of change {change_id} unknown; repeat it with the same identifier")]
    Indeterminate {
        /// Identifier of the change.
        change_id: String,
    },
    /// A document of the configuration is malformed.
    #[error(transparent)]
    Coordination(#[from] CoordinationError),
}

/// Joins errors into one text.
fn join(errors: &[StateError]) -> String {
    let texts: Vec<String> = errors.iter().map(ToString::to_string).collect();
    texts.join("; ")
}

/// Says what changed and by whom.
fn describe(notes: &[AcceptedChange]) -> String {
    let describe_note = |note: &AcceptedChange| {
        let entries = note.entries.join(", ");
        format!("change {} by {} of {entries}", note.change_id, note.author)
    };
    let texts: Vec<String> = notes.iter().map(describe_note).collect();
    texts.join("; ")
}
