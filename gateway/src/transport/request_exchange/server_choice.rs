//! Chooses the server and the model that run a request.

use std::sync::Arc;
use std::time::Duration;

use galenamast::state::TimePoint;
use rand::Rng;

use crate::coordination::admission::{
    AdmissionVerdict, ServiceForecast, decide_admission, retry_pause,
};
use crate::coordination::budgets::RetryPurpose;
use crate::coordination::cascade::{bound_under_load, larger_model, should_escalate};
use crate::coordination::permits::SendDenial;
use crate::coordination::placement::{
    LoadEstimator, PickQuery, PromptPrefixes, ServerPick, pick_server,
};
use crate::coordination::rollouts::{VersionRule, version_groups};
use crate::state::{EngineModel, RouteKind, ServerEntry};
use crate::transport::attempt_runner::remaining_time;
use crate::transport::request_exchange::RequestExchange;
use crate::transport::request_exchange::request_log::CascadeDecision;

/// `Retry-After` when there is no server to send the request to, in seconds.
const NO_SERVER_RETRY_SECONDS: f64 = 0.6;
/// Shortest `Retry-After` when servers refused the request, in seconds.
const BUSY_RETRY_SECONDS: f64 = 0.5;
/// Multiple of the expected time to the first byte after which another server is tried.
const HEAD_TIMEOUT_FACTOR: f64 = 4.0;
/// Fraction of the route's goal for which the response to a plain request is awaited at least
/// before another server is tried.
const COMPLETE_GOAL_FRACTION: f64 = 0.6;
/// Fraction of the route's goal for which the head of a stream is awaited at least before another
/// server is tried.
const STREAM_GOAL_FRACTION: f64 = 1.0;
/// Prompts fall into size classes by powers of two; the lowest class holds those below
/// 2^`SIZE_CLASS_SHIFT` tokens.
const SIZE_CLASS_SHIFT: u32 = 10;
/// Number of tokens that a model's price covers.
const TOKENS_PER_PRICE: f64 = 1_000.0;
/// Price of a prompt token as a fraction of the price of a generated token.
const READ_PRICE_FRACTION: f64 = 0.25;
/// Bytes of a response per token; an event of three tokens takes about fifty bytes.
const BYTES_PER_TOKEN: f64 = 17.0;
/// Bytes of the headers of a request and of its response together.
const HEADER_OVERHEAD_BYTES: f64 = 700.0;

impl RequestExchange {
    /// Returns the larger model that is to replace a smaller model's response, which reports `confidence` in
    /// percent; `None` if the response is kept. Takes the retry from the budget, and logs the decision.
    pub(super) fn choose_larger_model(
        &mut self,
        confidence: f64,
        in_progress: u32,
    ) -> Option<Arc<str>> {
        let settings = &self.context.settings.cascade;
        let model = self.model.clone()?;
        if self.keeps_model || self.tally.runs + in_progress >= self.attempts {
            return None;
        }
        let step = larger_model(&self.route.models, &model, confidence, settings)?;
        self.model = Some(step.model.clone());
        let pick = self.find_server(&self.tried);
        self.model = Some(model.clone());
        let pick = pick?;
        let goal = self.route.goal.as_secs_f64();
        let excess = self.context.loads().excess(&self.route.name);
        let pressure = ((pick.wait - pick.work).max(0.0) + excess) / goal;
        let bound = bound_under_load(step.bound, pressure);
        let elapsed = self.context.now().since(self.started_at);
        let starts_in = Duration::try_from_secs_f64(pick.wait + excess).unwrap_or(Duration::MAX);
        let ready_in = elapsed.saturating_add(starts_in);
        let asks_larger = should_escalate(confidence, bound, ready_in, self.route.goal, settings)
            && self
                .context
                .take_retry(&self.service, RetryPurpose::Cascade);
        self.log_cascade_decision(&CascadeDecision {
            model,
            confidence,
            bound,
            larger: step.model.clone(),
            ready_in,
            excess,
            asks_larger,
        });
        asks_larger.then_some(step.model)
    }

    /// Remembers what was predicted for the server that the request is sent to.
    pub(super) fn record_pick(&mut self, pick: &ServerPick) {
        self.version = Some(pick.server.version.clone());
        self.typical_first_byte =
            Duration::try_from_secs_f64(pick.typical_wait).unwrap_or(Duration::MAX);
        self.predicted_wait = pick.wait;
    }

    /// Returns whether no server is predicted to begin the request before its deadline. Only a
    /// request that has not been offered to a server is rejected for that.
    pub(super) fn is_overloaded(&self, pick: &ServerPick) -> bool {
        if self.tally.tries > 0 {
            return false;
        }
        let time_left = remaining_time(&self.context, self.deadline);
        let (excess, error) = {
            let loads = self.context.loads();
            let route = &self.route.name;
            (loads.excess(route), loads.prediction_error(route))
        };
        let forecast = ServiceForecast {
            starts_in: pick.earliest_start + excess,
            error,
            has_free_slot: pick.has_free_slot,
        };
        let settings = &self.context.settings.admission;
        let is_overloaded =
            decide_admission(&forecast, time_left, settings) == AdmissionVerdict::Reject;
        if is_overloaded {
            self.log_rejection(&forecast, time_left);
        }
        is_overloaded
    }

    /// Returns how long the caller of a request that did not run should pause.
    pub(super) fn retry_after(&self) -> Duration {
        let time_left = remaining_time(&self.context, self.deadline);
        let starts_in = match self.earliest_start {
            Some(seconds) => seconds.max(BUSY_RETRY_SECONDS),
            None => self.permitted_in().unwrap_or(NO_SERVER_RETRY_SECONDS),
        };
        retry_pause(starts_in, time_left, &self.context.settings.admission)
    }

    /// Returns the seconds until the host may send to a server again; `None` if it is not known.
    fn permitted_in(&self) -> Option<f64> {
        let now = self.context.now();
        let untils = self
            .denials()
            .into_iter()
            .filter_map(|denial| match denial {
                SendDenial::Paused { until }
                | SendDenial::ShareUsed { until }
                | SendDenial::Full { until }
                | SendDenial::Cold { until } => Some(until),
                SendDenial::Leaving | SendDenial::NoShare | SendDenial::Evacuated => None,
            });
        let earliest = untils.min()?;
        Some(earliest.since(now).as_secs_f64().max(BUSY_RETRY_SECONDS))
    }

    /// Finds the server that `pick_server` prefers among those that are not excluded and whose version may
    /// serve the session.
    pub(super) fn find_server(&self, excluded: &[Arc<str>]) -> Option<ServerPick> {
        let now = self.context.now();
        let unix_ms = self.context.timers.unix_millis();
        let rule = match &self.avoided_version {
            Some(version) => VersionRule::Avoid(version.clone()),
            None => self
                .context
                .rollouts()
                .rule(&self.service, self.session, now, unix_ms),
        };
        let servers = self.context.servers();
        let mut serving = servers.serving(&self.service, now);
        serving.retain(|entry| !self.context.permits().is_leaving(&entry.id));
        // Like a server that leaves, one that is evacuated is no reason to keep to its version.
        {
            let evacuations = self.context.evacuations();
            serving.retain(|entry| !evacuations.is_evacuated(&entry.domain, now));
        }
        let prompt = self.prompt_prefixes();
        let kept = prompt
            .as_ref()
            .map(|prompt| self.context.prefix_cache().kept_tokens(prompt, now));
        let answer_bytes = f64::from(self.head.answer_tokens) * BYTES_PER_TOKEN;
        let known_hosts = self.context.peers().len();
        let mut query = PickQuery {
            work: self.work(),
            domain: &self.context.settings.domain,
            prompt: prompt.as_ref(),
            prompt_tokens: self.head.prompt_tokens,
            kept: kept.unwrap_or_default(),
            read_price: self.read_price(),
            bytes: self.body.bytes.len() as f64 + answer_bytes + HEADER_OVERHEAD_BYTES,
            assumes_equal_load: false,
            excluded,
            tie_breaker: rand::rng().random(),
        };
        let mut loads = self.context.loads();
        loads.drop_stale(now);
        query.assumes_equal_load = loads.reporting_hosts(now) * 2 < known_hosts;
        let settings = &self.context.settings.placement;
        // A pause or a limit is no reason to turn to another version.
        let is_untried = |entry: &&ServerEntry| !excluded.contains(&entry.id);
        let group = version_groups(&serving, &rule, self.version.as_ref())
            .into_iter()
            .find(|group| group.iter().any(is_untried))?;
        let untried: Vec<&ServerEntry> = group.iter().copied().filter(is_untried).collect();
        let permitted: Vec<&ServerEntry> = {
            let mut permits = self.context.permits();
            let is_permitted = |entry: &&ServerEntry| {
                let has_room = || {
                    let in_flight = loads.in_flight(&entry.id, now);
                    permits.room_denial(entry, in_flight, now).is_none()
                };
                has_room() && permits.denial(entry, now).is_none()
            };
            group.into_iter().filter(is_permitted).collect()
        };
        if permitted.iter().any(is_untried) {
            return pick_server(&permitted, &query, &loads, settings, now);
        }
        let unused = self.unused_servers(&untried, &loads, now);
        let pick = pick_server(&unused, &query, &loads, settings, now)?;
        self.context.permits().cold().grant(&pick.server, now);
        Some(pick)
    }

    /// Returns the servers that the host may try without a share of what they tolerate, because no
    /// server of `untried` is known to be in use or to be cold.
    fn unused_servers<'a>(
        &self,
        untried: &[&'a ServerEntry],
        loads: &LoadEstimator,
        now: TimePoint,
    ) -> Vec<&'a ServerEntry> {
        let mut permits = self.context.permits();
        let is_unused = |entry: &&ServerEntry| {
            let in_flight = loads.in_flight(&entry.id, now);
            permits.cold().is_unused(entry, in_flight, now)
        };
        if !untried.iter().all(is_unused) {
            return Vec::new();
        }
        let may_try = |entry: &&&ServerEntry| {
            let in_flight = loads.in_flight(&entry.id, now);
            permits.room_denial(entry, in_flight, now).is_none()
                && permits.demand_denial(entry, now).is_none()
                && permits.cold().may_grant(entry, now)
        };
        untried.iter().filter(may_try).copied().collect()
    }

    /// Returns why the host may not send the request to the servers that were not tried, or that are
    /// evacuated.
    pub(super) fn denials(&self) -> Vec<SendDenial> {
        let now = self.context.now();
        let servers = self.context.servers();
        let loads = self.context.loads();
        let mut permits = self.context.permits();
        let serving = servers.serving(&self.service, now);
        let denial = |entry: &ServerEntry| {
            if self.context.is_evacuated(entry) {
                return Some(SendDenial::Evacuated);
            }
            if self.tried.contains(&entry.id) {
                return None;
            }
            let in_flight = loads.in_flight(&entry.id, now);
            let denial = permits.denial(entry, now);
            denial.or_else(|| permits.room_denial(entry, in_flight, now))
        };
        serving.into_iter().filter_map(denial).collect()
    }

    /// Returns the model chosen for the request or else named by it; empty if there is none.
    pub(super) fn named_model(&self) -> &str {
        let model = self.model.as_deref().or(self.head.model.as_deref());
        model.unwrap_or_default()
    }

    /// Returns the prompt prefixes as the model reads them; `None` if the request states none, as
    /// those to plain services do.
    pub(super) fn prompt_prefixes(&self) -> Option<PromptPrefixes> {
        let has_parts = !self.head.parts.is_empty();
        has_parts.then(|| PromptPrefixes::new(self.named_model(), &self.head.parts))
    }

    /// Returns the price of one prompt token; 0 for a model without a configured price.
    pub(super) fn read_price(&self) -> f64 {
        let service = self.snapshot.services.get(&self.service);
        let model = service.and_then(|service| {
            let is_named = |model: &&EngineModel| *model.name == *self.named_model();
            service.models.iter().find(is_named)
        });
        model.map_or(0.0, |model| {
            model.cost / TOKENS_PER_PRICE * READ_PRICE_FRACTION
        })
    }

    /// Returns how long to wait for the head of a server's response before another server is tried.
    pub(super) fn head_timeout(&self, server: &str) -> Duration {
        let (class, size) = self.class();
        let (expected, factor) = {
            let loads = self.context.loads();
            let expected = loads.expected_first_byte(&class, size);
            (expected.unwrap_or_default(), loads.speeds().factor(server))
        };
        let fraction = match self.route.kind {
            RouteKind::Stream => STREAM_GOAL_FRACTION,
            RouteKind::Safe | RouteKind::Unsafe => COMPLETE_GOAL_FRACTION,
        };
        expected
            .mul_f64(HEAD_TIMEOUT_FACTOR * factor.max(1.0))
            .max(self.route.goal.mul_f64(fraction))
    }

    /// Returns the expected time to the first byte at the chosen server with its queue, if it is a
    /// typical one.
    pub(super) fn expected_first_byte(&self) -> Duration {
        let (class, size) = self.class();
        let usual = self.context.loads().expected_first_byte(&class, size);
        let work = Duration::try_from_secs_f64(self.work()).unwrap_or_default();
        let queued = self.typical_first_byte.saturating_add(work);
        usual.unwrap_or_default().max(queued)
    }

    /// Returns the estimated work of the request, in seconds on a typical server.
    pub(super) fn work(&self) -> f64 {
        let (class, _) = self.class();
        self.context.loads().work(&class, self.head.prompt_tokens)
    }

    /// Returns the class of requests whose times this one is compared with: the model or else the
    /// route, and the size class of the prompt.
    pub(super) fn class(&self) -> (Arc<str>, u8) {
        let size = 32 - (self.head.prompt_tokens >> SIZE_CLASS_SHIFT).leading_zeros();
        let class = self.model.as_ref().unwrap_or(&self.route.name).clone();
        (class, u8::try_from(size).unwrap_or(u8::MAX))
    }
}
