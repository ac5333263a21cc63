//! Chooses the next step of a request and the server that it is sent to.
//!
//! Load pattern: servers that fail after a late one was replaced, while retries are limited.

use std::sync::Arc;

use galenamast::state::TimePoint;

use crate::coordination::budgets::RetryPurpose;
use crate::coordination::placement::ServerPick;
use crate::coordination::requests::{
    ExchangeState, ExchangeStep, FinalAnswer, NextServers, exchange_step,
};
use crate::transport::attempt_runner::remaining_time;
use crate::transport::exchange_failure::ExchangeFailure;
use crate::transport::request_exchange::live_attempts::LiveAttempts;
use crate::transport::request_exchange::{MIN_ATTEMPT_TIME, RequestExchange};

/// A server that was left while it could still have responded, so that it may be asked again.
#[derive(Debug)]
pub(super) struct LeftServer {
    /// Identifier of the server.
    pub(super) server: Arc<str>,
    /// Model that it ran the request on.
    pub(super) model: Option<Arc<str>>,
    /// When its earlier response is no longer kept.
    pub(super) free_at: TimePoint,
    /// Whether its answer was dropped for that of a larger model, so that another one counts as a run.
    pub(super) is_doubted: bool,
}

/// The next step of a request, with the server that it is sent to.
pub(super) enum PlannedStep {
    /// Send the request to the server, which had it before if `is_return`.
    Send {
        pick: Box<ServerPick>,
        model: Option<Arc<str>>,
        is_return: bool,
    },
    Wait,
    End(ExchangeFailure),
}

impl RequestExchange {
    /// Returns the next step of the request. Takes a retry from the budget if one is needed.
    pub(super) fn plan(&mut self, live: &LiveAttempts) -> PlannedStep {
        let state = ExchangeState {
            returned: live.returned(),
            has_waited: live.has_waited(self.context.now()),
            ..self.state(live.count(), live.in_time())
        };
        let tried: Vec<_> = self.tried.iter().cloned().chain(live.servers()).collect();
        let (mut step, mut denied) = self.choose(&state, &tried);
        if let PlannedStep::Send { .. } = step {
            let now = self.context.now();
            let refusal = self.context.crashes().refusal(&self.suspect, now);
            if let Some(refusal) = refusal {
                denied = Some("crashes");
                step = match live.is_empty() {
                    true => PlannedStep::End(ExchangeFailure::Quarantined(refusal)),
                    false => PlannedStep::Wait,
                };
            }
        }
        let (next, denied) = match &step {
            PlannedStep::Send { .. } => ("another server", None),
            PlannedStep::Wait => ("wait", denied),
            PlannedStep::End(_) => ("answer", denied),
        };
        self.log_ended(next, denied);
        step
    }

    /// Returns the state of the attempts, some of which are `in_progress` and of these some `in_time`.
    pub(super) fn state(&self, in_progress: u32, in_time: u32) -> ExchangeState {
        ExchangeState {
            tally: self.tally,
            limits: self.limits(),
            in_progress,
            in_time,
            returned: 0,
            has_waited: false,
            latest: self.latest,
            has_failure: self.last_failure.is_some(),
            has_time: remaining_time(&self.context, self.deadline) >= MIN_ATTEMPT_TIME,
        }
    }

    /// Chooses the next step and its server, which is not among those `tried`. Returns also why no other
    /// attempt is made.
    fn choose(
        &mut self,
        state: &ExchangeState,
        tried: &[Arc<str>],
    ) -> (PlannedStep, Option<&'static str>) {
        let mut servers = NextServers {
            untried: true,
            left: true,
            in_budget: true,
        };
        let mut denied = match state.limits.retryable {
            true => "attempts",
            false => "repeat",
        };
        loop {
            let (pick, is_retry) = match exchange_step(state, servers) {
                ExchangeStep::Ask { .. } if state.in_progress == 0 && self.needs_other_host() => {
                    return (PlannedStep::End(ExchangeFailure::NoPath), Some("path"));
                }
                ExchangeStep::Ask { is_retry } => {
                    let pick = self.find_server(tried);
                    (pick.map(|pick| (pick, self.model.clone(), false)), is_retry)
                }
                ExchangeStep::Return => {
                    let pick = self.pick_left(state.in_progress);
                    if pick.is_none() {
                        servers.left = false;
                        continue;
                    }
                    (pick.map(|(pick, model)| (pick, model, true)), true)
                }
                ExchangeStep::Wait => return (PlannedStep::Wait, Some(denied)),
                ExchangeStep::End(end) => {
                    if !servers.untried {
                        self.log_denials();
                    }
                    return (PlannedStep::End(self.failure(end)), Some(denied));
                }
            };
            let Some((pick, model, is_return)) = pick else {
                (servers.untried, denied) = (false, "servers");
                continue;
            };
            self.earliest_start = Some(pick.earliest_start);
            if state.in_progress == 0 && self.is_overloaded(&pick) {
                return (PlannedStep::End(ExchangeFailure::Overloaded), None);
            }
            if is_retry && !self.take_grant() {
                denied = "budget";
                servers.in_budget = false;
                continue;
            }
            let step = PlannedStep::Send {
                pick: Box::new(pick),
                model,
                is_return,
            };
            return (step, None);
        }
    }

    /// Takes a retry from the budget, unless one was taken that no request was sent for.
    pub(super) fn take_grant(&mut self) -> bool {
        self.has_grant = self.has_grant
            || self
                .context
                .take_retry(&self.service, RetryPurpose::Failure);
        self.has_grant
    }

    /// Takes a retry in place of the response of a server that is being read. Returns false if the route,
    /// the retry budget or the state of the other servers does not allow it.
    pub(crate) fn take_replacement(&mut self, server: &Arc<str>) -> bool {
        let mut tried = self.tried.clone();
        tried.push(server.clone());
        let state = self.state(1, 0);
        matches!(self.choose(&state, &tried), (PlannedStep::Send { .. }, _))
    }

    /// Picks a server that was left and whose earlier response is not kept any more, the latest one first.
    fn pick_left(&mut self, in_progress: u32) -> Option<(ServerPick, Option<Arc<str>>)> {
        let now = self.context.now();
        let may_run_more = self.tally.runs + in_progress < self.attempts;
        let may_return =
            |left: &&LeftServer| left.free_at <= now && (may_run_more || !left.is_doubted);
        let left = self.left.iter().rev().filter(may_return);
        let left: Vec<_> = left
            .map(|left| (left.server.clone(), left.model.clone()))
            .collect();
        let model = self.model.clone();
        let mut picked = None;
        for (server, left_model) in left {
            let others: Vec<_> = {
                let servers = self.context.servers();
                let serving = servers.serving(&self.service, now).into_iter();
                let ids = serving.map(|entry| entry.id.clone());
                ids.filter(|id| *id != server).collect()
            };
            self.model.clone_from(&left_model);
            if let Some(pick) = self.find_server(&others) {
                picked = Some((pick, left_model));
                break;
            }
        }
        self.model = model;
        picked
    }

    /// Returns the outcome for the caller if no further attempt is made.
    pub(super) fn failure(&mut self, end: FinalAnswer) -> ExchangeFailure {
        let failure = self.last_failure.take();
        match (end, failure) {
            (FinalAnswer::ServerFailure, Some(failure)) => ExchangeFailure::ServerResponse(failure),
            (end, _) => ExchangeFailure::HostResponse(end),
        }
    }
}
