//! The course of one request: attempts, cascades and the answer to the caller.

use std::sync::Arc;
use std::time::Duration;

use galenamast::state::TimePoint;
use http::Response;
use http::request::Parts;
use log::Level;
use rand::Rng;

use crate::coordination::budgets::RepeatPurpose;
use crate::coordination::cascade::{confidence_bound, wants_larger};
use crate::coordination::placement::{PickQuery, PromptPath, ServerPick, pick_server};
use crate::coordination::requests::{
    AttemptLimits, AttemptOutcome, AttemptTally, FinalAnswer, NextStep, final_answer, next_step,
};
use crate::coordination::rollouts::{VersionRule, version_groups};
use crate::protocol::{DecisionInputs, GatewayRecord, PeerMessage};
use crate::state::{
    AnswerGrade, AttemptHead, CallerHead, EngineModel, RouteImage, RouteKind, ServerEntry,
    ServiceRoute,
};
use crate::transport::answer_body::AnswerBody;
use crate::transport::attempt_runner::{
    AttemptCall, OpenAnswer, WholeAnswer, run_attempt, time_until,
};
use crate::transport::caller_gate::{Admission, HeldBody};
use crate::transport::crash_check::{LostServer, check_crash};
use crate::transport::exchange_end::ExchangeEnd;
use crate::transport::gateway_context::{GatewayContext, stable_hash};
use crate::transport::record_log::log_record;
use crate::transport::stream_relay::StreamRelay;

/// Servers that are asked for one request at most, whether they run it or not.
const MAX_ASKS: u32 = 6;
/// Time before the deadline at which the caller is answered, so that the answer arrives.
const ANSWER_MARGIN: Duration = Duration::from_millis(15);
/// Times the usual time to the first byte after which a server is taken to be silent.
const PATIENCE_RATIO: f64 = 4.0;
/// Part of the goal that a whole answer is waited for before another server is asked.
const WHOLE_GOAL_PART: f64 = 0.6;
/// Part of the goal that a stream's first event is waited for before another server is asked.
const STREAM_GOAL_PART: f64 = 1.0;
/// Shortest time left in which another attempt is of use.
const LEAST_TIME: Duration = Duration::from_millis(30);
/// Urgency that engines take if none is stated; ranks beyond it are cut.
const LEAST_URGENCY: u8 = 9;
/// Width of the size classes of prompts, as a power of two in tokens.
const SIZE_CLASS_SHIFT: u32 = 10;

/// Tokens that a model's price is stated for.
const TOKENS_PER_PRICE: f64 = 1_000.0;
/// Part of a generated token's price that a token costs that is read.
const READ_PART: f64 = 0.25;
/// Bytes of an answer for a token; an event of three tokens takes some fifty bytes.
const BYTES_PER_TOKEN: f64 = 17.0;
/// Bytes of the heads of a request and of its answer.
const FIXED_BYTES: f64 = 700.0;

/// One request.
#[derive(Debug)]
pub(crate) struct RequestExchange {
    pub(crate) context: Arc<GatewayContext>,
    pub(crate) route: Arc<ServiceRoute>,
    pub(crate) request: Arc<str>,
    pub(crate) deadline: TimePoint,
    pub(crate) started_at: TimePoint,
    pub(crate) tally: AttemptTally,
    service: Arc<str>,
    image: Arc<RouteImage>,
    parts: Parts,
    body: HeldBody,
    head: CallerHead,
    workspace: Option<Arc<str>>,
    urgency: u8,
    session: u64,
    fingerprint: u64,
    tried: Vec<Arc<str>>,
    model: Option<Arc<str>>,
    version: Option<Arc<str>>,
    last_failure: Option<WholeAnswer>,
    head_after: Option<Duration>,
    // Time to the first byte that an ordinary server was predicted to take.
    predicted: Duration,
    // Seconds to the first byte that the chosen server was predicted to take.
    wait: f64,
    pub(crate) longest_pause: Duration,
    // A version on trial that failed the request, which goes to the one before.
    spared: Option<Arc<str>>,
}

impl RequestExchange {
    /// Creates the course of an admitted request.
    pub(crate) fn new(
        context: Arc<GatewayContext>,
        admission: Admission,
        parts: Parts,
        body: HeldBody,
        head: CallerHead,
        started_at: TimePoint,
    ) -> Self {
        let Admission {
            image,
            route,
            workspace,
        } = admission;
        let request = head.request.clone().unwrap_or_default();
        let session = match (&head.session, head.parts.last()) {
            (Some(session), _) => stable_hash(&[session.as_bytes()]),
            (None, Some(part)) => stable_hash(&[&part.digest.to_le_bytes()]),
            (None, None) => stable_hash(&[request.as_bytes()]),
        };
        let workspace_name = workspace.as_ref().map(|entry| entry.name.clone());
        let path = parts.uri.path().as_bytes();
        let name = workspace_name.as_deref().unwrap_or_default().as_bytes();
        let fingerprint = stable_hash(&[path, name, &body.bytes]);
        let target = route
            .pick_target(session >> 20)
            .map(|target| target.service.clone());
        let allowed = head
            .time_allowed
            .unwrap_or(route.timeout)
            .min(route.timeout);
        let priority = workspace.and_then(|entry| entry.priority).unwrap_or(0);
        Self {
            deadline: started_at + allowed.saturating_sub(ANSWER_MARGIN),
            service: target.unwrap_or_default(),
            image,
            model: route.models.first().filter(|_| head.any_model).cloned(),
            urgency: route.priority.saturating_add(priority).min(LEAST_URGENCY),
            workspace: workspace_name,
            tally: AttemptTally::default(),
            tried: Vec::new(),
            version: None,
            last_failure: None,
            head_after: None,
            predicted: Duration::ZERO,
            wait: 0.0,
            longest_pause: Duration::ZERO,
            spared: None,
            context,
            route,
            request,
            started_at,
            parts,
            body,
            head,
            session,
            fingerprint,
        }
    }

    /// Runs the request and returns the answer for the caller.
    pub(crate) async fn run(mut self) -> Response<AnswerBody> {
        self.context.note_request(&self.service);
        if self.route.kind == RouteKind::Stream {
            return match self.open_stream(None).await {
                Ok(answer) => self.start_relay(answer),
                Err(end) => self.end(end),
            };
        }
        match self.run_whole().await {
            Ok(answer) => {
                self.log_end(answer.status.as_u16(), "answered", self.tally.asks + 1, 0);
                answer.into_response()
            }
            Err(end) => self.end(end),
        }
    }

    /// Runs a request with a whole answer.
    async fn run_whole(&mut self) -> Result<WholeAnswer, ExchangeEnd> {
        loop {
            let answer = self.open_answer(None).await?;
            let server = answer.server.clone();
            let (status, sent_took) = (answer.status, answer.took);
            let read = answer.read_whole(&self.context, self.deadline).await;
            match read {
                Ok(whole) if !status.is_server_error() => {
                    self.note_good(&server, sent_took);
                    return Ok(whole);
                }
                Ok(whole) => {
                    self.note_failed_answer(&server);
                    self.last_failure = Some(whole);
                    self.after_attempt(&server, AttemptOutcome::Failed, sent_took)
                        .await?;
                }
                Err(outcome) => self.after_attempt(&server, outcome, sent_took).await?,
            }
        }
    }

    /// Opens a streamed answer, with a larger model if the smaller one doubts its answer.
    pub(crate) async fn open_stream(
        &mut self,
        resume_after: Option<u64>,
    ) -> Result<OpenAnswer, ExchangeEnd> {
        loop {
            let answer = self.open_answer(resume_after).await?;
            let (server, took) = (answer.server.clone(), answer.took);
            if answer.status.is_server_error() || answer.status.is_client_error() {
                self.note_failed_answer(&server);
                match answer.read_whole(&self.context, self.deadline).await {
                    Ok(whole) => self.last_failure = Some(whole),
                    Err(outcome) => {
                        self.after_attempt(&server, outcome, took).await?;
                        continue;
                    }
                }
                self.after_attempt(&server, AttemptOutcome::Failed, took)
                    .await?;
                continue;
            }
            self.note_good(&server, took);
            if resume_after.is_none() && self.asks_larger(&answer) {
                self.tally.asks += 1;
                self.tally.runs += 1;
                self.log_attempt(&server, "doubted", took, "larger model");
                self.model = self.route.models.last().cloned();
                continue;
            }
            return Ok(answer);
        }
    }

    /// Returns whether an answer is dropped for a run of the largest model.
    fn asks_larger(&mut self, answer: &OpenAnswer) -> bool {
        let settings = &self.context.settings.cascade;
        let (Some(model), Some(confidence)) = (&self.model, answer.head.confidence) else {
            return false;
        };
        if self.route.models.last() == Some(model) || self.tally.runs + 1 >= self.route.attempts {
            return false;
        }
        let smaller = self
            .model
            .replace(self.route.models[self.route.models.len() - 1].clone());
        let pick = self.find_server();
        self.model = smaller;
        let Some(pick) = pick else {
            return false;
        };
        let goal = self.route.goal.as_secs_f64();
        let excess = self.context.loads().excess(&self.route.name);
        let pressure = ((pick.wait - pick.work).max(0.0) + excess) / goal;
        let bound = confidence_bound(self.head.prompt_tokens, pressure, settings);
        let elapsed = self.context.now().since(self.started_at);
        let ready_in = elapsed.saturating_add(
            Duration::try_from_secs_f64(pick.wait + excess).unwrap_or(Duration::MAX),
        );
        wants_larger(confidence, bound, ready_in, self.route.goal, settings)
            && self
                .context
                .take_repeat(&self.service, RepeatPurpose::Cascade)
    }

    /// Sends attempts until one answers with a head that is the server's.
    async fn open_answer(&mut self, resume_after: Option<u64>) -> Result<OpenAnswer, ExchangeEnd> {
        loop {
            if self
                .context
                .crashes()
                .is_refused(self.fingerprint, self.context.now())
            {
                return Err(ExchangeEnd::Quarantined);
            }
            let left = time_until(&self.context, self.deadline);
            if left < LEAST_TIME {
                let is_unsent = self.tally.runs == 0;
                let end = if is_unsent {
                    FinalAnswer::NotRun
                } else {
                    FinalAnswer::TimedOut
                };
                return Err(ExchangeEnd::Own(end));
            }
            let Some(pick) = self.pick() else {
                return Err(self.out_of_servers());
            };
            let server = pick.server.clone();
            let patience = self.patience(left);
            self.log_choice(&pick);
            self.note_session(&server);
            self.note_read(&server);
            let sent_at = self.context.now();
            let call = AttemptCall {
                parts: &self.parts,
                body: &self.body.bytes,
                request: &self.request,
                needs_fresh: self.route.kind == RouteKind::Unsafe,
                patience,
                work: pick.work,
                head: AttemptHead {
                    server: server.id.clone(),
                    time_left: left,
                    workspace: self.workspace.clone(),
                    model: self.model.clone(),
                    urgency: Some(self.urgency).filter(|_| self.route.kind == RouteKind::Stream),
                    resume_after,
                },
            };
            match run_attempt(&self.context, &server, call).await {
                Ok(answer) => return Ok(answer),
                Err(outcome) => {
                    let took = self.context.now().since(sent_at);
                    self.after_attempt(&server, outcome, took).await?;
                }
            }
        }
    }

    /// Takes in the end of an attempt; returns if another one may follow.
    pub(crate) async fn after_attempt(
        &mut self,
        server: &ServerEntry,
        outcome: AttemptOutcome,
        took: Duration,
    ) -> Result<(), ExchangeEnd> {
        self.tally.note(outcome);
        self.tried.push(server.id.clone());
        self.note_outcome(server, outcome).await;
        let limits = AttemptLimits {
            repeatable: self.route.is_repeatable(),
            runs: self.route.attempts,
            asks: MAX_ASKS,
        };
        let step = match next_step(outcome, &self.tally, &limits) {
            NextStep::Again(Some(purpose)) if !self.context.take_repeat(&self.service, purpose) => {
                NextStep::End(final_answer(outcome, &self.tally))
            }
            step => step,
        };
        let name = match step {
            NextStep::Again(_) => "another server",
            NextStep::End(_) => "answer",
        };
        self.log_attempt(server, &format!("{outcome:?}"), took, name);
        match step {
            NextStep::Again(_) => Ok(()),
            NextStep::End(FinalAnswer::ServerFailure) => Err(match self.last_failure.take() {
                Some(failure) => ExchangeEnd::Failure(failure),
                None => ExchangeEnd::Own(FinalAnswer::Unknown),
            }),
            NextStep::End(end) => Err(ExchangeEnd::Own(end)),
        }
    }

    /// Tells the end when no server is left to ask.
    fn out_of_servers(&mut self) -> ExchangeEnd {
        match self.last_failure.take() {
            Some(failure) => ExchangeEnd::Failure(failure),
            None if self.tally.runs == 0 => ExchangeEnd::Own(FinalAnswer::NotRun),
            None => ExchangeEnd::Own(FinalAnswer::Unknown),
        }
    }

    /// Takes what an attempt's end says of the server into the host's beliefs.
    async fn note_outcome(&self, server: &ServerEntry, outcome: AttemptOutcome) {
        let now = self.context.now();
        match outcome {
            AttemptOutcome::NotSent => self.context.loads().note_refused(&server.id, now),
            AttemptOutcome::WrongServer => self.context.servers().deny(&server.id, now),
            AttemptOutcome::Silent => self.context.loads().note_silence(&server.id, now),
            AttemptOutcome::Rejected | AttemptOutcome::Failed | AttemptOutcome::Garbled => {
                self.context.loads().note_failure(&server.id, now);
            }
            AttemptOutcome::Broken => {
                self.context.loads().note_failure(&server.id, now);
                self.context.crashes().note_break(&server.id, now);
                let lost = LostServer {
                    server,
                    tried: &self.tried,
                    fingerprint: self.fingerprint,
                };
                check_crash(&self.context, lost).await;
            }
        }
    }

    /// Notes which version serves the session, here and, where it matters, at other hosts.
    fn note_session(&self, server: &ServerEntry) {
        let (service, version, now) = (&self.service, &server.version, self.context.now());
        let is_held = self
            .context
            .rollouts()
            .note_session(service, self.session, version, now);
        if is_held {
            self.context
                .tell_peers(PeerMessage::HeldSessions(vec![self.session]));
        }
    }

    /// Takes a good answer into the host's beliefs.
    fn note_good(&self, server: &ServerEntry, took: Duration) {
        let (class, size) = self.class();
        let now = self.context.now();
        {
            let mut loads = self.context.loads();
            loads.note_first(&server.id, &class, size, self.head.prompt_tokens, took);
            loads.note_success(&server.id, now);
            loads.note_prediction(&self.route.name, self.wait, took);
        }
        let version = &server.version;
        let grade = self
            .context
            .rollouts()
            .grade(&self.service, version, took, self.predicted);
        self.note_trial(server, grade);
    }

    /// Takes a server's failure into the judgement of its version.
    fn note_failed_answer(&mut self, server: &ServerEntry) {
        self.note_trial(server, AnswerGrade::Failed);
        let on_trial = self.context.rollouts().on_trial(&self.service);
        self.spared = on_trial
            .filter(|version| *version == server.version)
            .or(self.spared.take());
    }

    /// Takes an answer into the judgement of its version.
    fn note_trial(&self, server: &ServerEntry, grade: AnswerGrade) {
        let named = (&server.id, &server.version);
        let mut rollouts = self.context.rollouts();
        let was_stopped = rollouts.is_stopped(&self.service);
        let note = rollouts.note_answer(&self.service, &self.route.name, named, grade);
        if let Some(note) = note {
            self.context.tell_peers(PeerMessage::Trial(note));
        }
        if rollouts.is_stopped(&self.service) && !was_stopped {
            let record = GatewayRecord::RolloutChanged {
                service: self.service.clone(),
                target: server.version.clone(),
                state: "stopped by this host".into(),
                share: 0,
                evidence: rollouts.evidence(&self.service),
            };
            log_record(Level::Warn, &record);
            self.context.rollout_news.notify_one();
        }
    }

    /// Picks a server that was not tried and whose version may serve the session.
    fn pick(&mut self) -> Option<ServerPick> {
        let pick = self.find_server()?;
        self.version = Some(pick.server.version.clone());
        self.predicted = Duration::from_secs_f64(pick.ordinary);
        self.wait = pick.wait;
        Some(pick)
    }

    /// Finds the server that would begin soonest among those whose version may serve the session.
    fn find_server(&self) -> Option<ServerPick> {
        let now = self.context.now();
        let unix_ms = self.context.timers.unix_millis();
        let rule = match &self.spared {
            Some(version) => VersionRule::Spare(version.clone()),
            None => self
                .context
                .rollouts()
                .rule(&self.service, self.session, now, unix_ms),
        };
        let servers = self.context.servers();
        let serving = servers.serving(&self.service, now);
        let prompt = self.prompt_path();
        let kept = prompt
            .as_ref()
            .map(|path| self.context.kept().kept_tokens(path, now));
        let answer_bytes = f64::from(self.head.answer_tokens) * BYTES_PER_TOKEN;
        let query = PickQuery {
            work: self.work(),
            domain: &self.context.settings.domain,
            prompt: prompt.as_ref(),
            prompt_tokens: self.head.prompt_tokens,
            kept: kept.unwrap_or_default(),
            read_price: self.read_price(),
            bytes: self.body.bytes.len() as f64 + answer_bytes + FIXED_BYTES,
            excluded: &self.tried,
            point: rand::rng().random(),
        };
        let mut loads = self.context.loads();
        loads.drop_stale(now);
        let settings = &self.context.settings.picks;
        version_groups(&serving, &rule, self.version.as_ref())
            .into_iter()
            .find_map(|group| pick_server(&group, &query, &loads, settings, now))
    }

    /// Returns the model that the request names or that was chosen for it.
    fn named_model(&self) -> &str {
        let model = self.model.as_deref().or(self.head.model.as_deref());
        model.unwrap_or_default()
    }

    /// Returns the prompt as the model reads it; `None` on plain services.
    fn prompt_path(&self) -> Option<PromptPath> {
        let has_parts = !self.head.parts.is_empty();
        has_parts.then(|| PromptPath::new(self.named_model(), &self.head.parts))
    }

    /// Returns the price of a token that the model reads.
    fn read_price(&self) -> f64 {
        let service = self.image.services.get(&self.service);
        let model = service.and_then(|service| {
            let named = |model: &&EngineModel| *model.name == *self.named_model();
            service.models.iter().find(named)
        });
        model.map_or(0.0, |model| model.cost / TOKENS_PER_PRICE * READ_PART)
    }

    /// Notes what an engine reads.
    fn note_read(&self, server: &ServerEntry) {
        if let Some(path) = self.prompt_path() {
            let now = self.context.now();
            self.context.kept().note_read(&path, &server.id, now);
        }
    }

    /// Returns how long the head of an answer is waited for.
    fn patience(&self, left: Duration) -> Duration {
        if !self.route.is_repeatable() || self.tally.runs + 1 >= self.route.attempts {
            return left;
        }
        let (class, size) = self.class();
        let usual = self
            .context
            .loads()
            .expected_first(&class, size)
            .unwrap_or_default();
        let part = match self.route.kind {
            RouteKind::Stream => STREAM_GOAL_PART,
            RouteKind::Safe | RouteKind::Unsafe => WHOLE_GOAL_PART,
        };
        usual
            .mul_f64(PATIENCE_RATIO)
            .max(self.route.goal.mul_f64(part))
            .min(left)
    }

    /// Returns the work of the request, in seconds of an ordinary server.
    fn work(&self) -> f64 {
        let (class, _) = self.class();
        self.context.loads().work(&class, self.head.prompt_tokens)
    }

    /// Returns the class of requests that this one's times are compared with.
    fn class(&self) -> (Arc<str>, u8) {
        let size = 32 - (self.head.prompt_tokens >> SIZE_CLASS_SHIFT).leading_zeros();
        let class = self.model.as_ref().unwrap_or(&self.route.name).clone();
        (class, u8::try_from(size).unwrap_or(u8::MAX))
    }

    /// Starts to pass the events of an answer on.
    fn start_relay(mut self, answer: OpenAnswer) -> Response<AnswerBody> {
        self.head_after = Some(self.context.now().since(self.started_at));
        let (status, headers) = (answer.status, answer.headers.clone());
        let resume_after = self.head.resume_after;
        let body = StreamRelay::new(self, answer, resume_after).into_body();
        let mut response = Response::new(body);
        *response.status_mut() = status;
        *response.headers_mut() = headers;
        response
    }

    /// Answers the caller when no server's answer is delivered.
    fn end(&self, end: ExchangeEnd) -> Response<AnswerBody> {
        let (response, outcome) = end.into_answer(&self.tally);
        self.log_end(response.status().as_u16(), outcome, self.tally.asks, 0);
        response
    }

    /// Logs a choice.
    fn log_choice(&self, pick: &ServerPick) {
        self.context.metrics.count("attempts_total");
        let now = self.context.now();
        let load = self.context.loads().load(&pick.server.id);
        let age = self.context.servers().age(now).unwrap_or_default();
        let record = GatewayRecord::AttemptChosen {
            request: self.request.clone(),
            route: self.route.name.clone(),
            session: format!("{:016x}", self.session),
            attempt: self.tally.asks + 1,
            server: pick.server.id.clone(),
            version: pick.server.version.clone(),
            model: self.model.clone(),
            inputs: DecisionInputs {
                configuration: self.image.version,
                servers_age_ms: millis(age),
                prompt_tokens: self.head.prompt_tokens,
                candidates: pick.candidates,
                in_flight: load.in_flight,
                predicted_ms: (pick.wait * 1_000.0) as u64,
            },
        };
        log_record(Level::Info, &record);
    }

    /// Logs the end of an attempt.
    fn log_attempt(&self, server: &ServerEntry, outcome: &str, took: Duration, next: &'static str) {
        self.context
            .metrics
            .count(&format!("attempts_{}_total", outcome.to_lowercase()));
        let record = GatewayRecord::AttemptEnded {
            request: self.request.clone(),
            attempt: self.tally.asks,
            server: server.id.clone(),
            outcome: outcome.into(),
            elapsed_ms: millis(took),
            next,
        };
        log_record(Level::Info, &record);
    }

    /// Logs the end of the request.
    pub(crate) fn log_end(&self, status: u16, outcome: &str, attempts: u32, events: u64) {
        let elapsed = self.context.now().since(self.started_at);
        self.context
            .metrics
            .count(&format!("requests_{status}_total"));
        self.context.metrics.record("request", elapsed);
        let record = GatewayRecord::RequestEnded {
            request: self.request.clone(),
            route: Some(self.route.name.clone()),
            status,
            outcome: outcome.into(),
            elapsed_ms: millis(elapsed),
            head_ms: self.head_after.map(millis),
            pause_ms: millis(self.longest_pause),
            attempts,
            events,
        };
        log_record(Level::Info, &record);
    }
}

/// Returns a duration in whole milliseconds.
fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
