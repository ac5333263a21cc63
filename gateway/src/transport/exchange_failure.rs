//! The answers to requests that no server's good answer ends.

use std::time::Duration;

use http::{Response, StatusCode};

use crate::coordination::requests::{AttemptTally, FinalAnswer};
use crate::transport::attempt_runner::CompleteResponse;
use crate::transport::response_body::{ResponseBody, host_response, not_run_response};

/// Pause before servers are looked for again when none takes work.
const NO_SERVER_RETRY_AFTER: Duration = Duration::from_millis(600);
/// Time after which a refused request may find room.
const BUSY_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Time for which a request that crashed servers is refused at least.
const QUARANTINE_RETRY_AFTER: Duration = Duration::from_secs(30);

/// Why no answer is open.
#[derive(Debug)]
pub(crate) enum ExchangeFailure {
    /// A server's failure is passed on.
    ServerResponse(CompleteResponse),
    /// The host answers itself.
    HostResponse(FinalAnswer),
    /// The request crashed servers before.
    Quarantined,
}

impl ExchangeFailure {
    /// Returns the answer for the caller, and its reason for the log.
    pub(crate) fn into_response(
        self,
        tally: &AttemptTally,
    ) -> (Response<ResponseBody>, &'static str) {
        match self {
            ExchangeFailure::ServerResponse(failure) => {
                (failure.into_response(), "the server failed")
            }
            ExchangeFailure::Quarantined if tally.runs == 0 => {
                let text = "requests like this crashed servers";
                (not_run_response(text, QUARANTINE_RETRY_AFTER), text)
            }
            ExchangeFailure::Quarantined => {
                let text = "the request crashed servers";
                (host_response(StatusCode::BAD_GATEWAY, text), text)
            }
            ExchangeFailure::HostResponse(FinalAnswer::NotRun) => {
                let text = "no server takes the request now; it did not run";
                let pause = if tally.tries == 0 {
                    NO_SERVER_RETRY_AFTER
                } else {
                    BUSY_RETRY_AFTER
                };
                (not_run_response(text, pause), text)
            }
            ExchangeFailure::HostResponse(FinalAnswer::TimedOut) => {
                let text = "no whole answer came in time";
                (host_response(StatusCode::GATEWAY_TIMEOUT, text), text)
            }
            ExchangeFailure::HostResponse(FinalAnswer::Unknown | FinalAnswer::ServerFailure) => {
                let text = "no server gave a whole answer; the request may have run";
                (host_response(StatusCode::BAD_GATEWAY, text), text)
            }
        }
    }
}
