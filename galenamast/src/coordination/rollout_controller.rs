//! Decides when a roll-out advances or ends. Only the host that holds the roll-out's lease decides.

use statig::blocking::{InitializedStateMachine, IntoStateMachineExt};
use statig::prelude::*;

use crate::coordination::rollout_step::RolloutStep;
use crate::state::{ConfigImage, RolloutName, RolloutPhase, RolloutSpec, TimePoint, VersionStage};

/// State of a roll-out that the controller decides on.
#[derive(Clone, Debug, PartialEq)]
pub struct RolloutView {
    /// The roll-out as configured.
    pub rollout: RolloutSpec,
    /// Stage of the candidate.
    pub candidate_stage: VersionStage,
    /// Stage of the baseline.
    pub baseline_stage: VersionStage,
    /// Whether a newer roll-out, not aborted, replaces this one.
    pub superseded: bool,
    /// Whether a host has braked the candidate.
    pub braked: bool,
    /// Rated answers of the candidate, counted from an arbitrary but fixed point in time.
    pub ratings: u64,
    /// Whether the engines have capacity for the next step.
    pub has_capacity: bool,
}

impl RolloutView {
    /// Creates the view of a roll-out from the configuration, without a brake, ratings or capacity.
    ///
    /// Returns `None` if the roll-out or one of its versions does not exist.
    pub fn of_image(image: &ConfigImage, name: &RolloutName) -> Option<Self> {
        let rollout = image.rollouts.get(name)?;
        let model = image.models.get(&rollout.model)?;
        let superseded = image.rollouts.values().any(|other| {
            other.supersedes.as_ref() == Some(name) && other.phase != RolloutPhase::Aborted
        });
        Some(Self {
            candidate_stage: model.versions.get(&rollout.candidate)?.stage,
            baseline_stage: model.versions.get(&rollout.baseline)?.stage,
            rollout: RolloutSpec::clone(rollout),
            superseded,
            braked: false,
            ratings: 0,
            has_capacity: false,
        })
    }
}

/// Input of a [`RolloutController`].
#[derive(Clone, Debug)]
pub enum RolloutEvent {
    /// The lease is held and the roll-out is in this state.
    Seen(Box<RolloutView>),
    /// The lease is not held.
    LeaseLost,
    /// The requested change was accepted.
    Accepted,
    /// The requested change was refused, or its outcome is unknown.
    Refused,
}

/// State machine that controls one roll-out, without I/O.
pub struct RolloutController {
    machine: InitializedStateMachine<RolloutFlow>,
}

impl std::fmt::Debug for RolloutController {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "RolloutController({:?})", self.machine.state())
    }
}

impl Default for RolloutController {
    fn default() -> Self {
        Self::new()
    }
}

impl RolloutController {
    /// Creates a controller that does not hold the lease.
    pub fn new() -> Self {
        let machine = RolloutFlow { observed: None }.uninitialized_state_machine();
        Self {
            machine: machine.init_with_context(&mut RolloutContext::at(TimePoint::ZERO)),
        }
    }

    /// Handles an event and returns the step to take, if any.
    pub fn handle(&mut self, event: &RolloutEvent, now: TimePoint) -> Option<RolloutStep> {
        let mut context = RolloutContext::at(now);
        self.machine.handle_with_context(event, &mut context);
        context.step
    }
}

/// Time and result of one handled event.
struct RolloutContext {
    now: TimePoint,
    step: Option<RolloutStep>,
}

impl RolloutContext {
    fn at(now: TimePoint) -> Self {
        Self { now, step: None }
    }
}

/// The current step, with the time and the ratings at which this lease holder first saw it.
#[derive(Clone, Copy, Debug)]
struct ObservedStep {
    index: u32,
    phase: RolloutPhase,
    since: TimePoint,
    ratings: u64,
}

/// Data shared by the states of the controller.
struct RolloutFlow {
    observed: Option<ObservedStep>,
}

#[state_machine(
    initial = "State::without_lease()",
    state(derive(Debug)),
    visibility = "pub(crate)"
)]
impl RolloutFlow {
    /// The lease is not held, so this host decides nothing.
    #[state]
    fn without_lease(
        &mut self,
        context: &mut RolloutContext,
        event: &RolloutEvent,
    ) -> Outcome<State> {
        match event {
            RolloutEvent::Seen(view) => {
                self.observed = None;
                self.observe(context, view)
            }
            _ => Handled,
        }
    }

    /// The lease is held and no change is in progress.
    #[state]
    fn watching(&mut self, context: &mut RolloutContext, event: &RolloutEvent) -> Outcome<State> {
        match event {
            RolloutEvent::Seen(view) => self.observe(context, view),
            RolloutEvent::LeaseLost => Transition(State::without_lease()),
            RolloutEvent::Accepted | RolloutEvent::Refused => Handled,
        }
    }

    /// A change was requested and its outcome is awaited.
    #[state]
    fn changing(event: &RolloutEvent) -> Outcome<State> {
        match event {
            RolloutEvent::Accepted | RolloutEvent::Refused => Transition(State::watching()),
            RolloutEvent::LeaseLost => Transition(State::without_lease()),
            RolloutEvent::Seen(_) => Handled,
        }
    }

    /// Decides on a step from the current state.
    fn observe(&mut self, context: &mut RolloutContext, view: &RolloutView) -> Outcome<State> {
        let observed = self.follow_step(view, context.now);
        context.step = choose_step(view, observed, context.now);
        if context.step.is_some() {
            return Transition(State::changing());
        }
        Transition(State::watching())
    }

    /// Records when a step or phase is first seen. A new lease holder starts counting from zero.
    fn follow_step(&mut self, view: &RolloutView, now: TimePoint) -> ObservedStep {
        let RolloutSpec { step, phase, .. } = view.rollout;
        let same = |observed: &ObservedStep| observed.index == step && observed.phase == phase;
        let observed = self.observed.filter(same).unwrap_or(ObservedStep {
            index: step,
            phase,
            since: now,
            ratings: view.ratings,
        });
        self.observed = Some(observed);
        observed
    }
}

/// Chooses the step to take now.
fn choose_step(view: &RolloutView, observed: ObservedStep, now: TimePoint) -> Option<RolloutStep> {
    let rollout = &view.rollout;
    if !matches!(rollout.phase, RolloutPhase::Running | RolloutPhase::Paused) {
        return None;
    }
    if view.braked {
        return Some(RolloutStep::Brake);
    }
    if view.candidate_stage == VersionStage::Withdrawn {
        return Some(RolloutStep::AbortWithdrawn);
    }
    if view.superseded {
        return Some(RolloutStep::AbortSuperseded);
    }
    if rollout.phase == RolloutPhase::Paused {
        return None;
    }
    if view.baseline_stage == VersionStage::Withdrawn {
        return Some(RolloutStep::PauseWithoutBaseline);
    }
    let rated = view.ratings.saturating_sub(observed.ratings);
    let waited = now.since(observed.since) >= rollout.min_step_time;
    if !waited || rated < u64::from(rollout.min_ratings) {
        return None;
    }
    let next = rollout.step + 1;
    if next as usize >= rollout.step_shares.len() {
        return Some(RolloutStep::Complete);
    }
    view.has_capacity.then_some(RolloutStep::Advance(next))
}
