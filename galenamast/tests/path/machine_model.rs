//! Runs the request machine through random interleavings of faults and records its effects.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use galenamast::coordination::{
    AttemptFailure, AttemptNumber, ClaimAnswer, ClaimEnd, RequestAction, RequestEvent,
    RequestGuards, RequestMachine, RequestPlan, RetryBudget,
};
use galenamast::state::{
    CascadePlan, ConfigGeneration, RefusalReason, RouteOutcome, RouteTarget, RunState, TimePoint,
    VersionKey,
};

/// Names of the backend servers in the model.
const SERVERS: [&str; 4] = ["s0", "s1", "s2", "s3"];

/// A request and the random choices of its simulated environment.
#[derive(Clone, Debug)]
pub(crate) struct Scenario {
    pub(crate) idempotent: bool,
    pub(crate) hedged: bool,
    pub(crate) streamed: bool,
    pub(crate) choices: Vec<u16>,
}

/// Safety mechanisms of the machine and its environment, which a test can switch off.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Variant {
    pub(crate) guards: RequestGuards,
    pub(crate) rechecks_image: bool,
}

impl Default for Variant {
    fn default() -> Self {
        Self {
            guards: RequestGuards::default(),
            rechecks_image: true,
        }
    }
}

/// An attempt on a simulated server.
#[derive(Debug)]
struct ModelAttempt {
    number: AttemptNumber,
    events: u64,
    whole: bool,
}

/// The observed effects of a run.
#[derive(Debug, Default)]
pub(crate) struct Observed {
    /// Attempts that a server started.
    pub(crate) starts: u32,
    /// Attempts that a server may have started.
    pub(crate) sends: u32,
    pub(crate) bills: u32,
    /// Whole answers and errors that the caller got.
    pub(crate) finals: u32,
    pub(crate) answered: bool,
    pub(crate) answer_whole: bool,
    pub(crate) reported_not_run: bool,
    pub(crate) forbidden_runs: u32,
    pub(crate) caller_disconnected: bool,
    pub(crate) claim_ends: u32,
    pub(crate) claim_granted: bool,
    pub(crate) released_after_send: bool,
    pub(crate) settled: bool,
    servers_tried: Vec<String>,
}

impl Observed {
    /// Returns the guarantees that the run violated.
    pub(crate) fn violated_guarantees(&self, scenario: &Scenario) -> Vec<&'static str> {
        let mut violated = Vec::new();
        let mut check = |holds: bool, guarantee| {
            if !holds {
                violated.push(guarantee);
            }
        };
        check(
            scenario.idempotent || self.sends <= 1,
            "at most one dispatch",
        );
        check(
            !(self.reported_not_run && self.starts > 0),
            "not run only if not started",
        );
        check(
            !self.released_after_send,
            "claim released only if not started",
        );
        check(self.bills == u32::from(self.answered), "one usage record");
        check(!self.answered || self.answer_whole, "whole answer");
        check(self.forbidden_runs == 0, "allowed versions only");
        check(self.finals <= 1, "one final answer");
        check(self.settled, "the request ends");
        check(
            self.caller_disconnected || self.finals == 1,
            "a final answer",
        );
        let closed = u32::from(self.claim_granted);
        check(self.claim_ends == closed, "one end of the claim");
        violated
    }
}

/// The machine with its simulated environment: claims, decisions, servers and the caller.
struct Model<'a> {
    scenario: &'a Scenario,
    variant: Variant,
    position: usize,
    machine: RequestMachine,
    pending: Vec<RequestEvent>,
    attempts: Vec<ModelAttempt>,
    generation: u64,
    now: TimePoint,
    observed: Observed,
}

/// Runs a scenario to its end.
pub(crate) fn run_scenario(scenario: &Scenario, variant: Variant) -> Observed {
    let budget = RetryBudget::default();
    budget.deposit(1.0);
    let plan = RequestPlan {
        idempotent: scenario.idempotent,
        needs_claim: !scenario.idempotent,
        hedge_after: scenario.hedged.then_some(Duration::from_millis(50)),
        deadline: TimePoint::from_millis(1_000),
        budget: Arc::new(budget),
        guards: variant.guards,
    };
    let mut model = Model {
        scenario,
        variant,
        position: 0,
        machine: RequestMachine::new(plan),
        pending: Vec::new(),
        attempts: Vec::new(),
        generation: 1,
        now: TimePoint::ZERO,
        observed: Observed::default(),
    };
    model.deliver(&RequestEvent::Admitted);
    for _ in 0..200 {
        model.step();
    }
    // The deadline ends everything that is still open.
    model.now = TimePoint::from_millis(1_000);
    model.deliver(&RequestEvent::DeadlinePassed);
    while let Some(event) = model.pending.pop() {
        model.deliver(&event);
    }
    model.observed.settled = model.machine.is_settled();
    model.observed
}

impl Model<'_> {
    /// Returns the next choice, a number below `bound`.
    fn choose(&mut self, bound: u16) -> u16 {
        let choice = self.scenario.choices[self.position % self.scenario.choices.len()];
        self.position += 1;
        choice.wrapping_add(self.position as u16 * 7) % bound
    }

    /// Delivers a pending event or makes a random change.
    fn step(&mut self) {
        self.now = self.now + Duration::from_millis(2);
        let pending = u16::try_from(self.pending.len()).unwrap_or(u16::MAX);
        if pending > 0 && self.choose(3) > 0 {
            let index = usize::from(self.choose(pending));
            let event = self.pending.swap_remove(index);
            if self.choose(8) == 0 {
                // The event is repeated later.
                self.pending.push(event.clone());
            }
            return self.deliver(&event);
        }
        match self.choose(24) {
            0 => {
                self.observed.caller_disconnected = true;
                self.deliver(&RequestEvent::CallerDisconnected);
            }
            1 => self.deliver(&RequestEvent::DeadlinePassed),
            2..5 => self.generation += 1,
            _ => self.progress(),
        }
    }

    /// Advances one attempt on its server.
    fn progress(&mut self) {
        if self.attempts.is_empty() {
            return;
        }
        let count = u16::try_from(self.attempts.len()).unwrap_or(u16::MAX);
        let index = usize::from(self.choose(count));
        let number = self.attempts[index].number;
        match self.choose(12) {
            0..4 => {
                self.attempts[index].events += 1;
                self.deliver(&RequestEvent::AnswerStarted { attempt: number });
            }
            4..8 => {
                self.attempts[index].whole = true;
                self.deliver(&RequestEvent::AttemptFinished { attempt: number });
            }
            other => self.fail_attempt(index, other),
        }
    }

    /// Fails an attempt.
    fn fail_attempt(&mut self, index: usize, choice: u16) {
        let events = self.attempts[index].events;
        let failure = match choice {
            _ if events > 0 => AttemptFailure::Truncated,
            8 => AttemptFailure::Broken,
            9 => AttemptFailure::TimedOut,
            10 => AttemptFailure::Crossed,
            _ => AttemptFailure::Refused {
                status: 500,
                not_started: false,
            },
        };
        let delivered = if self.scenario.streamed { events } else { 0 };
        let attempt = self.attempts[index].number;
        self.deliver(&RequestEvent::AttemptFailed {
            attempt,
            failure,
            delivered,
        });
    }

    /// Delivers an event to the machine and performs the resulting actions.
    fn deliver(&mut self, event: &RequestEvent) {
        for action in self.machine.handle(event, self.now) {
            self.perform(action);
        }
    }

    /// Performs an action as the transport layer does.
    fn perform(&mut self, action: RequestAction) {
        match action {
            RequestAction::Claim => self.claim(),
            RequestAction::Route { excluded, version } => {
                let excluded = excluded.iter().map(ToString::to_string).collect();
                self.route(&excluded, version);
            }
            RequestAction::Wait(_) => {
                let released = self.choose(2) == 0;
                self.pending.push(if released {
                    RequestEvent::QueueReleased
                } else {
                    RequestEvent::QueueExpired
                });
            }
            RequestAction::Dispatch {
                attempt,
                target,
                generation,
                ..
            } => {
                if self.variant.rechecks_image && generation.0 != self.generation {
                    return self.pending.push(RequestEvent::DecisionStale { attempt });
                }
                self.send(attempt, &target);
            }
            RequestAction::Resume {
                attempt,
                resume_from,
                ..
            } => {
                self.observed.sends += 1;
                self.observed.starts += 1;
                self.attempts.push(ModelAttempt {
                    number: attempt,
                    events: resume_from,
                    whole: false,
                });
            }
            RequestAction::Cancel(_) => {}
            RequestAction::StartHedgeTimer(_) => self.pending.push(RequestEvent::HedgeDue),
            RequestAction::Rate(_) => {
                let rating = match self.choose(3) {
                    0 => None,
                    1 => Some(0.2),
                    _ => Some(0.9),
                };
                self.pending.push(RequestEvent::Rated { rating });
            }
            RequestAction::Bill(_) => self.observed.bills += 1,
            RequestAction::CloseClaim(end) => {
                self.observed.claim_ends += 1;
                self.observed.released_after_send |=
                    end == ClaimEnd::NotRun && self.observed.starts > 0;
            }
            RequestAction::Deliver(number) => {
                self.observed.finals += 1;
                self.observed.answered = true;
                let whole = |attempt: &ModelAttempt| attempt.number == number && attempt.whole;
                self.observed.answer_whole = self.attempts.iter().any(whole);
            }
            RequestAction::DeliverStored => self.observed.finals += 1,
            RequestAction::Fail { run, .. } => {
                self.observed.finals += 1;
                self.observed.reported_not_run = run == RunState::NotRun;
            }
        }
    }

    /// Answers a claim.
    fn claim(&mut self) {
        let answer = match self.choose(8) {
            0 => ClaimAnswer::Settled,
            1 => ClaimAnswer::InProgress,
            2 => ClaimAnswer::Unavailable,
            _ => ClaimAnswer::Granted,
        };
        self.observed.claim_granted = answer == ClaimAnswer::Granted;
        self.pending.push(RequestEvent::ClaimAnswered(answer));
    }

    /// Makes a routing decision; the allowed version is named after the generation.
    fn route(&mut self, excluded: &BTreeSet<String>, requested_version: Option<VersionKey>) {
        let generation = ConfigGeneration(self.generation);
        let name = format!("g{}", self.generation);
        let version = requested_version.unwrap_or_else(|| VersionKey::new("m", &name));
        // Like the planner, the model chooses no version outside the allowed set.
        let allowed = ["any", name.as_str()].contains(&version.version.as_str());
        let free = SERVERS
            .iter()
            .filter(|_| allowed)
            .find(|name| !excluded.contains(**name));
        let target = free.map(|server| RouteTarget {
            version,
            server: (*server).into(),
            ..Default::default()
        });
        let outcome = match (target, self.choose(10)) {
            (None, _) => RouteOutcome::Refuse(RefusalReason::NoServer),
            (_, 0) => RouteOutcome::Queue("pool".into()),
            (Some(first), 1 | 2) if self.scenario.idempotent && !self.scenario.streamed => {
                RouteOutcome::Cascade(CascadePlan {
                    escalation: VersionKey::new("m", "any"),
                    first,
                    accept_rating: 0.5,
                })
            }
            (Some(target), _) => RouteOutcome::Dispatch(target),
        };
        self.pending.push(RequestEvent::Routed {
            generation,
            outcome,
        });
    }

    /// Sends an attempt to a server, which may refuse it or be unreachable.
    fn send(&mut self, attempt: AttemptNumber, target: &RouteTarget) {
        let expected = format!("g{}", self.generation);
        let version = target.version.version.as_str();
        if version != "any" && version != expected {
            self.observed.forbidden_runs += 1;
        }
        self.observed.servers_tried.push(target.server.to_string());
        let failure = match self.choose(6) {
            0 => Some(AttemptFailure::NotSent),
            1 => Some(AttemptFailure::Refused {
                status: 503,
                not_started: true,
            }),
            _ => None,
        };
        self.observed.sends += 1;
        if let Some(failure) = failure {
            return self.pending.push(RequestEvent::AttemptFailed {
                attempt,
                failure,
                delivered: 0,
            });
        }
        self.observed.starts += 1;
        self.attempts.push(ModelAttempt {
            number: attempt,
            events: 0,
            whole: false,
        });
    }
}
