//! Errors of reading or writing a trace.

use thiserror::Error;

/// Error of reading or writing a trace.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum TraceError {
    /// The file could not be read or written.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// A line is not valid JSON, or does not have the fields of the format.
    #[error("line {line}, column {column}: {reason}")]
    Malformed {
        /// Number of the line, from one.
        line: usize,
        /// Column in the line, as reported by the JSON parser.
        column: usize,
        /// Message of the JSON parser.
        reason: String,
    },
    /// A field violates a rule of the format.
    #[error("line {line}, field `{field}`: {reason}")]
    Invalid {
        /// Number of the line, from one.
        line: usize,
        /// Name of the field.
        field: &'static str,
        /// The violated rule.
        reason: String,
    },
}
