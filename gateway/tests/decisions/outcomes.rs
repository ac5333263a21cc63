//! Next steps after an attempt, for all outcomes and for both retryable and other requests.

use galenamast_gateway::coordination::requests::{
    AttemptLimits, AttemptOutcome, AttemptTally, FinalAnswer, NextStep, final_answer, next_step,
};

/// All outcomes of an attempt.
const ALL: [AttemptOutcome; 10] = [
    AttemptOutcome::NotSent,
    AttemptOutcome::Rejected,
    AttemptOutcome::WrongServer,
    AttemptOutcome::Unproven,
    AttemptOutcome::Failed,
    AttemptOutcome::Garbled,
    AttemptOutcome::Broken,
    AttemptOutcome::Silent,
    AttemptOutcome::Overdue,
    AttemptOutcome::Lost,
];

#[test]
fn non_retryable_request_runs_at_most_once() {
    let limits = AttemptLimits {
        retryable: false,
        runs: 1,
        tries: 6,
    };
    for first in ALL {
        for second in ALL {
            let mut tally = AttemptTally::default();
            tally.note(first);
            if let NextStep::Retry(_) = next_step(first, &tally, &limits) {
                tally.note(second);
            }
            assert!(tally.runs <= 1, "{first:?} {second:?}");
        }
    }
}

#[test]
fn not_run_is_answered_only_if_nothing_ran() {
    for first in ALL {
        for second in ALL {
            let mut tally = AttemptTally::default();
            tally.note(first);
            tally.note(second);
            let is_not_run = final_answer(second, &tally) == FinalAnswer::NotRun;
            let may_have_run = first.may_have_run() || second.may_have_run();
            assert!(!(is_not_run && may_have_run), "{first:?} {second:?}");
        }
    }
}

#[test]
fn runs_and_tries_are_bounded() {
    let limits = AttemptLimits {
        retryable: true,
        runs: 3,
        tries: 6,
    };
    for outcome in ALL {
        let mut tally = AttemptTally::default();
        loop {
            tally.note(outcome);
            if let NextStep::End(_) = next_step(outcome, &tally, &limits) {
                break;
            }
        }
        assert!(
            tally.runs <= 3 && tally.tries <= 6,
            "{outcome:?}: {tally:?}"
        );
    }
}
