//! Lifecycle of one backend server, as observed by an entry host.

use std::time::Duration;

use statig::blocking::{InitializedStateMachine, IntoStateMachineExt};
use statig::prelude::*;

use crate::coordination::host_list::HostState;
use crate::state::{ServerLifecycle, TimePoint};

/// Timeouts of a server's lifecycle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LifecycleSettings {
    /// Time without a load report after which a server is suspected.
    pub suspect_after: Duration,
    /// Time after its failure or last report at which an unlisted server counts as gone.
    ///
    /// It bounds the time from the first sign of leaving to the last new request.
    pub leaving_bound: Duration,
    /// Time after its failure or last report at which a listed server counts as gone.
    pub gone_after: Duration,
}

impl Default for LifecycleSettings {
    fn default() -> Self {
        Self {
            suspect_after: Duration::from_millis(1_500),
            leaving_bound: Duration::from_secs(3),
            gone_after: Duration::from_secs(60),
        }
    }
}

/// Event that concerns one server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LifecycleEvent {
    /// The host list was read and names the server.
    Listed {
        /// Incarnation that the list states.
        incarnation: u64,
        /// State that the list states.
        state: HostState,
    },
    /// The host list was read and does not name the server.
    Unlisted,
    /// A load report arrived.
    Reported {
        /// Incarnation that the report states.
        incarnation: u64,
        /// Whether the server reports that it is leaving.
        draining: bool,
    },
    /// A connection to the server failed.
    ConnectFailed,
    /// Time passed.
    Tick,
}

/// State machine of one server. It does no I/O.
pub struct ServerMachine {
    machine: InitializedStateMachine<LifecycleFlow>,
}

impl std::fmt::Debug for ServerMachine {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "ServerMachine({:?})", self.lifecycle())
    }
}

impl ServerMachine {
    /// Creates the state machine of a server that has sent no report yet.
    pub fn new(incarnation: u64, settings: LifecycleSettings, now: TimePoint) -> Self {
        let flow = LifecycleFlow {
            settings,
            incarnation,
            reported_at: now,
            failed_at: None,
            listed: true,
        };
        let mut context = now;
        let machine = flow
            .uninitialized_state_machine()
            .init_with_context(&mut context);
        Self { machine }
    }

    /// Handles an event and returns the resulting lifecycle state.
    ///
    /// ```
    /// use galenamast::coordination::{LifecycleEvent, LifecycleSettings, ServerMachine};
    /// use galenamast::state::{ServerLifecycle, TimePoint};
    ///
    /// let mut machine = ServerMachine::new(0, LifecycleSettings::default(), TimePoint::ZERO);
    /// let report = LifecycleEvent::Reported { incarnation: 0, draining: false };
    /// assert_eq!(machine.handle(report, TimePoint::ZERO), ServerLifecycle::Live);
    /// ```
    pub fn handle(&mut self, event: LifecycleEvent, now: TimePoint) -> ServerLifecycle {
        let mut context = now;
        self.machine.handle_with_context(&event, &mut context);
        self.lifecycle()
    }

    /// Returns the lifecycle state.
    pub fn lifecycle(&self) -> ServerLifecycle {
        match self.machine.state() {
            State::Probing {} => ServerLifecycle::Probing,
            State::Live {} => ServerLifecycle::Live,
            State::Suspect {} => ServerLifecycle::Suspect,
            State::Draining {} => ServerLifecycle::Draining,
            State::Gone {} => ServerLifecycle::Gone,
        }
    }

    /// Returns the incarnation that the state refers to.
    pub fn incarnation(&self) -> u64 {
        self.machine.inner().incarnation
    }
}

/// Data of a server that outlives a state.
struct LifecycleFlow {
    settings: LifecycleSettings,
    incarnation: u64,
    /// Time of the last load report, or of the start of the incarnation.
    reported_at: TimePoint,
    /// Time when the server became suspect.
    failed_at: Option<TimePoint>,
    /// Whether the last host list names the server.
    listed: bool,
}

#[state_machine(
    initial = "State::probing()",
    state(derive(Debug)),
    visibility = "pub(self)"
)]
impl LifecycleFlow {
    /// The server has sent no report in this incarnation.
    #[state(superstate = "staying")]
    fn probing(&mut self, event: &LifecycleEvent) -> Outcome<State> {
        match event {
            LifecycleEvent::ConnectFailed => Handled,
            _ => Super,
        }
    }

    /// The server takes new requests.
    #[state(superstate = "staying")]
    fn live(&mut self, context: &mut TimePoint, event: &LifecycleEvent) -> Outcome<State> {
        match event {
            LifecycleEvent::ConnectFailed => {
                self.failed_at = Some(*context);
                Transition(State::suspect())
            }
            LifecycleEvent::Tick if self.is_silent(*context) => {
                self.failed_at = Some(*context);
                Transition(State::suspect())
            }
            _ => Super,
        }
    }

    /// A connection to the server failed, or its reports are overdue.
    #[state(superstate = "staying")]
    fn suspect(&mut self, context: &mut TimePoint, event: &LifecycleEvent) -> Outcome<State> {
        match event {
            LifecycleEvent::Tick | LifecycleEvent::ConnectFailed if self.is_lost(*context) => {
                Transition(State::gone())
            }
            LifecycleEvent::ConnectFailed => Handled,
            _ => Super,
        }
    }

    /// Handles the events of a server that is not leaving. The first event that reports it as
    /// leaving moves it to the draining state.
    #[superstate]
    fn staying(&mut self, context: &mut TimePoint, event: &LifecycleEvent) -> Outcome<State> {
        match event {
            LifecycleEvent::Listed { incarnation, state } => {
                self.listed = true;
                if *incarnation > self.incarnation {
                    return self.restart(*incarnation, *context, *state == HostState::Leaving);
                }
                let current = *incarnation == self.incarnation;
                if current && *state == HostState::Leaving {
                    return Transition(State::draining());
                }
                Handled
            }
            LifecycleEvent::Reported {
                incarnation,
                draining,
            } => {
                if *incarnation < self.incarnation {
                    return Handled;
                }
                self.incarnation = *incarnation;
                self.reported_at = *context;
                self.failed_at = None;
                if *draining {
                    return Transition(State::draining());
                }
                Transition(State::live())
            }
            LifecycleEvent::Unlisted => {
                self.listed = false;
                Handled
            }
            LifecycleEvent::ConnectFailed | LifecycleEvent::Tick => Handled,
        }
    }

    /// The server is leaving. Only a newer incarnation makes it available again.
    #[state]
    fn draining(&mut self, context: &mut TimePoint, event: &LifecycleEvent) -> Outcome<State> {
        match event {
            LifecycleEvent::Listed { incarnation, state } if *incarnation > self.incarnation => {
                self.restart(*incarnation, *context, *state == HostState::Leaving)
            }
            LifecycleEvent::Reported {
                incarnation,
                draining,
            } => {
                self.reported_at = *context;
                if *incarnation > self.incarnation {
                    return self.restart(*incarnation, *context, *draining);
                }
                Handled
            }
            LifecycleEvent::Unlisted => {
                self.listed = false;
                Handled
            }
            LifecycleEvent::Listed { .. } => {
                self.listed = true;
                Handled
            }
            LifecycleEvent::ConnectFailed => Transition(State::gone()),
            LifecycleEvent::Tick if self.is_lost(*context) => Transition(State::gone()),
            LifecycleEvent::Tick => Handled,
        }
    }

    /// The server has left. A newer incarnation or, if it failed without leaving, a report of the
    /// same incarnation makes it available again.
    #[state]
    fn gone(&mut self, context: &mut TimePoint, event: &LifecycleEvent) -> Outcome<State> {
        match event {
            LifecycleEvent::Listed { incarnation, state } if *incarnation > self.incarnation => {
                self.listed = true;
                self.restart(*incarnation, *context, *state == HostState::Leaving)
            }
            LifecycleEvent::Reported {
                incarnation,
                draining,
            } if *incarnation > self.incarnation => self.restart(*incarnation, *context, *draining),
            LifecycleEvent::Reported {
                incarnation,
                draining: false,
            } if *incarnation == self.incarnation && self.failed_at.is_some() => {
                self.restart(*incarnation, *context, false)
            }
            _ => Handled,
        }
    }
}

impl LifecycleFlow {
    /// Starts over with an incarnation.
    fn restart(&mut self, incarnation: u64, now: TimePoint, leaving: bool) -> Outcome<State> {
        self.incarnation = incarnation;
        self.reported_at = now;
        self.failed_at = None;
        if leaving {
            return Transition(State::draining());
        }
        Transition(State::probing())
    }

    /// Returns whether load reports are overdue.
    fn is_silent(&self, now: TimePoint) -> bool {
        now.since(self.reported_at) > self.settings.suspect_after
    }

    /// Returns whether the server failed or went silent so long ago that it is given up.
    fn is_lost(&self, now: TimePoint) -> bool {
        let since = self.failed_at.unwrap_or(self.reported_at);
        let bound = if self.listed {
            self.settings.gone_after
        } else {
            self.settings.leaving_bound
        };
        now.since(since) >= bound
    }
}
