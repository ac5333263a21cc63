//! Errors of the command `admin` and their exit codes.

use thiserror::Error;
use tonic::{Code, Status};

use crate::config::SettingsError;
use crate::protocol::operator_refusal::{OperatorRefusal, RefusalCode};

/// Why an `admin` command failed.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum AdminError {
    /// The arguments are invalid.
    #[error("{0}")]
    Arguments(String),
    /// A declarative file cannot be used.
    #[error(transparent)]
    InvalidFiles(#[from] SettingsError),
    /// The host refused the call.
    #[error("{0}")]
    Refused(OperatorRefusal),
    /// The call was interrupted; whether it took effect is unknown.
    #[error("the call was interrupted: {0}")]
    Interrupted(String),
    /// The host cannot be reached.
    #[error("cannot reach the host: {0}")]
    Unreachable(String),
    /// The change was accepted, but was not in force everywhere within the wait timeout.
    #[error("generation {generation} is not in force everywhere yet: {missing}")]
    NotInForce {
        /// Configuration generation that the change created.
        generation: u64,
        /// Failure domains that lack the generation, with their hosts that are behind.
        missing: String,
    },
    /// `diff` found this number of differing entries.
    #[error("{0} entries differ")]
    EntriesDiffer(usize),
    /// The result cannot be written, or the runtime for the call cannot be started.
    #[error("cannot write the result: {0}")]
    Output(#[from] std::io::Error),
}

impl AdminError {
    /// Returns the exit code of the program, as listed in its help text.
    ///
    /// ```
    /// use galenamast::commands::admin::admin_error::AdminError;
    ///
    /// assert_eq!(AdminError::EntriesDiffer(1).exit_code(), 8);
    /// ```
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Arguments(_) | Self::InvalidFiles(_) => 2,
            Self::Refused(refusal) => refusal_exit_code(refusal.code),
            Self::Unreachable(_) => 5,
            Self::Interrupted(_) => 6,
            Self::NotInForce { .. } => 7,
            Self::EntriesDiffer(_) => 8,
            Self::Output(_) => 1,
        }
    }
}

/// Returns the exit code for a refusal by the host.
fn refusal_exit_code(code: RefusalCode) -> u8 {
    match code {
        RefusalCode::Conflict => 3,
        RefusalCode::Unauthenticated | RefusalCode::RoleTooLow => 4,
        RefusalCode::Unavailable => 5,
        RefusalCode::OutcomeUnknown => 6,
        _ => 1,
    }
}

impl From<Status> for AdminError {
    fn from(status: Status) -> Self {
        if let Some(refusal) = OperatorRefusal::decode(status.details()) {
            return Self::Refused(refusal);
        }
        let text = format!("{:?}: {}", status.code(), status.message());
        match status.code() {
            Code::Unimplemented => Self::Refused(OperatorRefusal::new(RefusalCode::NotFound, text)),
            _ => Self::Interrupted(text),
        }
    }
}
