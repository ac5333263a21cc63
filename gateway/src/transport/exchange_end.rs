//! The answers to requests that no server's good answer ends.

use std::time::Duration;

use http::{Response, StatusCode};

use crate::coordination::requests::{AttemptTally, FinalAnswer};
use crate::transport::answer_body::{AnswerBody, not_run_answer, own_answer};
use crate::transport::attempt_runner::WholeAnswer;

/// Pause before servers are looked for again when none takes work.
const NO_SERVER_PAUSE: Duration = Duration::from_millis(600);
/// Time after which a refused request may find room.
const ROOM_PAUSE: Duration = Duration::from_millis(500);
/// Time for which a request that crashed servers is refused at least.
const QUARANTINE_PAUSE: Duration = Duration::from_secs(30);

/// Why no answer is open.
#[derive(Debug)]
pub(crate) enum ExchangeEnd {
    /// A server's failure is passed on.
    Failure(WholeAnswer),
    /// The host answers itself.
    Own(FinalAnswer),
    /// The request crashed servers before.
    Quarantined,
}

impl ExchangeEnd {
    /// Returns the answer for the caller, and its reason for the log.
    pub(crate) fn into_answer(self, tally: &AttemptTally) -> (Response<AnswerBody>, &'static str) {
        match self {
            ExchangeEnd::Failure(failure) => (failure.into_response(), "the server failed"),
            ExchangeEnd::Quarantined if tally.runs == 0 => {
                let text = "requests like this crashed servers";
                (not_run_answer(text, QUARANTINE_PAUSE), text)
            }
            ExchangeEnd::Quarantined => {
                let text = "the request crashed servers";
                (own_answer(StatusCode::BAD_GATEWAY, text), text)
            }
            ExchangeEnd::Own(FinalAnswer::NotRun) => {
                let text = "no server takes the request now; it did not run";
                let pause = if tally.tries == 0 {
                    NO_SERVER_PAUSE
                } else {
                    ROOM_PAUSE
                };
                (not_run_answer(text, pause), text)
            }
            ExchangeEnd::Own(FinalAnswer::TimedOut) => {
                let text = "no whole answer came in time";
                (own_answer(StatusCode::GATEWAY_TIMEOUT, text), text)
            }
            ExchangeEnd::Own(FinalAnswer::Unknown | FinalAnswer::ServerFailure) => {
                let text = "no server gave a whole answer; the request may have run";
                (own_answer(StatusCode::BAD_GATEWAY, text), text)
            }
        }
    }
}
