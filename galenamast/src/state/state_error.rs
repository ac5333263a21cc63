//! Errors of the state layer.

use thiserror::Error;

use crate::state::config_generation::ConfigGeneration;

/// An error of the state layer.
#[derive(Clone, Debug, Error, PartialEq)]
#[non_exhaustive]
pub enum StateError {
    /// A configuration that is not newer than the one in force was offered.
    #[error("configuration generation {offered} is not newer than {current}, which is in force")]
    GenerationNotNewer {
        /// Generation that was offered.
        offered: ConfigGeneration,
        /// Generation in force.
        current: ConfigGeneration,
    },
    /// A configuration names something that it does not contain.
    #[error("{referrer} refers to {kind} `{name}`, which the configuration does not contain")]
    DanglingReference {
        /// Object that holds the reference.
        referrer: String,
        /// Kind of the missing object.
        kind: &'static str,
        /// Name of the missing object.
        name: String,
    },
    /// A value lies outside its allowed range.
    #[error("{subject}: {field} is {value}, but must be {allowed}")]
    OutOfRange {
        /// Object that holds the value.
        subject: String,
        /// Name of the field.
        field: &'static str,
        /// Value that was found.
        value: String,
        /// Description of the allowed values.
        allowed: &'static str,
    },
}
