//! Next steps after an attempt, for all outcomes and for both retryable and other requests.

use galenamast_gateway::coordination::requests::{
    AttemptLimits, AttemptOutcome, AttemptTally, ExchangeState, ExchangeStep, FinalAnswer,
    NextServers, exchange_step,
};

/// All outcomes of an attempt.
const ALL: [AttemptOutcome; 11] = [
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
    AttemptOutcome::Left,
];

/// All servers that a request could be sent to.
const SERVERS: NextServers = NextServers {
    untried: true,
    left: true,
    in_budget: true,
};

/// Returns the step after an attempt, if none is in progress.
fn step_after(
    outcome: AttemptOutcome,
    tally: AttemptTally,
    limits: AttemptLimits,
    servers: NextServers,
) -> ExchangeStep {
    let state = ExchangeState {
        tally,
        limits,
        in_progress: 0,
        in_time: 0,
        returned: 0,
        has_waited: false,
        latest: Some(outcome),
        has_failure: outcome == AttemptOutcome::Failed,
        has_time: outcome != AttemptOutcome::Silent,
    };
    exchange_step(&state, servers)
}

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
            match step_after(first, tally, limits, SERVERS) {
                ExchangeStep::End(_) => {}
                step => {
                    assert!(
                        matches!(step, ExchangeStep::Ask { .. }),
                        "{first:?}: {step:?}"
                    );
                    tally.note(second);
                }
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
            let limits = AttemptLimits {
                retryable: true,
                runs: 2,
                tries: 2,
            };
            let step = step_after(second, tally, limits, SERVERS);
            let is_not_run = step == ExchangeStep::End(FinalAnswer::NotRun);
            assert!(matches!(step, ExchangeStep::End(_)), "{first:?} {second:?}");
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
            let servers = NextServers {
                left: false,
                ..SERVERS
            };
            if let ExchangeStep::End(_) = step_after(outcome, tally, limits, servers) {
                break;
            }
        }
        assert!(
            tally.runs <= 3 && tally.tries <= 6,
            "{outcome:?}: {tally:?}"
        );
    }
}
