//! Log records and metrics of a request.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use log::Level;

use crate::coordination::admission::ServiceForecast;
use crate::coordination::permits::SendDenial;
use crate::coordination::placement::ServerPick;
use crate::coordination::requests::AttemptOutcome;
use crate::protocol::{DecisionInputs, GatewayRecord};
use crate::state::{FollowedKind, ServerEntry};
use crate::transport::record_log::log_record;
use crate::transport::request_exchange::RequestExchange;

/// Whether a smaller model's response is dropped for a larger model's, with the inputs.
#[derive(Clone, Debug)]
pub(super) struct CascadeDecision {
    pub(super) model: Arc<str>,
    pub(super) confidence: f64,
    pub(super) bound: f64,
    pub(super) larger: Arc<str>,
    pub(super) ready_in: Duration,
    // Seconds by which responses of the route recently started later than predicted.
    pub(super) excess: f64,
    pub(super) asks_larger: bool,
}

impl RequestExchange {
    /// Logs the decision about a smaller model's response.
    pub(super) fn log_cascade_decision(&self, decision: &CascadeDecision) {
        let record = GatewayRecord::ModelJudged {
            request: self.request.clone(),
            model: decision.model.clone(),
            confidence: decision.confidence,
            bound: decision.bound.round(),
            larger: decision.larger.clone(),
            ready_ms: millis(decision.ready_in),
            excess_ms: (decision.excess * 1_000.0) as u64,
            asks_larger: decision.asks_larger,
        };
        log_record(Level::Info, &record);
    }

    /// Logs a request that is rejected because no server would begin it before its deadline.
    pub(super) fn log_rejection(&self, forecast: &ServiceForecast, time_left: Duration) {
        self.context.metrics.increment("requests_rejected_total");
        let record = GatewayRecord::RequestRejected {
            request: self.request.clone(),
            route: self.route.name.clone(),
            starts_in_ms: (forecast.starts_in * 1_000.0) as u64,
            error_ms: (forecast.error * 1_000.0) as u64,
            left_ms: millis(time_left),
            retry_ms: millis(self.retry_after()),
        };
        log_record(Level::Info, &record);
    }

    /// Logs the servers that the host may not send the request to, if there are any.
    pub(super) fn log_denials(&self) {
        let denials = self.denials();
        if denials.is_empty() {
            return;
        }
        self.context.metrics.increment("sends_denied_total");
        let count = |is_counted: fn(&SendDenial) -> bool| {
            denials.iter().filter(|denial| is_counted(denial)).count()
        };
        if count(|denial| matches!(denial, SendDenial::Cold { .. })) > 0 {
            self.context.metrics.increment("sends_held_cold_total");
        }
        let record = GatewayRecord::SendsDenied {
            request: self.request.clone(),
            route: self.route.name.clone(),
            leaving: count(|denial| matches!(denial, SendDenial::Leaving)),
            paused: count(|denial| matches!(denial, SendDenial::Paused { .. })),
            share_used: count(|denial| matches!(denial, SendDenial::ShareUsed { .. })),
            no_share: count(|denial| matches!(denial, SendDenial::NoShare)),
            full: count(|denial| matches!(denial, SendDenial::Full { .. })),
            evacuated: count(|denial| matches!(denial, SendDenial::Evacuated)),
            cold: count(|denial| matches!(denial, SendDenial::Cold { .. })),
        };
        log_record(Level::Info, &record);
    }

    /// Logs the server chosen for an attempt and what the choice rests on.
    pub(super) fn log_choice(&self, pick: &ServerPick) {
        self.context.metrics.increment("attempts_total");
        let now = self.context.now();
        let load = self.context.loads().load(&pick.server.id);
        let age = self.context.freshness().age(FollowedKind::Servers, now);
        let server_limit = self.context.permits().limit(&pick.server.id);
        let record = GatewayRecord::AttemptChosen {
            request: self.request.clone(),
            route: self.route.name.clone(),
            session: format!("{:016x}", self.session),
            attempt: self.number,
            server: pick.server.id.clone(),
            version: pick.server.version.clone(),
            model: self.model.clone(),
            inputs: DecisionInputs {
                configuration: self.snapshot.version,
                servers_age_ms: millis(age.unwrap_or_default()),
                prompt_tokens: self.head.prompt_tokens,
                candidates: pick.candidates,
                server_limit,
                in_flight: load.in_flight,
                kept_tokens: pick.kept_tokens,
                predicted_ms: (pick.wait * 1_000.0) as u64,
            },
        };
        log_record(Level::Info, &record);
    }

    /// Logs the end of an attempt and what happens `next`.
    pub(super) fn log_attempt(
        &self,
        server: &ServerEntry,
        number: u32,
        outcome: AttemptOutcome,
        latency: Duration,
        next: &'static str,
        denied: Option<&'static str>,
    ) {
        let outcome = format!("{outcome:?}");
        self.context
            .metrics
            .increment(&format!("attempts_{}_total", outcome.to_lowercase()));
        let record = GatewayRecord::AttemptEnded {
            request: self.request.clone(),
            attempt: number,
            server: server.id.clone(),
            outcome,
            elapsed_ms: millis(latency),
            next,
            denied,
        };
        log_record(Level::Info, &record);
    }

    /// Logs the end of the request.
    pub(crate) fn log_end(&self, status: u16, outcome: &str, attempts: u32, events: u64) {
        self.has_ended.store(true, Ordering::Relaxed);
        let elapsed = self.context.now().since(self.started_at);
        self.context
            .metrics
            .increment(&format!("requests_{status}_total"));
        self.context.metrics.record_latency("request", elapsed);
        let record = GatewayRecord::RequestEnded {
            request: self.request.clone(),
            route: Some(self.route.name.clone()),
            status,
            outcome: outcome.into(),
            elapsed_ms: millis(elapsed),
            head_ms: self.head_latency.map(millis),
            pause_ms: millis(self.longest_gap),
            attempts,
            events,
        };
        log_record(Level::Info, &record);
    }

    /// Returns what is in progress.
    fn stage(&self) -> &'static str {
        match (self.head_latency, self.is_attempting) {
            (Some(_), _) => "events",
            (None, true) => "attempt",
            (None, false) => "server",
        }
    }
}

impl Drop for RequestExchange {
    /// Logs a request whose connection was closed before its end.
    fn drop(&mut self) {
        if *self.has_ended.get_mut() {
            return;
        }
        let now = self.context.now();
        let stage = self.stage();
        let cause = self.context.abandon_cause();
        self.context
            .metrics
            .increment(&format!("requests_abandoned_{cause}_{stage}_total"));
        let record = GatewayRecord::RequestAbandoned {
            request: self.request.clone(),
            route: Some(self.route.name.clone()),
            cause,
            stage,
            elapsed_ms: millis(now.since(self.started_at)),
            left_ms: millis(self.deadline.since(now)),
            attempts: self.tally.tries,
            events: self.attempt_events,
        };
        log_record(Level::Info, &record);
    }
}

/// Returns a duration in whole milliseconds, rounded down.
fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
