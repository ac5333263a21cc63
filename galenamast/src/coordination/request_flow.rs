//! The states of one request and the steps between them.

use statig::prelude::*;

use crate::coordination::attempt_tracker::AttemptTracker;
use crate::coordination::request_failure::{AttemptFailure, StartState, classify_failure};
use crate::coordination::request_messages::{
    AttemptNumber, ClaimAnswer, ClaimEnd, FailureReason, RequestAction, RequestEvent, RequestPlan,
};
use crate::state::{
    CascadePlan, ConfigGeneration, RefusalReason, RouteOutcome, RouteTarget, RunState, TimePoint,
    VersionKey,
};

/// Greatest number of attempts of one request, cascade steps and hedges included.
const MAX_ATTEMPTS: u32 = 5;
/// Greatest number of attempts that follow the death of a server.
const MAX_DEATH_RETRIES: u32 = 1;
/// Greatest number of times that a truncated stream is resumed.
const MAX_RESUMES: u32 = 1;
/// Greatest number of decisions made again because the configuration changed.
const MAX_STALE_DECISIONS: u32 = 8;

/// Time and actions of one handled event.
pub(crate) struct FlowTurn {
    now: TimePoint,
    pub(crate) actions: Vec<RequestAction>,
}

impl FlowTurn {
    /// Starts a turn.
    pub(crate) fn at(now: TimePoint) -> Self {
        Self {
            now,
            actions: Vec::new(),
        }
    }

    /// Adds an action.
    fn push(&mut self, action: RequestAction) {
        self.actions.push(action);
    }
}

/// What is kept of the request across its states.
pub(crate) struct RequestFlow {
    plan: RequestPlan,
    attempts: AttemptTracker,
    run: RunState,
    claimed: bool,
    death_retries: u32,
    resumes: u32,
    stale_decisions: u32,
    routing: bool,
    hedging: bool,
    billed: bool,
    cascade: Option<CascadePlan>,
    version: Option<VersionKey>,
    fallback: Option<AttemptNumber>,
}

#[state_machine(
    initial = "State::admitted()",
    state(derive(Debug)),
    visibility = "pub(crate)"
)]
impl RequestFlow {
    /// Waits for the start of the request.
    #[state]
    fn admitted(&mut self, context: &mut FlowTurn, event: &RequestEvent) -> Outcome<State> {
        match event {
            RequestEvent::Admitted if self.plan.needs_claim => {
                context.push(RequestAction::Claim);
                Transition(State::claiming())
            }
            RequestEvent::Admitted => {
                self.route(context);
                Transition(State::dispatched())
            }
            RequestEvent::CallerDisconnected => Transition(State::settled()),
            _ => Handled,
        }
    }

    /// Waits for the claim; nothing has been dispatched.
    #[state]
    fn claiming(&mut self, context: &mut FlowTurn, event: &RequestEvent) -> Outcome<State> {
        match event {
            RequestEvent::ClaimAnswered(ClaimAnswer::Granted) => {
                self.claimed = true;
                self.route(context);
                Transition(State::dispatched())
            }
            RequestEvent::ClaimAnswered(ClaimAnswer::Settled) => {
                context.push(RequestAction::DeliverStored);
                Transition(State::settled())
            }
            RequestEvent::ClaimAnswered(answer) => {
                let run = match answer {
                    ClaimAnswer::InProgress | ClaimAnswer::KeyExpired => RunState::OutcomeUnknown,
                    _ => RunState::NotRun,
                };
                let reason = FailureReason::Claim(*answer);
                context.push(RequestAction::Fail { reason, run });
                Transition(State::settled())
            }
            // A claim that is granted later is given back in the settled state.
            RequestEvent::DeadlinePassed => self.fail(context, FailureReason::DeadlinePassed),
            RequestEvent::CallerDisconnected => Transition(State::settled()),
            _ => Handled,
        }
    }

    /// Routes and runs attempts whose answer has not begun.
    #[state]
    fn dispatched(&mut self, context: &mut FlowTurn, event: &RequestEvent) -> Outcome<State> {
        match event {
            RequestEvent::Routed {
                generation,
                outcome,
            } => self.follow_route(context, *generation, outcome),
            RequestEvent::DecisionStale { attempt } => self.decide_again(context, *attempt),
            RequestEvent::QueueReleased => {
                self.route(context);
                Handled
            }
            RequestEvent::QueueExpired => {
                self.fail(context, FailureReason::Refused(RefusalReason::Overloaded))
            }
            RequestEvent::AnswerStarted { attempt } if self.attempts.is_active(*attempt) => {
                self.run = RunState::Run;
                self.routing = false;
                self.hedging = false;
                self.cancel_others(context, *attempt);
                Transition(State::streaming())
            }
            RequestEvent::HedgeDue => self.hedge(context),
            _ => self.in_flight(context, event),
        }
    }

    /// Passes on the answer of the one attempt that is left.
    #[state]
    fn streaming(&mut self, context: &mut FlowTurn, event: &RequestEvent) -> Outcome<State> {
        self.in_flight(context, event)
    }

    /// Waits for the rating of the first answer of a cascade.
    #[state]
    fn escalating(&mut self, context: &mut FlowTurn, event: &RequestEvent) -> Outcome<State> {
        match event {
            RequestEvent::Rated { rating } => {
                let plan = self.cascade.take();
                let first = self.fallback;
                let (Some(plan), Some(first)) = (plan, first) else {
                    return Handled;
                };
                let accepted = rating.is_some_and(|rating| rating >= plan.accept_rating);
                if accepted || context.now >= self.plan.deadline {
                    return self.answer(context, first);
                }
                self.version = Some(plan.escalation);
                self.attempts.allow_all_servers();
                self.route(context);
                Transition(State::dispatched())
            }
            RequestEvent::DeadlinePassed => match self.fallback {
                Some(first) => self.answer(context, first),
                None => self.fail(context, FailureReason::DeadlinePassed),
            },
            _ => self.in_flight(context, event),
        }
    }

    /// The request has had its final answer; all that comes later is ignored.
    #[state]
    fn settled(&mut self, context: &mut FlowTurn, event: &RequestEvent) -> Outcome<State> {
        match event {
            RequestEvent::ClaimAnswered(ClaimAnswer::Granted) if !self.claimed => {
                self.claimed = true;
                context.push(RequestAction::CloseClaim(ClaimEnd::NotRun));
            }
            RequestEvent::AttemptFinished { attempt } if !self.plan.guards.single_bill => {
                context.push(RequestAction::Bill(*attempt));
            }
            _ => {}
        }
        Handled
    }
}

impl RequestFlow {
    /// Creates the flow of a request that was admitted.
    pub(crate) fn new(plan: RequestPlan) -> Self {
        Self {
            plan,
            attempts: AttemptTracker::default(),
            run: RunState::NotRun,
            claimed: false,
            death_retries: 0,
            resumes: 0,
            stale_decisions: 0,
            routing: false,
            hedging: false,
            billed: false,
            cascade: None,
            version: None,
            fallback: None,
        }
    }

    /// Handles what may happen whenever an attempt runs.
    fn in_flight(&mut self, turn: &mut FlowTurn, event: &RequestEvent) -> Outcome<State> {
        match event {
            RequestEvent::AttemptFinished { attempt } if self.attempts.is_active(*attempt) => {
                self.finish(turn, *attempt)
            }
            RequestEvent::AttemptFailed {
                attempt,
                failure,
                delivered,
            } if self.attempts.is_active(*attempt) => {
                self.recover(turn, *attempt, *failure, *delivered)
            }
            RequestEvent::DeadlinePassed => self.fail(turn, FailureReason::DeadlinePassed),
            RequestEvent::CallerDisconnected => self.abandon(turn),
            _ => Handled,
        }
    }

    /// Asks for a routing decision.
    fn route(&mut self, turn: &mut FlowTurn) {
        self.routing = true;
        turn.push(RequestAction::Route {
            excluded: self.attempts.excluded().clone(),
            version: self.version.clone(),
        });
    }

    /// Acts on a routing decision.
    fn follow_route(
        &mut self,
        turn: &mut FlowTurn,
        generation: ConfigGeneration,
        outcome: &RouteOutcome,
    ) -> Outcome<State> {
        if !std::mem::take(&mut self.routing) {
            return Handled;
        }
        let hedging = std::mem::take(&mut self.hedging);
        if hedging && !self.attempts.any_active() {
            // The first attempt failed while its hedge was routed.
            self.route(turn);
            return Handled;
        }
        match outcome {
            RouteOutcome::Dispatch(target) => {
                self.dispatch(turn, target.clone(), generation, false)
            }
            _ if hedging => Handled,
            RouteOutcome::Cascade(plan) => {
                self.cascade = Some(plan.clone());
                self.dispatch(turn, plan.first.clone(), generation, true)
            }
            RouteOutcome::Queue(pool) => {
                turn.push(RequestAction::Wait(pool.clone()));
                Handled
            }
            RouteOutcome::Refuse(reason) => self.fail(turn, FailureReason::Refused(*reason)),
        }
    }

    /// Sends an attempt; a non-idempotent request is never sent twice.
    fn dispatch(
        &mut self,
        turn: &mut FlowTurn,
        target: RouteTarget,
        generation: ConfigGeneration,
        withheld: bool,
    ) -> Outcome<State> {
        let repeatable = self.plan.idempotent || !self.plan.guards.single_dispatch;
        if !repeatable && !self.attempts.is_empty() {
            return self.fail(turn, FailureReason::Refused(RefusalReason::NoServer));
        }
        let attempt = self.attempts.add(&target);
        turn.push(RequestAction::Dispatch {
            attempt,
            target,
            generation,
            withheld,
        });
        if let (0, Some(delay)) = (attempt, self.plan.hedge_after) {
            turn.push(RequestAction::StartHedgeTimer(delay));
        }
        Handled
    }

    /// Routes again an attempt that was not sent because the configuration changed.
    fn decide_again(&mut self, turn: &mut FlowTurn, attempt: AttemptNumber) -> Outcome<State> {
        if !self.attempts.withdraw(attempt) {
            return Handled;
        }
        self.stale_decisions += 1;
        if self.attempts.any_active() {
            return Handled;
        }
        self.cascade = None;
        if self.stale_decisions > MAX_STALE_DECISIONS {
            let reason = FailureReason::Refused(RefusalReason::NoEligibleVersion);
            return self.fail(turn, reason);
        }
        self.route(turn);
        Handled
    }

    /// Starts a second attempt while the first is silent.
    fn hedge(&mut self, turn: &mut FlowTurn) -> Outcome<State> {
        let wanted = self.plan.idempotent && self.attempts.any_active();
        if wanted
            && !self.hedging
            && self.attempts.next_number() < MAX_ATTEMPTS
            && self.plan.budget.try_take()
        {
            self.hedging = true;
            self.routing = true;
            let first = self.cascade.as_ref().map(|plan| &plan.first.version);
            turn.push(RequestAction::Route {
                excluded: self.attempts.excluded().clone(),
                version: first.or(self.version.as_ref()).cloned(),
            });
        }
        Handled
    }

    /// Takes in a whole answer.
    fn finish(&mut self, turn: &mut FlowTurn, attempt: AttemptNumber) -> Outcome<State> {
        self.run = RunState::Run;
        self.cancel_others(turn, attempt);
        self.attempts.close(attempt);
        if self.cascade.is_some() {
            self.fallback = Some(attempt);
            turn.push(RequestAction::Rate(attempt));
            return Transition(State::escalating());
        }
        self.answer(turn, attempt)
    }

    /// Ends the request with the whole answer of an attempt.
    fn answer(&mut self, turn: &mut FlowTurn, attempt: AttemptNumber) -> Outcome<State> {
        if !self.billed {
            self.billed = true;
            turn.push(RequestAction::Bill(attempt));
        }
        if self.claimed {
            turn.push(RequestAction::CloseClaim(ClaimEnd::Answered(attempt)));
        }
        turn.push(RequestAction::Deliver(attempt));
        Transition(State::settled())
    }

    /// Decides what follows a failed attempt.
    fn recover(
        &mut self,
        turn: &mut FlowTurn,
        attempt: AttemptNumber,
        failure: AttemptFailure,
        delivered: u64,
    ) -> Outcome<State> {
        self.attempts.close(attempt);
        let start = classify_failure(failure);
        let seen = if self.plan.guards.truthful_refusal {
            RunState::from(start)
        } else {
            RunState::NotRun
        };
        self.run = self.run.max(seen);
        if !self.plan.guards.whole_answer && failure == AttemptFailure::Truncated {
            return self.answer(turn, attempt);
        }
        if self.attempts.any_active() {
            return Handled;
        }
        if delivered > 0 {
            return self.resume(turn, attempt, failure, delivered);
        }
        if self.routing {
            // The decision for a hedge is on its way and takes over.
            return Handled;
        }
        if self.may_retry(start, failure, turn.now) {
            self.death_retries += u32::from(start != StartState::NotStarted);
            self.route(turn);
            return Transition(State::dispatched());
        }
        if let Some(first) = self.fallback {
            return self.answer(turn, first);
        }
        self.fail(turn, FailureReason::Attempt(failure))
    }

    /// Returns whether another attempt may follow a failed one.
    fn may_retry(&self, start: StartState, failure: AttemptFailure, now: TimePoint) -> bool {
        let repeatable = self.plan.idempotent || !self.plan.guards.single_dispatch;
        let deaths_left = start == StartState::NotStarted || self.death_retries < MAX_DEATH_RETRIES;
        repeatable
            && deaths_left
            && !failure.is_final()
            && self.attempts.next_number() < MAX_ATTEMPTS
            && now < self.plan.deadline
            && self.plan.budget.try_take()
    }

    /// Resumes a stream of which the caller has a part already, on the server that began it.
    fn resume(
        &mut self,
        turn: &mut FlowTurn,
        attempt: AttemptNumber,
        failure: AttemptFailure,
        delivered: u64,
    ) -> Outcome<State> {
        let target = self.attempts.target(attempt).cloned();
        let resumable = self.plan.idempotent
            && self.resumes < MAX_RESUMES
            && failure == AttemptFailure::Truncated
            && turn.now < self.plan.deadline
            && self.plan.budget.try_take();
        match target {
            Some(target) if resumable => {
                self.resumes += 1;
                let attempt = self.attempts.add(&target);
                turn.push(RequestAction::Resume {
                    attempt,
                    target,
                    resume_from: delivered,
                });
                Handled
            }
            _ => self.fail(turn, FailureReason::Attempt(failure)),
        }
    }

    /// Ends the request without a whole answer, at once.
    fn fail(&mut self, turn: &mut FlowTurn, reason: FailureReason) -> Outcome<State> {
        if let Some(first) = self.fallback.take() {
            self.cancel_all(turn);
            return self.answer(turn, first);
        }
        self.cancel_all(turn);
        if self.claimed {
            let end = match self.run {
                RunState::NotRun => ClaimEnd::NotRun,
                RunState::OutcomeUnknown | RunState::Run => ClaimEnd::Unknown,
            };
            turn.push(RequestAction::CloseClaim(end));
        }
        let run = self.run;
        turn.push(RequestAction::Fail { reason, run });
        Transition(State::settled())
    }

    /// Ends an idempotent request whose caller left; others run on to their stored outcome.
    fn abandon(&mut self, turn: &mut FlowTurn) -> Outcome<State> {
        if self.claimed && self.attempts.any_active() {
            return Handled;
        }
        self.cancel_all(turn);
        if self.claimed {
            turn.push(RequestAction::CloseClaim(ClaimEnd::NotRun));
        }
        Transition(State::settled())
    }

    /// Gives up all attempts but one.
    fn cancel_others(&mut self, turn: &mut FlowTurn, kept: AttemptNumber) {
        for number in self.attempts.close_others(Some(kept)) {
            turn.push(RequestAction::Cancel(number));
        }
    }

    /// Gives up all attempts; each of them may have run.
    fn cancel_all(&mut self, turn: &mut FlowTurn) {
        for number in self.attempts.close_others(None) {
            if self.plan.guards.truthful_refusal {
                self.run = self.run.max(RunState::OutcomeUnknown);
            }
            turn.push(RequestAction::Cancel(number));
        }
    }
}
