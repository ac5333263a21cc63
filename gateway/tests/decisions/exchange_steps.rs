//! The next step of a request, for any state of its attempts.

use galenamast_gateway::coordination::requests::{
    AttemptLimits, AttemptOutcome, AttemptTally, ExchangeState, ExchangeStep, FinalAnswer,
    NextServers, exchange_step,
};
use proptest::prelude::*;

/// How an attempt can end.
const ENDS: [AttemptOutcome; 8] = [
    AttemptOutcome::NotSent,
    AttemptOutcome::Rejected,
    AttemptOutcome::WrongServer,
    AttemptOutcome::Unproven,
    AttemptOutcome::Failed,
    AttemptOutcome::Garbled,
    AttemptOutcome::Broken,
    AttemptOutcome::Lost,
];

/// What happens next in a simulated exchange.
#[derive(Clone, Copy, Debug)]
enum Happening {
    /// The attempt of this index ends.
    End(usize, AttemptOutcome),
    /// The latest attempt is late.
    Late,
    /// The first of the replaced attempts is handed over.
    HandOver,
}

/// Draws what happens next.
fn happening() -> impl Strategy<Value = Happening> {
    prop_oneof![
        (0..6_usize, proptest::sample::select(ENDS.to_vec()))
            .prop_map(|(index, outcome)| Happening::End(index, outcome)),
        Just(Happening::Late),
        Just(Happening::HandOver),
    ]
}

/// A request whose attempts are simulated.
#[derive(Debug)]
struct SimulatedExchange {
    state: ExchangeState,
    // Whether each attempt in progress is late.
    live: Vec<bool>,
    left: u32,
    untried: u32,
    budget: u32,
}

impl SimulatedExchange {
    /// Returns the state of the attempts.
    fn state(&self) -> ExchangeState {
        let late = self.live.iter().filter(|is_late| **is_late).count();
        ExchangeState {
            in_progress: u32::try_from(self.live.len()).expect("few attempts"),
            in_time: u32::try_from(self.live.len() - late).expect("few attempts"),
            ..self.state
        }
    }

    /// Returns the servers that the request can be sent to.
    fn servers(&self) -> NextServers {
        NextServers {
            untried: self.untried > 0,
            left: self.left > 0,
            in_budget: self.budget > 0,
        }
    }

    /// Takes steps until the request waits or ends; returns the answer if it ends.
    fn advance(&mut self) -> Option<FinalAnswer> {
        loop {
            let step = exchange_step(&self.state(), self.servers());
            match step {
                ExchangeStep::Ask { is_retry } => {
                    self.untried -= 1;
                    self.budget -= u32::from(is_retry);
                    self.live.push(false);
                }
                ExchangeStep::Return => {
                    self.left -= 1;
                    self.budget -= 1;
                    self.state.tally.return_to_server();
                    self.live.push(false);
                }
                ExchangeStep::Wait => {
                    assert!(!self.live.is_empty(), "waits for nothing: {self:?}");
                    return None;
                }
                ExchangeStep::End(answer) => return Some(answer),
            }
            self.check_bounds();
        }
    }

    /// Checks that no more servers run the request than may.
    fn check_bounds(&self) {
        let state = self.state();
        let runs = state.tally.runs + state.in_progress;
        let allowed = if state.limits.retryable {
            state.limits.runs
        } else {
            1
        };
        assert!(runs <= allowed, "{self:?}");
        assert!(state.tally.tries + state.in_progress <= state.limits.tries);
    }

    /// Applies what happens; returns false if it cannot happen now.
    fn apply(&mut self, happening: Happening) -> bool {
        match happening {
            Happening::End(index, outcome) => {
                if self.live.is_empty() {
                    return false;
                }
                self.live.remove(index % self.live.len());
                self.state.tally.note(outcome);
                self.state.latest = Some(outcome);
                self.state.has_failure |= outcome == AttemptOutcome::Failed;
            }
            Happening::Late => match self.live.last_mut() {
                Some(is_late) => *is_late = true,
                None => return false,
            },
            Happening::HandOver => {
                if self.live.len() < 2 {
                    return false;
                }
                self.live.remove(0);
                self.state.tally.note(AttemptOutcome::Left);
                self.left += 1;
            }
        }
        true
    }

    /// Checks that an exchange that ends could not have gone on.
    fn check_end(&self, answer: FinalAnswer) {
        let state = self.state();
        assert!(self.live.is_empty(), "a server may still respond: {self:?}");
        let may_run = match state.limits.retryable {
            true => state.tally.runs < state.limits.runs,
            false => state.tally.runs == 0,
        };
        let in_budget = self.budget > 0 || state.tally.arrivals == 0;
        let may_try = state.has_time && state.tally.tries < state.limits.tries;
        let may_ask = self.untried > 0 && may_run && in_budget;
        let may_return = self.left > 0 && state.limits.retryable && self.budget > 0;
        assert!(
            !may_try || !(may_ask || may_return),
            "a server may be asked: {self:?}"
        );
        assert_eq!(
            answer == FinalAnswer::NotRun,
            state.tally.runs == 0,
            "{self:?}"
        );
        assert_eq!(
            answer == FinalAnswer::ServerFailure,
            state.has_failure,
            "{self:?}"
        );
    }
}

proptest! {
    // No request ends while a server may still respond in time or another one may be asked.
    #[test]
    fn request_goes_on_while_an_answer_may_come(
        retryable: bool,
        runs in 1..4_u32,
        untried in 0..6_u32,
        budget in 0..5_u32,
        happenings in proptest::collection::vec(happening(), 0..20),
    ) {
        let mut exchange = SimulatedExchange {
            state: ExchangeState {
                tally: AttemptTally::default(),
                limits: AttemptLimits { retryable, runs, tries: 6 },
                in_progress: 0,
                in_time: 0,
                latest: None,
                has_failure: false,
                has_time: true,
            },
            live: Vec::new(),
            left: 0,
            untried,
            budget,
        };
        let mut end = exchange.advance();
        for happening in happenings {
            if end.is_some() {
                break;
            }
            if exchange.apply(happening) {
                end = exchange.advance();
            }
        }
        match end {
            Some(answer) => exchange.check_end(answer),
            // At the deadline, only what is in hand counts.
            None => {
                exchange.live.clear();
                exchange.state.tally.note(AttemptOutcome::Silent);
                exchange.state.latest = Some(AttemptOutcome::Silent);
                exchange.state.has_time = false;
                let answer = exchange.advance().expect("the deadline ends the request");
                prop_assert!(answer != FinalAnswer::NotRun);
                prop_assert!(answer != FinalAnswer::Unknown);
            }
        }
    }
}

/// State of a request whose first server is late, and whose second one ended with `latest`.
fn late_first(latest: AttemptOutcome, limits: AttemptLimits) -> ExchangeState {
    let mut tally = AttemptTally::default();
    tally.note(latest);
    ExchangeState {
        tally,
        limits,
        in_progress: 1,
        in_time: 0,
        latest: Some(latest),
        has_failure: latest == AttemptOutcome::Failed,
        has_time: true,
    }
}

// The rows of docs/design/late-servers.md: what follows when the next server fails in each way, while the
// first one may still respond, and after it was left.
#[test]
fn steps_follow_the_table_of_late_servers() {
    let all = NextServers {
        untried: true,
        left: true,
        in_budget: true,
    };
    for outcome in ENDS {
        for runs in 1..=3 {
            let limits = AttemptLimits {
                retryable: true,
                runs,
                tries: 6,
            };
            let state = late_first(outcome, limits);
            let used = 1 + u32::from(outcome.may_have_run());
            let none = NextServers {
                untried: false,
                left: false,
                ..all
            };
            assert_eq!(
                exchange_step(&state, none),
                ExchangeStep::Wait,
                "{outcome:?}"
            );
            let step = exchange_step(&state, NextServers { left: false, ..all });
            let expected = if used < runs {
                ExchangeStep::Ask { is_retry: true }
            } else {
                ExchangeStep::Wait
            };
            assert_eq!(step, expected, "{outcome:?}, {runs} attempts");
            // The first server was left.
            let mut tally = state.tally;
            tally.note(AttemptOutcome::Left);
            let state = ExchangeState {
                tally,
                in_progress: 0,
                ..state
            };
            let step = exchange_step(
                &state,
                NextServers {
                    untried: false,
                    ..all
                },
            );
            assert_eq!(step, ExchangeStep::Return, "{outcome:?}, {runs} attempts");
        }
    }
}
