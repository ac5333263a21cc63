//! Errors of the command `admin` and their exit codes.

use thiserror::Error;
use tonic::{Code, Status};

use crate::config::SettingsError;
use crate::protocol::operator_refusal::{OperatorRefusal, RefusalCode};

/// Why an `admin` command failed.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum AdminError {
    /// The arguments cannot be used.
    #[error("{0}")]
    Arguments(String),
    /// A declarative file cannot be used.
    #[error(transparent)]
    Files(#[from] SettingsError),
    /// The host refused the call.
    #[error("{0}")]
    Refused(OperatorRefusal),
    /// The call broke off; whether it took effect is unknown.
    #[error("the call broke off: {0}")]
    Broken(String),
    /// The host cannot be reached.
    #[error("cannot reach the host: {0}")]
    Unreachable(String),
    /// The change was accepted, but is not in force everywhere yet.
    #[error("generation {generation} is not in force everywhere yet: {missing}")]
    NotInForce {
        /// Generation that the change made.
        generation: u64,
        /// Hosts that are behind and failure domains that are not reached.
        missing: String,
    },
    /// `diff` found differences.
    #[error("{0} entries differ")]
    Different(usize),
    /// The result cannot be written.
    #[error("cannot write the result: {0}")]
    Output(#[from] std::io::Error),
}

impl AdminError {
    /// Returns the exit code of the program.
    ///
    /// ```
    /// use galenamast::commands::admin::admin_error::AdminError;
    ///
    /// assert_eq!(AdminError::Different(1).exit_code(), 8);
    /// ```
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Arguments(_) | Self::Files(_) => 2,
            Self::Refused(refusal) => code_of(refusal.code),
            Self::Unreachable(_) => 5,
            Self::Broken(_) => 6,
            Self::NotInForce { .. } => 7,
            Self::Different(_) => 8,
            Self::Output(_) => 1,
        }
    }
}

/// Returns the exit code of a refusal.
fn code_of(code: RefusalCode) -> u8 {
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
            _ => Self::Broken(text),
        }
    }
}
