//! Makes attempts at servers until one has a response to deliver. Those that are late go on beside the next
//! ones, as these may fail.

use std::sync::Arc;
use std::time::Duration;

use galenamast::state::TimePoint;

use crate::coordination::requests::{
    AttemptOutcome, ExchangeState, ExchangeStep, FinalAnswer, NextServers, exchange_step,
};
use crate::state::{CrashSuspect, ServerEntry};
use crate::transport::attempt_runner::{AttemptEnd, SettledResponse, StreamHead};
use crate::transport::event_intake::EventIntake;
use crate::transport::exchange_failure::ExchangeFailure;
use crate::transport::gateway_context::GatewayContext;
use crate::transport::request_exchange::RequestExchange;
use crate::transport::request_exchange::attempt_plan::{LeftServer, PlannedStep};
use crate::transport::request_exchange::live_attempts::{
    AttemptEvent, HANDOVER_TIME, LiveAttempt, LiveAttempts,
};

/// An attempt that ended without a response and is not logged yet, since the next step is not known.
#[derive(Debug)]
pub(super) struct EndedAttempt {
    server: ServerEntry,
    number: u32,
    outcome: AttemptOutcome,
    latency: Duration,
}

/// What attempts yielded.
pub(super) enum ExchangeOutcome {
    /// A response to deliver.
    Settled(SettledResponse),
    /// A stream whose model reports too little confidence, and the larger model that is to run the request.
    Doubted(Box<LiveAttempt>, StreamHead, Arc<str>),
}

impl RequestExchange {
    /// Makes attempts until one yields a response to deliver. It continues the stream of `resumed`, if there
    /// is one.
    pub(super) async fn settle(
        &mut self,
        resumed: Option<&EventIntake>,
    ) -> Result<ExchangeOutcome, ExchangeFailure> {
        let mut live = LiveAttempts::default();
        loop {
            match self.plan(&live) {
                PlannedStep::Send {
                    pick,
                    model,
                    is_return,
                } => {
                    self.model = model;
                    self.start_attempt(&pick, is_return, resumed, &mut live);
                    continue;
                }
                PlannedStep::Wait => {}
                PlannedStep::End(end) => return Err(end),
            }
            let hold_time = self.is_generated().then_some(HANDOVER_TIME);
            let context = self.context.clone();
            let begun_at = live.begun_at().unwrap_or(self.started_at);
            let event = tokio::select! {
                biased;
                () = wait_until_refused(&context, &self.suspect, begun_at) => None,
                event = live.next_event(&context, hold_time) => Some(event),
                () = context.timers.sleep_until(self.deadline) => None,
            };
            match event {
                Some(AttemptEvent::Late) => {
                    // Descriptors may have become free.
                    self.latest = self.latest.filter(|end| *end != AttemptOutcome::NotTried);
                }
                Some(AttemptEvent::StreamHead(index, head)) => {
                    let larger = match (resumed, head.confidence) {
                        (None, Some(percent)) => self.choose_larger_model(percent, live.count()),
                        _ => None,
                    };
                    if let Some(larger) = larger {
                        let attempt = Box::new(live.take(index));
                        self.supersede(&mut live);
                        return Ok(ExchangeOutcome::Doubted(attempt, head, larger));
                    }
                    // The engine has begun, so the ones that were asked in its place are not needed.
                    let replacing = live.take_after(index);
                    replacing.iter().for_each(|attempt| self.leave(attempt));
                }
                Some(AttemptEvent::HandedOver(attempt)) => self.leave(&attempt),
                Some(AttemptEvent::Ended(attempt, end)) => {
                    if let Some(response) = self.end_live(attempt, *end, &mut live).await {
                        return Ok(ExchangeOutcome::Settled(response));
                    }
                    if self.is_withdrawn(&live) {
                        return Err(self.give_up(&mut live, AttemptOutcome::Withdrawn).await);
                    }
                }
                None => {
                    let outcome = match self.is_withdrawn(&live) {
                        true => AttemptOutcome::Withdrawn,
                        false => AttemptOutcome::Silent,
                    };
                    return Err(self.give_up(&mut live, outcome).await);
                }
            }
        }
    }

    /// Leaves the server of a replaced attempt, since another one has the request. It may be asked again if
    /// that one fails.
    fn leave(&mut self, attempt: &LiveAttempt) {
        let latency = self.context.now().since(attempt.started_at);
        let (server, number) = (&attempt.server, attempt.number);
        let outcome = AttemptOutcome::Left;
        self.note_end(attempt.is_return, server, outcome);
        self.note_left(server, Duration::ZERO);
        self.context.metrics.increment("servers_left_total");
        self.log_attempt(server, number, outcome, latency, "wait", None);
    }

    /// Records that a server was left whose response is kept for at most `kept_for`.
    pub(crate) fn note_left(&mut self, server: &ServerEntry, kept_for: Duration) {
        self.left.push(LeftServer {
            server: server.id.clone(),
            model: self.model.clone(),
            free_at: self.context.now() + kept_for,
            is_doubted: false,
        });
    }

    /// Takes back that a server was left, since its response goes on.
    pub(crate) fn keep_left(&mut self, server: &ServerEntry) {
        self.left.retain(|left| left.server != server.id);
        self.tried.retain(|tried| *tried != server.id);
        self.tally.take_back();
    }

    /// Handles the end of an attempt. Returns its response if that can be delivered.
    async fn end_live(
        &mut self,
        attempt: LiveAttempt,
        end: AttemptEnd,
        live: &mut LiveAttempts,
    ) -> Option<SettledResponse> {
        let latency = self.context.now().since(attempt.started_at);
        // A retry that was not sent is left for the next attempt.
        self.has_grant |= attempt.has_grant && attempt.sent_at().is_none();
        let failure = match end {
            Ok(response) => {
                if attempt.is_replaced {
                    self.context
                        .metrics
                        .increment("replaced_attempts_answered_total");
                }
                self.supersede(live);
                self.model = attempt.model;
                self.latest = None;
                return Some(response);
            }
            Err(failure) => failure,
        };
        if failure.outcome == AttemptOutcome::Failed {
            self.record_failed_response(&attempt.server);
        }
        if let Some(response) = failure.response {
            self.keep_failure(response);
        }
        if self.is_generated() {
            // What follows from the failure may take longer than two engines may work on the request.
            let replaced = live.take_replaced();
            replaced.iter().for_each(|attempt| self.leave(attempt));
        }
        let (server, number) = (&attempt.server, attempt.number);
        let outcome = failure.outcome;
        self.note_end(attempt.is_return, server, outcome);
        self.record_outcome(server, outcome).await;
        self.log_ended("wait", None);
        self.ended = Some(EndedAttempt {
            server: server.clone(),
            number,
            outcome,
            latency,
        });
        self.is_attempting = !live.is_empty();
        None
    }

    /// Ends all other attempts, since one is answered.
    fn supersede(&mut self, others: &mut LiveAttempts) {
        for other in others.take_all() {
            let outcome = other.given_up(AttemptOutcome::Superseded);
            let latency = self.context.now().since(other.started_at);
            self.note_end(other.is_return, &other.server, outcome);
            let (server, number) = (&other.server, other.number);
            self.log_attempt(server, number, outcome, latency, "answer", None);
        }
    }

    /// Records the end of a response that is being read. It is logged with the next step.
    pub(crate) async fn end_response(
        &mut self,
        server: &ServerEntry,
        number: u32,
        outcome: AttemptOutcome,
        latency: Duration,
    ) {
        self.note_end(false, server, outcome);
        self.record_outcome(server, outcome).await;
        self.ended = Some(EndedAttempt {
            server: server.clone(),
            number,
            outcome,
            latency,
        });
    }

    /// Counts an attempt that ended; `is_return` states whether its server was counted before.
    fn note_end(&mut self, is_return: bool, server: &ServerEntry, outcome: AttemptOutcome) {
        match is_return {
            true => self.tally.note_again(outcome),
            false => self.tally.note(outcome),
        }
        self.latest = Some(outcome);
        self.doubts_connections |= outcome.doubts_connections();
        self.tried.push(server.id.clone());
        if outcome == AttemptOutcome::Rejected {
            self.rejected_by.push(server.id.clone());
        }
    }

    /// Logs the latest attempt that ended, if it is not logged yet.
    pub(crate) fn log_ended(&mut self, next: &'static str, denied: Option<&'static str>) {
        if let Some(ended) = self.ended.take() {
            let (server, outcome) = (&ended.server, ended.outcome);
            self.log_attempt(server, ended.number, outcome, ended.latency, next, denied);
        }
    }

    /// Gives up all attempts, and returns the outcome for the caller.
    async fn give_up(
        &mut self,
        live: &mut LiveAttempts,
        outcome: AttemptOutcome,
    ) -> ExchangeFailure {
        for attempt in live.take_all() {
            let latency = self.context.now().since(attempt.started_at);
            let (server, outcome) = (&attempt.server, attempt.given_up(outcome));
            self.note_end(attempt.is_return, server, outcome);
            // That a replaced attempt was late is known.
            if !attempt.is_replaced {
                self.record_outcome(server, outcome).await;
            }
            self.log_attempt(server, attempt.number, outcome, latency, "answer", None);
        }
        self.is_attempting = false;
        let state = ExchangeState {
            has_time: false,
            ..self.state(0, 0)
        };
        let servers = NextServers {
            untried: false,
            left: false,
            in_budget: false,
        };
        let end = match exchange_step(&state, servers) {
            ExchangeStep::End(end) => end,
            _ => FinalAnswer::Unknown,
        };
        match outcome {
            AttemptOutcome::Withdrawn if end == FinalAnswer::TimedOut => {
                ExchangeFailure::HostResponse(FinalAnswer::Unknown)
            }
            _ => self.failure(end),
        }
    }

    /// Returns whether the prompt of the attempts in progress must run nowhere any more.
    fn is_withdrawn(&self, live: &LiveAttempts) -> bool {
        let now = self.context.now();
        let begun_at = live.begun_at();
        let crashes = self.context.crashes();
        begun_at.is_some_and(|begun_at| {
            crashes.is_refused_since(&self.suspect, begun_at)
                || crashes.is_request_refused(&self.suspect, now)
        })
    }
}

/// Waits until a part of a prompt that was sent at `sent_at` is refused.
async fn wait_until_refused(context: &GatewayContext, suspect: &CrashSuspect, sent_at: TimePoint) {
    let mut refusals = context.parts_refused.subscribe();
    while !context.crashes().is_refused_since(suspect, sent_at) {
        if refusals.changed().await.is_err() {
            // The sender lives as long as the context.
            return std::future::pending().await;
        }
    }
}
