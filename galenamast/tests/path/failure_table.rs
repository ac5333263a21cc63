//! The classification of backend failures, as a table.

use galenamast::coordination::{AttemptFailure, StartState, classify_failure};

#[test]
fn only_unsent_or_declined_attempts_did_not_start() {
    let refused = |status, not_started| AttemptFailure::Refused {
        status,
        not_started,
    };
    let table = [
        (AttemptFailure::NotSent, StartState::NotStarted),
        (refused(503, true), StartState::NotStarted),
        (refused(404, true), StartState::NotStarted),
        (refused(400, false), StartState::Unknown),
        (refused(429, false), StartState::Unknown),
        (refused(500, false), StartState::Unknown),
        (refused(502, false), StartState::Unknown),
        (refused(503, false), StartState::Unknown),
        (refused(504, false), StartState::Unknown),
        (AttemptFailure::Broken, StartState::Unknown),
        (AttemptFailure::TimedOut, StartState::Unknown),
        (AttemptFailure::Truncated, StartState::Ran),
        (AttemptFailure::Crossed, StartState::Unknown),
        (AttemptFailure::Malformed, StartState::Unknown),
        (AttemptFailure::Cancelled, StartState::Unknown),
    ];
    for (failure, expected) in table {
        assert_eq!(classify_failure(failure), expected, "{failure:?}");
    }
}
