//! States and transitions of one request.

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

/// Maximum number of attempts of one request, cascade steps and hedges included.
const MAX_ATTEMPTS: u32 = 5;
/// Maximum number of retries after an attempt that a server may have started, for example one that
/// ended when the server crashed.
const MAX_RETRIES_AFTER_START: u32 = 1;
/// Maximum number of times that a truncated stream is resumed.
const MAX_RESUMES: u32 = 1;
/// Maximum number of routing decisions repeated because the configuration changed before dispatch.
const MAX_STALE_DECISIONS: u32 = 8;

/// Time of the event that is being handled, and the actions that it causes.
pub(crate) struct FlowContext {
    now: TimePoint,
    pub(crate) actions: Vec<RequestAction>,
}

impl FlowContext {
    /// Creates a context without actions.
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

/// Data of a request that outlives a state.
pub(crate) struct RequestFlow {
    plan: RequestPlan,
    attempts: AttemptTracker,
    /// Whether a server may have run the request.
    run: RunState,
    claimed: bool,
    retries_after_start: u32,
    resumes: u32,
    stale_decisions: u32,
    /// A routing decision was asked for and has not arrived.
    routing: bool,
    /// The outstanding routing decision is for a hedge.
    hedging: bool,
    billed: bool,
    /// Cascade whose first answer has not been rated.
    cascade: Option<CascadePlan>,
    /// Version that the next routing decision must choose.
    version: Option<VersionKey>,
    /// First answer of a cascade, which is delivered if the escalation fails.
    fallback: Option<AttemptNumber>,
}

#[state_machine(
    initial = "State::admitted()",
    state(derive(Debug)),
    visibility = "pub(crate)"
)]
impl RequestFlow {
    /// Waits for the event that starts the request.
    #[state]
    fn admitted(&mut self, context: &mut FlowContext, event: &RequestEvent) -> Outcome<State> {
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
    fn claiming(&mut self, context: &mut FlowContext, event: &RequestEvent) -> Outcome<State> {
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
            // If the claim is granted after this, the settled state releases it.
            RequestEvent::DeadlinePassed => self.fail(context, FailureReason::DeadlinePassed),
            RequestEvent::CallerDisconnected => Transition(State::settled()),
            _ => Handled,
        }
    }

    /// Routes the request and waits until an attempt is answered.
    #[state]
    fn dispatched(&mut self, context: &mut FlowContext, event: &RequestEvent) -> Outcome<State> {
        match event {
            RequestEvent::Routed {
                generation,
                outcome,
            } => self.follow_route(context, *generation, outcome),
            RequestEvent::DecisionStale { attempt } => self.reroute(context, *attempt),
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
            _ => self.handle_in_flight(context, event),
        }
    }

    /// The only remaining attempt streams its answer.
    #[state]
    fn streaming(&mut self, context: &mut FlowContext, event: &RequestEvent) -> Outcome<State> {
        self.handle_in_flight(context, event)
    }

    /// Waits for the rating of a cascade's first answer.
    #[state]
    fn escalating(&mut self, context: &mut FlowContext, event: &RequestEvent) -> Outcome<State> {
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
            _ => self.handle_in_flight(context, event),
        }
    }

    /// The request has ended. A claim granted now is released; other events are ignored.
    #[state]
    fn settled(&mut self, context: &mut FlowContext, event: &RequestEvent) -> Outcome<State> {
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
    /// Creates the flow of an admitted request.
    pub(crate) fn new(plan: RequestPlan) -> Self {
        Self {
            plan,
            attempts: AttemptTracker::default(),
            run: RunState::NotRun,
            claimed: false,
            retries_after_start: 0,
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

    /// Handles the events that are possible in every state with attempts in flight.
    fn handle_in_flight(
        &mut self,
        context: &mut FlowContext,
        event: &RequestEvent,
    ) -> Outcome<State> {
        match event {
            RequestEvent::AttemptFinished { attempt } if self.attempts.is_active(*attempt) => {
                self.finish(context, *attempt)
            }
            RequestEvent::AttemptFailed {
                attempt,
                failure,
                delivered,
            } if self.attempts.is_active(*attempt) => {
                self.handle_failure(context, *attempt, *failure, *delivered)
            }
            RequestEvent::DeadlinePassed => self.fail(context, FailureReason::DeadlinePassed),
            RequestEvent::CallerDisconnected => self.abandon(context),
            _ => Handled,
        }
    }

    /// Requests a routing decision.
    fn route(&mut self, context: &mut FlowContext) {
        self.routing = true;
        context.push(RequestAction::Route {
            excluded: self.attempts.excluded().clone(),
            version: self.version.clone(),
        });
    }

    /// Acts on a routing decision.
    fn follow_route(
        &mut self,
        context: &mut FlowContext,
        generation: ConfigGeneration,
        outcome: &RouteOutcome,
    ) -> Outcome<State> {
        if !std::mem::take(&mut self.routing) {
            return Handled;
        }
        let hedging = std::mem::take(&mut self.hedging);
        if hedging && !self.attempts.any_active() {
            // The first attempt failed while its hedge was being routed.
            self.route(context);
            return Handled;
        }
        match outcome {
            RouteOutcome::Dispatch(target) => {
                self.dispatch(context, target.clone(), generation, false)
            }
            _ if hedging => Handled,
            RouteOutcome::Cascade(plan) => {
                self.cascade = Some(plan.clone());
                self.dispatch(context, plan.first.clone(), generation, true)
            }
            RouteOutcome::Queue(pool) => {
                context.push(RequestAction::Wait(pool.clone()));
                Handled
            }
            RouteOutcome::Refuse(reason) => self.fail(context, FailureReason::Refused(*reason)),
        }
    }

    /// Sends an attempt. A non-idempotent request is never sent twice.
    fn dispatch(
        &mut self,
        context: &mut FlowContext,
        target: RouteTarget,
        generation: ConfigGeneration,
        withheld: bool,
    ) -> Outcome<State> {
        let repeatable = self.plan.idempotent || !self.plan.guards.single_dispatch;
        if !repeatable && !self.attempts.is_empty() {
            return self.fail(context, FailureReason::Refused(RefusalReason::NoServer));
        }
        let attempt = self.attempts.add(&target);
        context.push(RequestAction::Dispatch {
            attempt,
            target,
            generation,
            withheld,
        });
        if let (0, Some(delay)) = (attempt, self.plan.hedge_after) {
            context.push(RequestAction::StartHedgeTimer(delay));
        }
        Handled
    }

    /// Routes an attempt again that was not sent because the configuration changed.
    fn reroute(&mut self, context: &mut FlowContext, attempt: AttemptNumber) -> Outcome<State> {
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
            return self.fail(context, reason);
        }
        self.route(context);
        Handled
    }

    /// Routes a second attempt of an idempotent request because the first has not answered.
    fn hedge(&mut self, context: &mut FlowContext) -> Outcome<State> {
        let wanted = self.plan.idempotent && self.attempts.any_active();
        if wanted
            && !self.hedging
            && self.attempts.next_number() < MAX_ATTEMPTS
            && self.plan.budget.try_take()
        {
            self.hedging = true;
            self.routing = true;
            let first = self.cascade.as_ref().map(|plan| &plan.first.version);
            context.push(RequestAction::Route {
                excluded: self.attempts.excluded().clone(),
                version: first.or(self.version.as_ref()).cloned(),
            });
        }
        Handled
    }

    /// Handles a whole answer: has it rated if a cascade is under way, delivers it otherwise.
    fn finish(&mut self, context: &mut FlowContext, attempt: AttemptNumber) -> Outcome<State> {
        self.run = RunState::Run;
        self.cancel_others(context, attempt);
        self.attempts.close(attempt);
        if self.cascade.is_some() {
            self.fallback = Some(attempt);
            context.push(RequestAction::Rate(attempt));
            return Transition(State::escalating());
        }
        self.answer(context, attempt)
    }

    /// Ends the request with the whole answer of an attempt.
    fn answer(&mut self, context: &mut FlowContext, attempt: AttemptNumber) -> Outcome<State> {
        if !self.billed {
            self.billed = true;
            context.push(RequestAction::Bill(attempt));
        }
        if self.claimed {
            context.push(RequestAction::CloseClaim(ClaimEnd::Answered(attempt)));
        }
        context.push(RequestAction::Deliver(attempt));
        Transition(State::settled())
    }

    /// Decides whether to retry, resume or fail after an attempt failed.
    fn handle_failure(
        &mut self,
        context: &mut FlowContext,
        attempt: AttemptNumber,
        failure: AttemptFailure,
        delivered: u64,
    ) -> Outcome<State> {
        self.attempts.close(attempt);
        let start = classify_failure(failure);
        let run = if self.plan.guards.truthful_refusal {
            RunState::from(start)
        } else {
            RunState::NotRun
        };
        self.run = self.run.max(run);
        if !self.plan.guards.whole_answer && failure == AttemptFailure::Truncated {
            return self.answer(context, attempt);
        }
        if self.attempts.any_active() {
            return Handled;
        }
        if delivered > 0 {
            return self.resume(context, attempt, failure, delivered);
        }
        if self.routing {
            // The outstanding routing decision of a hedge replaces the failed attempt.
            return Handled;
        }
        if self.may_retry(start, failure, context.now) {
            self.retries_after_start += u32::from(start != StartState::NotStarted);
            self.route(context);
            return Transition(State::dispatched());
        }
        if let Some(first) = self.fallback {
            return self.answer(context, first);
        }
        self.fail(context, FailureReason::Attempt(failure))
    }

    /// Returns whether another attempt may follow a failed one.
    fn may_retry(&self, start: StartState, failure: AttemptFailure, now: TimePoint) -> bool {
        let repeatable = self.plan.idempotent || !self.plan.guards.single_dispatch;
        let retries_left =
            start == StartState::NotStarted || self.retries_after_start < MAX_RETRIES_AFTER_START;
        repeatable
            && retries_left
            && !failure.is_final()
            && self.attempts.next_number() < MAX_ATTEMPTS
            && now < self.plan.deadline
            && self.plan.budget.try_take()
    }

    /// Resumes a partly delivered stream on the server that began it.
    fn resume(
        &mut self,
        context: &mut FlowContext,
        attempt: AttemptNumber,
        failure: AttemptFailure,
        delivered: u64,
    ) -> Outcome<State> {
        let target = self.attempts.target(attempt).cloned();
        let resumable = self.plan.idempotent
            && self.resumes < MAX_RESUMES
            && failure == AttemptFailure::Truncated
            && context.now < self.plan.deadline
            && self.plan.budget.try_take();
        match target {
            Some(target) if resumable => {
                self.resumes += 1;
                let attempt = self.attempts.add(&target);
                context.push(RequestAction::Resume {
                    attempt,
                    target,
                    resume_from: delivered,
                });
                Handled
            }
            _ => self.fail(context, FailureReason::Attempt(failure)),
        }
    }

    /// Ends the request: delivers a cascade's first answer if there is one, or else a failure.
    fn fail(&mut self, context: &mut FlowContext, reason: FailureReason) -> Outcome<State> {
        if let Some(first) = self.fallback.take() {
            self.cancel_all(context);
            return self.answer(context, first);
        }
        self.cancel_all(context);
        if self.claimed {
            let end = match self.run {
                RunState::NotRun => ClaimEnd::NotRun,
                RunState::OutcomeUnknown | RunState::Run => ClaimEnd::Unknown,
            };
            context.push(RequestAction::CloseClaim(end));
        }
        let run = self.run;
        context.push(RequestAction::Fail { reason, run });
        Transition(State::settled())
    }

    /// Ends a request whose caller disconnected. A claimed request with an attempt in flight runs
    /// on, so that its outcome is stored.
    fn abandon(&mut self, context: &mut FlowContext) -> Outcome<State> {
        if self.claimed && self.attempts.any_active() {
            return Handled;
        }
        self.cancel_all(context);
        if self.claimed {
            context.push(RequestAction::CloseClaim(ClaimEnd::NotRun));
        }
        Transition(State::settled())
    }

    /// Cancels all attempts but one.
    fn cancel_others(&mut self, context: &mut FlowContext, kept: AttemptNumber) {
        for number in self.attempts.close_others(Some(kept)) {
            context.push(RequestAction::Cancel(number));
        }
    }

    /// Cancels all attempts; a server may have run any of them.
    fn cancel_all(&mut self, context: &mut FlowContext) {
        for number in self.attempts.close_others(None) {
            if self.plan.guards.truthful_refusal {
                self.run = self.run.max(RunState::OutcomeUnknown);
            }
            context.push(RequestAction::Cancel(number));
        }
    }
}
