//! The next step of a request, for any state of its attempts.

use std::collections::BTreeSet;

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
    /// The latest attempt is late, and has had half of the time that was left if `true`.
    Late(bool),
    /// The first of the replaced attempts is handed over.
    HandOver,
}

/// Draws what happens next.
fn happening() -> impl Strategy<Value = Happening> {
    prop_oneof![
        (0..6_usize, proptest::sample::select(ENDS.to_vec()))
            .prop_map(|(index, outcome)| Happening::End(index, outcome)),
        any::<bool>().prop_map(Happening::Late),
        Just(Happening::HandOver),
    ]
}

/// An attempt in progress.
#[derive(Clone, Copy, Debug)]
struct SimulatedAttempt {
    server: u32,
    is_late: bool,
    is_return: bool,
}

/// A request whose attempts are simulated, each at a server with a number.
#[derive(Debug)]
struct SimulatedExchange {
    state: ExchangeState,
    live: Vec<SimulatedAttempt>,
    left: Vec<u32>,
    // Servers that may have run the request.
    ran: BTreeSet<u32>,
    asked: u32,
    servers: u32,
    budget: u32,
}

impl SimulatedExchange {
    /// Returns the state of the attempts.
    fn state(&self) -> ExchangeState {
        let count = |is_counted: fn(&&SimulatedAttempt) -> bool| {
            u32::try_from(self.live.iter().filter(is_counted).count()).expect("few attempts")
        };
        ExchangeState {
            in_progress: count(|_| true),
            in_time: count(|attempt| !attempt.is_late),
            returned: count(|attempt| attempt.is_return),
            ..self.state
        }
    }

    /// Returns the servers that the request can be sent to.
    fn next_servers(&self) -> NextServers {
        NextServers {
            untried: self.asked < self.servers,
            left: !self.left.is_empty(),
            in_budget: self.budget > 0,
        }
    }

    /// Takes steps until the request waits or ends; returns the answer if it ends.
    fn advance(&mut self) -> Option<FinalAnswer> {
        loop {
            let state = self.state();
            let (server, is_return) = match exchange_step(&state, self.next_servers()) {
                ExchangeStep::Ask { is_retry } => {
                    self.budget -= u32::from(is_retry);
                    self.asked += 1;
                    (self.asked, false)
                }
                ExchangeStep::Return => {
                    assert!(self.live.is_empty() || state.has_waited, "{self:?}");
                    self.budget -= 1;
                    (self.left.pop().expect("a server was left"), true)
                }
                ExchangeStep::Wait => {
                    assert!(!self.live.is_empty(), "waits for nothing: {self:?}");
                    return None;
                }
                ExchangeStep::End(answer) => return Some(answer),
            };
            self.state.has_waited = false;
            self.live.push(SimulatedAttempt {
                server,
                is_late: false,
                is_return,
            });
            self.check_bounds();
        }
    }

    /// Checks that no more servers have the request than may.
    fn check_bounds(&self) {
        let state = self.state();
        let servers = self.live.iter().map(|attempt| attempt.server);
        let servers: BTreeSet<u32> = servers.chain(self.ran.iter().copied()).collect();
        let allowed = match state.limits.retryable {
            true => state.limits.runs,
            false => 1,
        };
        let count = u32::try_from(servers.len()).expect("few servers");
        assert!(count <= allowed, "{count} servers: {self:?}");
        assert!(state.tally.tries + state.in_progress <= state.limits.tries);
    }

    /// Counts an attempt that ended.
    fn note(&mut self, attempt: SimulatedAttempt, outcome: AttemptOutcome) {
        match attempt.is_return {
            true => self.state.tally.note_again(outcome),
            false => self.state.tally.note(outcome),
        }
        self.state.latest = Some(outcome);
        if outcome.may_have_run() {
            self.ran.insert(attempt.server);
        }
    }

    /// Applies what happens; returns false if it cannot happen now.
    fn apply(&mut self, happening: Happening) -> bool {
        match happening {
            Happening::End(index, outcome) => {
                if self.live.is_empty() {
                    return false;
                }
                let attempt = self.live.remove(index % self.live.len());
                self.note(attempt, outcome);
                self.state.has_failure |= outcome == AttemptOutcome::Failed;
            }
            Happening::Late(has_waited) => match self.live.last_mut() {
                Some(attempt) => {
                    attempt.is_late = true;
                    self.state.has_waited |= has_waited;
                }
                None => return false,
            },
            Happening::HandOver => {
                if self.live.len() < 2 {
                    return false;
                }
                let attempt = self.live.remove(0);
                self.note(attempt, AttemptOutcome::Left);
                self.left.push(attempt.server);
            }
        }
        true
    }

    /// Checks that an exchange that ends could not have gone on, and that its answer is true.
    fn check_end(&self, answer: FinalAnswer) {
        let state = self.state();
        assert!(self.live.is_empty(), "a server may still respond: {self:?}");
        let ran = u32::try_from(self.ran.len()).expect("few servers");
        let may_run = match state.limits.retryable {
            true => ran < state.limits.runs,
            false => ran == 0,
        };
        let in_budget = self.budget > 0 || state.tally.arrivals == 0;
        let may_try = state.has_time && state.tally.tries < state.limits.tries;
        let may_ask = self.asked < self.servers && may_run && in_budget;
        let may_return = !self.left.is_empty() && state.limits.retryable && self.budget > 0;
        assert!(
            !may_try || !(may_ask || may_return),
            "a server may be asked: {self:?}"
        );
        assert_eq!(answer == FinalAnswer::NotRun, ran == 0, "{self:?}");
        assert_eq!(
            answer == FinalAnswer::ServerFailure,
            state.has_failure,
            "{self:?}"
        );
    }
}

proptest! {
    // No request ends while a server may still respond in time or another one may be asked, no more servers
    // run it than may, and it is answered as not run only if that is so.
    #[test]
    fn request_goes_on_while_an_answer_may_come(
        retryable: bool,
        runs in 1..4_u32,
        servers in 0..6_u32,
        budget in 0..6_u32,
        happenings in proptest::collection::vec(happening(), 0..24),
    ) {
        let mut exchange = SimulatedExchange {
            state: ExchangeState {
                tally: AttemptTally::default(),
                limits: AttemptLimits { retryable, runs, tries: 6 },
                in_progress: 0,
                in_time: 0,
                returned: 0,
                has_waited: false,
                latest: None,
                has_failure: false,
                has_time: true,
            },
            live: Vec::new(),
            left: Vec::new(),
            ran: BTreeSet::new(),
            asked: 0,
            servers,
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
                for attempt in std::mem::take(&mut exchange.live) {
                    exchange.note(attempt, AttemptOutcome::Silent);
                }
                exchange.state.has_time = false;
                let answer = exchange.advance().expect("the deadline ends the request");
                let expected = match exchange.state.has_failure {
                    true => FinalAnswer::ServerFailure,
                    false => FinalAnswer::TimedOut,
                };
                prop_assert_eq!(answer, expected);
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
        returned: 0,
        has_waited: false,
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
            // A server that was left is not asked again while another one may respond.
            let untried = NextServers {
                untried: false,
                ..all
            };
            assert_eq!(
                exchange_step(&state, untried),
                ExchangeStep::Wait,
                "{outcome:?}"
            );
            let waited = ExchangeState {
                has_waited: true,
                ..state
            };
            assert_eq!(
                exchange_step(&waited, untried),
                ExchangeStep::Return,
                "{outcome:?}"
            );
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
