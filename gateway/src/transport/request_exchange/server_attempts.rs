//! Makes attempts at servers until one responds. One that is only late goes on beside the next one, as that
//! may fail.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::Notify;

use crate::coordination::requests::{AttemptOutcome, FinalAnswer};
use crate::state::{AttemptHead, RouteKind, ServerEntry};
use crate::transport::attempt_runner::{
    AttemptRequest, FailedAttempt, OpenResponse, PendingAttempt, remaining_time, run_attempt,
    wait_until_refused,
};
use crate::transport::exchange_failure::ExchangeFailure;
use crate::transport::gateway_context::GatewayContext;
use crate::transport::request_exchange::{MIN_ATTEMPT_TIME, RequestExchange};
use crate::transport::send_permit::SendPermit;

/// Longest time for which an engine works on a request that was sent to another one in its place. Both may
/// not run it for long.
pub(crate) const HANDOVER_TIME: Duration = Duration::from_millis(200);

/// How an attempt beside a replaced one ended.
enum RaceEnd {
    /// The replaced attempt was answered first.
    Replaced(Box<OpenResponse>),
    /// The attempt ended.
    Attempt {
        ended: Box<Result<OpenResponse, FailedAttempt>>,
        // The replaced attempt, if that failed meanwhile.
        failed: Option<(ServerEntry, AttemptOutcome)>,
    },
}

/// Waits for an attempt and for the replaced one that is `held`, which is dropped `hold_time` after the
/// request was `sent` to the other server.
async fn race(
    context: &Arc<GatewayContext>,
    attempt: impl Future<Output = Result<OpenResponse, FailedAttempt>>,
    held: &mut Option<PendingAttempt>,
    sent: &Notify,
    hold_time: Duration,
) -> RaceEnd {
    let mut attempt = pin!(attempt);
    let mut failed = None;
    if let Some(pending) = held {
        let handed_over = async {
            sent.notified().await;
            context.timers.sleep(hold_time).await;
        };
        let received = tokio::select! {
            biased;
            ended = &mut attempt => {
                let ended = Box::new(ended);
                return RaceEnd::Attempt { ended, failed };
            }
            received = pending.receive() => Some(received),
            () = handed_over => None,
        };
        if let (Some(replaced), Some(received)) = (held.take(), received) {
            let server = replaced.server.clone();
            match replaced.accept(context, received) {
                Ok(response) => return RaceEnd::Replaced(Box::new(response)),
                Err(outcome) => failed = Some((server, outcome)),
            }
        }
    }
    let ended = Box::new(attempt.await);
    RaceEnd::Attempt { ended, failed }
}

impl RequestExchange {
    /// Makes attempts until one yields a response with a valid head.
    pub(super) async fn open_response(
        &mut self,
        resume_after: Option<u64>,
    ) -> Result<OpenResponse, ExchangeFailure> {
        let mut held = None;
        loop {
            match self.make_attempt(resume_after, &mut held).await {
                Ok(Some(response)) => return Ok(response),
                Ok(None) => {}
                Err(end) => return self.await_replaced(held, end).await,
            }
        }
    }

    /// Makes one attempt beside the replaced one that is `held`. Returns a response, `None` if another
    /// attempt may follow, and an error with the final outcome otherwise.
    async fn make_attempt(
        &mut self,
        resume_after: Option<u64>,
        held: &mut Option<PendingAttempt>,
    ) -> Result<Option<OpenResponse>, ExchangeFailure> {
        let now = self.context.now();
        if let Some(refusal) = self.context.crashes().refusal(&self.suspect, now) {
            *held = None;
            return Err(ExchangeFailure::Quarantined(refusal));
        }
        if self.tally.runs == 0 && self.has_no_path() && self.has_peers() {
            return Err(ExchangeFailure::NoPath);
        }
        let remaining = remaining_time(&self.context, self.deadline);
        if remaining < MIN_ATTEMPT_TIME {
            let never_ran = self.tally.runs == 0;
            let end = if never_ran {
                FinalAnswer::NotRun
            } else {
                FinalAnswer::TimedOut
            };
            return Err(ExchangeFailure::HostResponse(end));
        }
        let Some(pick) = self.pick() else {
            return Err(self.no_server_left());
        };
        if self.is_overloaded(&pick, remaining) {
            return Err(ExchangeFailure::Overloaded);
        }
        let Ok(permit) = SendPermit::take(&self.context, &pick.server) else {
            // The choice and the permit must agree; if they ever do not, the next choice leaves the
            // server out, so that the attempts end.
            self.context.metrics.increment("permits_denied_total");
            self.tried.push(pick.server.id.clone());
            return Ok(None);
        };
        let server = pick.server.clone();
        let head_timeout = self.head_timeout(&server.id, remaining);
        self.log_choice(&pick);
        self.record_session(&server);
        self.record_read(&server);
        let sent_at = self.context.now();
        self.attempt_events = 0;
        self.is_attempting = true;
        let sent = Notify::new();
        let call = AttemptRequest {
            parts: &self.parts,
            body: &self.body.bytes,
            request: &self.request,
            needs_new_connection: self.needs_new_connection(&server.id),
            permit,
            suspect: &self.suspect,
            head_timeout,
            work: pick.work,
            time_left: remaining,
            expected_first_byte: self.expected_first_byte(),
            take_replacement: &|| self.take_replacement(&server.id),
            sent: &sent,
            head: AttemptHead {
                server: server.id.clone(),
                time_left: remaining,
                workspace: self.workspace.clone(),
                model: self.model.clone(),
                urgency: Some(self.urgency).filter(|_| self.route.kind == RouteKind::Stream),
                resume_after,
            },
        };
        let attempt = run_attempt(&self.context, &server, call);
        let hold_time = self.hold_time(remaining);
        let raced = race(&self.context, attempt, held, &sent, hold_time).await;
        let latency = self.context.now().since(sent_at);
        let (ended, failed) = match raced {
            RaceEnd::Replaced(response) => {
                self.supersede(&server, latency);
                return Ok(Some(*response));
            }
            RaceEnd::Attempt { ended, failed } => (ended, failed),
        };
        if let Some((server, outcome)) = failed {
            self.record_outcome(&server, outcome).await;
        }
        let failure = match *ended {
            Ok(response) => return Ok(Some(response)),
            Err(failure) => failure,
        };
        match failure.outcome {
            // Its prompt must run nowhere any more.
            AttemptOutcome::Withdrawn => *held = None,
            _ => *held = failure.pending.or(held.take()),
        }
        self.finish_attempt(&server, failure.outcome, latency)
            .await?;
        Ok(None)
    }

    /// Returns for how long a replaced attempt goes on beside the next one.
    fn hold_time(&self, remaining: Duration) -> Duration {
        let is_generated = self.route.kind == RouteKind::Stream || self.head.prompt_tokens > 0;
        match is_generated {
            true => HANDOVER_TIME,
            false => remaining,
        }
    }

    /// Ends the attempt at a server, since the one that it was to replace is answered.
    fn supersede(&mut self, server: &ServerEntry, latency: Duration) {
        let outcome = AttemptOutcome::Superseded;
        self.tally.note(outcome);
        self.tried.push(server.id.clone());
        self.log_attempt(server, &format!("{outcome:?}"), latency, "answer", None);
        self.tally.resume_replaced();
    }

    /// Waits for a replaced attempt when no other one is made; `end` is the outcome without it.
    async fn await_replaced(
        &mut self,
        held: Option<PendingAttempt>,
        end: ExchangeFailure,
    ) -> Result<OpenResponse, ExchangeFailure> {
        let is_answered = matches!(end, ExchangeFailure::ServerResponse(_));
        // A request that crashed servers must not go on at another one.
        let refusal = self
            .context
            .crashes()
            .refusal(&self.suspect, self.context.now());
        let may_go_on = !is_answered && refusal.is_none();
        let Some(mut pending) = held.filter(|_| may_go_on) else {
            return Err(end);
        };
        let remaining = remaining_time(&self.context, self.deadline);
        let sent_at = pending.sent_at;
        self.is_attempting = true;
        let received = tokio::select! {
            received = tokio::time::timeout(remaining, pending.receive()) => {
                received.map_err(|_| FinalAnswer::TimedOut)
            }
            () = wait_until_refused(&self.context, &self.suspect, sent_at) => {
                Err(FinalAnswer::Unknown)
            }
        };
        self.is_attempting = false;
        let received = received.map_err(ExchangeFailure::HostResponse)?;
        let server = pending.server.clone();
        match pending.accept(&self.context, received) {
            Ok(response) => {
                self.is_attempting = true;
                self.tally.resume_replaced();
                self.context
                    .metrics
                    .increment("replaced_attempts_answered_total");
                Ok(response)
            }
            Err(outcome) => {
                self.record_outcome(&server, outcome).await;
                Err(end)
            }
        }
    }
}
