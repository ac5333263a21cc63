//! Errors of the settings file.

use std::fmt;
use std::path::PathBuf;

use thiserror::Error;

/// Why a settings file cannot be used.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("cannot read {path}: {source}")]
    Unreadable {
        /// Path of the file.
        path: PathBuf,
        /// Why it cannot be read.
        source: std::io::Error,
    },
    /// The file holds errors.
    #[error("{}", lines(.0))]
    Invalid(Vec<SettingsProblem>),
}

/// Joins problems into one text, a line each.
fn lines(problems: &[SettingsProblem]) -> String {
    problems
        .iter()
        .map(ToString::to_string)
        .collect::<Vec<_>>()
        .join("\n")
}

/// One error of a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsProblem {
    /// File that holds the error.
    pub file: String,
    /// Line of the error, from one.
    pub line: usize,
    /// What is wrong and what is allowed.
    pub message: String,
}

impl fmt::Display for SettingsProblem {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}:{}: {}", self.file, self.line, self.message)
    }
}
