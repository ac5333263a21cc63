//! Responses to requests that no server completed successfully.

use std::time::Duration;

use http::{Response, StatusCode};

use crate::coordination::crashes::CrashRefusal;
use crate::coordination::requests::{AttemptTally, FinalAnswer};
use crate::transport::attempt_runner::CompleteResponse;
use crate::transport::response_body::{
    ResponseBody, host_response, not_run_response, stopping_response,
};

/// `Retry-After` for a request that crashed servers; it is refused for at least this long.
const QUARANTINE_RETRY_AFTER: Duration = Duration::from_secs(30);

/// Why no response of a server can be forwarded as a success.
#[derive(Debug)]
pub(crate) enum ExchangeFailure {
    /// A server failed; its response is forwarded.
    ServerResponse(CompleteResponse),
    /// The host responds itself.
    HostResponse(FinalAnswer),
    /// The host reaches no server of the service.
    NoPath,
    /// The host stops, and no server was sent the request.
    Stopping,
    /// No server would begin the request before its deadline.
    Overloaded,
    /// The request or a part of its prompt crashed servers.
    Quarantined(CrashRefusal),
}

impl ExchangeFailure {
    /// Returns whether the request did not run, but another host may be able to run it.
    pub(crate) fn may_run_elsewhere(&self) -> bool {
        matches!(
            self,
            ExchangeFailure::NoPath
                | ExchangeFailure::Stopping
                | ExchangeFailure::HostResponse(FinalAnswer::NotRun)
        )
    }

    /// Returns the response for the caller and the `outcome` for the log. A caller whose request did
    /// not run is told to return after `retry_after`.
    pub(crate) fn into_response(
        self,
        tally: &AttemptTally,
        retry_after: Duration,
    ) -> (Response<ResponseBody>, &'static str) {
        match self {
            ExchangeFailure::ServerResponse(failure) => {
                (failure.into_response(), "the server failed")
            }
            ExchangeFailure::Quarantined(refusal) if tally.runs == 0 => {
                let text = match refusal {
                    CrashRefusal::Request => "requests like this crashed servers",
                    CrashRefusal::Part(_) => "requests with a part of the prompt crashed servers",
                };
                (not_run_response(text, QUARANTINE_RETRY_AFTER), text)
            }
            ExchangeFailure::Quarantined(_) => {
                let text = "the request crashed servers";
                (host_response(StatusCode::BAD_GATEWAY, text), text)
            }
            ExchangeFailure::Stopping => (stopping_response(), "the host stops"),
            ExchangeFailure::Overloaded => {
                let text = "no server would begin in time; the request did not run";
                (not_run_response(text, retry_after), text)
            }
            ExchangeFailure::HostResponse(FinalAnswer::NotRun) => {
                let text = "no server takes the request now; it did not run";
                (not_run_response(text, retry_after), text)
            }
            ExchangeFailure::NoPath if tally.runs == 0 => {
                ExchangeFailure::HostResponse(FinalAnswer::NotRun).into_response(tally, retry_after)
            }
            ExchangeFailure::HostResponse(FinalAnswer::TimedOut) => {
                let text = "no whole answer came in time";
                (host_response(StatusCode::GATEWAY_TIMEOUT, text), text)
            }
            ExchangeFailure::NoPath
            | ExchangeFailure::HostResponse(FinalAnswer::Unknown | FinalAnswer::ServerFailure) => {
                let text = "no server gave a whole answer; the request may have run";
                (host_response(StatusCode::BAD_GATEWAY, text), text)
            }
        }
    }
}
