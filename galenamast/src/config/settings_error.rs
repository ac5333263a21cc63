//! Errors of settings files and declarative files.

use std::fmt;
use std::path::PathBuf;

use thiserror::Error;

/// Why a settings file or declarative file cannot be used.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("cannot read {path}: {source}")]
    Unreadable {
        /// Path of the file.
        path: PathBuf,
        /// Error of the read.
        source: std::io::Error,
    },
    /// The file has errors; the list is never empty.
    #[error("{}", join_lines(.0))]
    Invalid(Vec<SettingsProblem>),
}

/// Joins problems into one text with a line for each.
fn join_lines(problems: &[SettingsProblem]) -> String {
    problems
        .iter()
        .map(ToString::to_string)
        .collect::<Vec<_>>()
        .join("\n")
}

/// One error in a settings file or declarative file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsProblem {
    /// Path of the file, as it was given.
    pub file: String,
    /// Line of the error; the first line is 1.
    pub line: usize,
    /// What is wrong and, where it helps, what is allowed.
    pub message: String,
}

impl fmt::Display for SettingsProblem {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}:{}: {}", self.file, self.line, self.message)
    }
}
