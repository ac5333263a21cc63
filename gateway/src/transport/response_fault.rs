//! What is wrong with a response while it is read.

use log::Level;

use crate::coordination::memory::ResponseBound;
use crate::coordination::requests::AttemptOutcome;
use crate::protocol::{GatewayRecord, SplitError};
use crate::state::ServerEntry;
use crate::transport::gateway_context::GatewayContext;
use crate::transport::record_log::log_record;
use galenamast::transport::BodyError;

/// Why a response is given up while it is read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ResponseFault {
    /// It broke off.
    Broken,
    /// Its bytes do not go on with the response.
    Garbled,
    /// It exceeds a bound.
    Bounded(ResponseBound),
}

impl ResponseFault {
    /// Returns the outcome of the attempt that read the response.
    pub(crate) const fn outcome(self) -> AttemptOutcome {
        match self {
            Self::Broken => AttemptOutcome::Broken,
            Self::Garbled | Self::Bounded(_) => AttemptOutcome::Garbled,
        }
    }

    /// Logs and counts a bound that the response of a server exceeded; returns the outcome of the attempt.
    pub(crate) fn report(
        self,
        context: &GatewayContext,
        server: &ServerEntry,
        request: &str,
    ) -> AttemptOutcome {
        if let Self::Bounded(bound) = self {
            let bound = bound.name();
            context
                .metrics
                .increment(&format!("responses_unbounded_{bound}_total"));
            let record = GatewayRecord::ResponseUnbounded {
                request: request.into(),
                server: server.id.clone(),
                bound,
            };
            log_record(Level::Warn, &record);
        }
        self.outcome()
    }
}

impl From<BodyError> for ResponseFault {
    fn from(error: BodyError) -> Self {
        match error {
            BodyError::Broken => Self::Broken,
            BodyError::NoData => Self::Bounded(ResponseBound::Framing),
        }
    }
}

impl From<SplitError> for ResponseFault {
    fn from(error: SplitError) -> Self {
        Self::Bounded(match error {
            SplitError::TooLong => ResponseBound::Event,
            SplitError::TooBlank => ResponseBound::Filler,
        })
    }
}
