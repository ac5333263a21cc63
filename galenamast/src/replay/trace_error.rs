//! Errors of reading a trace.

use thiserror::Error;

/// An error of reading a trace.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum TraceError {
    /// The file could not be read or written.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// A line is not valid JSON of the format.
    #[error("line {line}, column {column}: {reason}")]
    Malformed {
        /// Number of the line, from one.
        line: usize,
        /// Column in the line.
        column: usize,
        /// What is wrong, with the name of the field.
        reason: String,
    },
    /// A field breaks a rule of the format.
    #[error("line {line}, field `{field}`: {reason}")]
    Invalid {
        /// Number of the line, from one.
        line: usize,
        /// Name of the field.
        field: &'static str,
        /// The rule that it breaks.
        reason: String,
    },
}
