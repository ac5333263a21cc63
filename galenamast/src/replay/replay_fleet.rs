//! Discrete-event simulation of entry hosts and backend servers that replays a trace.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use crate::coordination::{MonitorAction, RatedAnswer};
use crate::replay::baseline_policy::{PolicyName, decide};
use crate::replay::interval_analysis::{ANALYSIS_PERIOD_MS, IntervalAnalysis};
use crate::replay::replay_host::{HostDigest, ReplayHost};
use crate::replay::replay_report::{
    AnswerRecord, BrakeRecord, ReplayLog, ReplayReport, virtual_time,
};
use crate::replay::replay_server::{ReplayServer, ServerJob, StartedJob};
use crate::replay::trace_format::{EventKind, FaultEvent, Trace, TraceAnswer, TraceRequest};
use crate::state::cascade_choice::{RATING_PRICE, RATING_TIME};
use crate::state::{
    CascadePlan, ConfigImage, DomainName, RolloutName, RolloutSpec, RouteOutcome, RouteRequest,
    RouteTarget, ServerName, VersionKey,
};

/// Time between load reports of the servers, in milliseconds.
const REPORT_PERIOD_MS: u64 = 500;
/// Time after which a queued request is retried, in milliseconds.
const QUEUE_RETRY_MS: u64 = 100;

/// Event at a point in virtual time.
#[derive(Clone, Debug)]
enum FleetEvent {
    Trace(usize),
    Retry(u64),
    Finish { server: usize, attempt: u64 },
    CheckCascade(u64),
    Rating { host: usize, answer: RatedAnswer },
    ReadLoads,
    SendDigests,
    Digest { from: usize, digest: Rc<HostDigest> },
    AnalyseRollout,
}

/// A request in progress.
#[derive(Clone, Debug)]
struct OpenRequest<'a> {
    trace: &'a TraceRequest,
    arrived_ms: u64,
    cost: u64,
    pinned: Option<VersionKey>,
    excluded: BTreeSet<ServerName>,
    plan: Option<CascadePlan>,
    escalated: bool,
    target: Option<RouteTarget>,
    server: usize,
    dispatched_ms: u64,
}

/// State of a replay.
struct ReplayFleet<'a> {
    trace: &'a Trace,
    policy: PolicyName,
    image: ConfigImage,
    hosts: Vec<ReplayHost>,
    servers: Vec<ReplayServer>,
    queue: BTreeMap<(u64, u64), FleetEvent>,
    sequence: u64,
    open: BTreeMap<u64, OpenRequest<'a>>,
    sessions: BTreeMap<u64, VersionKey>,
    degraded: BTreeMap<VersionKey, u64>,
    braked: BTreeSet<VersionKey>,
    cut_domains: BTreeSet<DomainName>,
    platform_out_since_ms: Option<u64>,
    analysis: IntervalAnalysis,
    log: ReplayLog,
}

/// Replays a trace with a policy. The same trace and policy always give the same report.
pub fn replay_trace(trace: &Trace, policy: PolicyName) -> ReplayReport {
    let mut fleet = ReplayFleet::new(trace, policy);
    while let Some(((now_ms, _), event)) = fleet.queue.pop_first() {
        fleet.handle(event, now_ms);
    }
    ReplayReport::new(policy.label(), trace, &fleet.log)
}

impl<'a> ReplayFleet<'a> {
    /// Creates the fleet and schedules the events of the trace.
    fn new(trace: &'a Trace, policy: PolicyName) -> Self {
        let header = &trace.header;
        let hosts = header.hosts.iter();
        let servers = header.servers.iter().cloned();
        let mut fleet = Self {
            trace,
            policy,
            image: header.image.clone(),
            hosts: hosts
                .map(|host| ReplayHost::new(host, header.servers.len()))
                .collect(),
            servers: servers.map(ReplayServer::new).collect(),
            queue: BTreeMap::new(),
            sequence: 0,
            open: BTreeMap::new(),
            sessions: BTreeMap::new(),
            degraded: BTreeMap::new(),
            braked: BTreeSet::new(),
            cut_domains: BTreeSet::new(),
            platform_out_since_ms: None,
            analysis: IntervalAnalysis::default(),
            log: ReplayLog::default(),
        };
        fleet.schedule(0, FleetEvent::ReadLoads);
        if policy.uses_planner() {
            fleet.schedule(header.digest_period_ms, FleetEvent::SendDigests);
        }
        fleet.schedule(ANALYSIS_PERIOD_MS, FleetEvent::AnalyseRollout);
        for (index, event) in trace.events.iter().enumerate() {
            fleet.schedule(event.at_ms, FleetEvent::Trace(index));
        }
        fleet
    }

    /// Schedules an event. Events at the same time happen in the order in which they were
    /// scheduled.
    fn schedule(&mut self, at_ms: u64, event: FleetEvent) {
        self.sequence += 1;
        self.queue.insert((at_ms, self.sequence), event);
    }

    /// Schedules the next occurrence of a periodic event, unless that is after the end of the
    /// trace.
    fn repeat(&mut self, at_ms: u64, event: FleetEvent) {
        if at_ms <= self.trace.header.duration_ms {
            self.schedule(at_ms, event);
        }
    }

    fn handle(&mut self, event: FleetEvent, now_ms: u64) {
        match event {
            FleetEvent::Trace(index) => self.handle_trace(index, now_ms),
            FleetEvent::Retry(id) => self.dispatch(id, now_ms),
            FleetEvent::Finish { server, attempt } => self.finish(server, attempt, now_ms),
            FleetEvent::CheckCascade(id) => self.check_cascade(id, now_ms),
            FleetEvent::Rating { host, answer } => self.record_answer(host, &answer, now_ms),
            FleetEvent::ReadLoads => self.read_loads(now_ms),
            FleetEvent::SendDigests => self.send_digests(now_ms),
            FleetEvent::Digest { from, digest } => self.receive_digest(from, &digest, now_ms),
            FleetEvent::AnalyseRollout => self.analyse_rollout(now_ms),
        }
    }

    /// Handles an event of the trace.
    fn handle_trace(&mut self, index: usize, now_ms: u64) {
        let trace = self.trace;
        match &trace.events[index].kind {
            EventKind::Request(request) => {
                let session = request.session;
                let pinned = session.and_then(|session| self.sessions.get(&session).cloned());
                let open = OpenRequest {
                    trace: request,
                    arrived_ms: now_ms,
                    cost: 0,
                    pinned,
                    excluded: BTreeSet::new(),
                    plan: None,
                    escalated: false,
                    target: None,
                    server: 0,
                    dispatched_ms: now_ms,
                };
                self.open.insert(request.id, open);
                self.dispatch(request.id, now_ms);
            }
            EventKind::RolloutStep { rollout, step } => self.set_step(rollout, *step),
            EventKind::Fault(fault) => self.apply_fault(fault, now_ms),
        }
    }

    /// Moves a roll-out to a step, unless the platform is unavailable.
    fn set_step(&mut self, name: &RolloutName, step: u32) {
        let Some(rollout) = self.image.rollouts.get(name) else {
            return;
        };
        if self.platform_out_since_ms.is_some() {
            return;
        }
        let stepped = RolloutSpec {
            step,
            ..RolloutSpec::clone(rollout)
        };
        self.image.rollouts.insert(name.clone(), Arc::new(stepped));
    }

    fn apply_fault(&mut self, fault: &FaultEvent, now_ms: u64) {
        match fault {
            FaultEvent::VersionTurns { version } => {
                self.degraded.insert(version.clone(), now_ms);
            }
            FaultEvent::ServerSlow { server, factor } => {
                if let Some(index) = self.server_index(server) {
                    self.servers[index].factor = *factor;
                }
            }
            FaultEvent::ServerDown { server } => self.crash(server, now_ms),
            FaultEvent::ServerUp { server } => {
                if let Some(index) = self.server_index(server) {
                    self.servers[index].up = true;
                }
            }
            FaultEvent::PlatformOut => self.platform_out_since_ms = Some(now_ms),
            FaultEvent::PlatformBack => self.platform_out_since_ms = None,
            FaultEvent::DomainCut { domain } => {
                self.cut_domains.insert(domain.clone());
            }
            FaultEvent::DomainHealed { domain } => {
                self.cut_domains.remove(domain);
            }
        }
    }

    /// Finds the index of a server by name.
    fn server_index(&self, name: &ServerName) -> Option<usize> {
        self.servers
            .iter()
            .position(|server| server.spec.name == *name)
    }

    /// Crashes a server. Its idempotent requests are retried elsewhere if no server failed for them
    /// before; all others end without an answer.
    fn crash(&mut self, name: &ServerName, now_ms: u64) {
        let Some(index) = self.server_index(name) else {
            return;
        };
        for id in self.servers[index].crash() {
            let Some(open) = self.open.get_mut(&id) else {
                continue;
            };
            self.hosts[open.trace.host].in_flight[index].decrement();
            let is_first_failure = open.excluded.is_empty();
            open.excluded.insert(name.clone());
            if open.trace.idempotent && is_first_failure {
                self.dispatch(id, now_ms);
            } else {
                self.refuse(id);
            }
        }
    }

    /// Ends a request without an answer.
    fn refuse(&mut self, id: u64) {
        self.open.remove(&id);
        self.log.refused += 1;
    }

    /// Routes a request and sends it, queues it or refuses it.
    fn dispatch(&mut self, id: u64, now_ms: u64) {
        let Some(open) = self.open.get(&id) else {
            return;
        };
        let host = open.trace.host;
        let age_ms = self.platform_out_since_ms.map_or(0, |since| now_ms - since);
        self.hosts[host].set_config_age(age_ms);
        let request = route_request(open, now_ms);
        if request.time_left.is_zero() {
            return self.refuse(id);
        }
        self.sequence += 1;
        let seed = self.trace.header.seed.wrapping_mul(1_000_003) ^ (self.sequence << 1);
        let tables = &self.hosts[host].tables;
        let now = virtual_time(now_ms);
        let rotation = id as usize;
        let decision = decide(
            self.policy,
            &request,
            &self.image,
            tables,
            now,
            seed,
            rotation,
        );
        match decision.outcome {
            RouteOutcome::Dispatch(target) => self.send(id, target, None, now_ms),
            RouteOutcome::Cascade(plan) => {
                self.log.cascades.0 += 1;
                self.send(id, plan.first.clone(), Some(plan), now_ms);
            }
            RouteOutcome::Queue(_) => {
                self.schedule(now_ms + QUEUE_RETRY_MS, FleetEvent::Retry(id));
            }
            RouteOutcome::Refuse(_) => self.refuse(id),
        }
    }

    /// Sends a request to a server.
    fn send(&mut self, id: u64, target: RouteTarget, plan: Option<CascadePlan>, now_ms: u64) {
        let Some(index) = self.server_index(&target.server) else {
            return self.refuse(id);
        };
        let Some(open) = self.open.get_mut(&id) else {
            return;
        };
        if !self.servers[index].up {
            // The server refuses the connection. The request did not run and is retried elsewhere.
            open.excluded.insert(target.server);
            return self.schedule(now_ms + 1, FleetEvent::Retry(id));
        }
        if self.degraded.contains_key(&target.version) {
            self.log.exposures.push(now_ms);
        }
        let Some(answer) = open.trace.answers.get(&target.version.to_string()) else {
            return self.refuse(id);
        };
        let spec = self.image.version(&target.version);
        let input = u64::from(open.trace.prompt_tokens);
        let output = u64::from(open.trace.output_tokens);
        open.cost += spec.map_or(0, |spec| spec.price_of(input, output));
        if let (Some(session), None, false) = (open.trace.session, &plan, open.escalated) {
            self.sessions.insert(session, target.version.clone());
        }
        open.target = Some(target);
        open.plan = plan;
        open.server = index;
        open.dispatched_ms = now_ms;
        self.hosts[open.trace.host].in_flight[index].increment();
        let job = ServerJob {
            attempt: id,
            service_ms: answer.service_ms,
        };
        let started = self.servers[index].accept(job, now_ms);
        self.schedule_finish(index, started);
    }

    /// Schedules the end of a job, if one was started.
    fn schedule_finish(&mut self, server: usize, started: Option<StartedJob>) {
        if let Some(StartedJob { attempt, ends_ms }) = started {
            self.schedule(ends_ms, FleetEvent::Finish { server, attempt });
        }
    }

    /// Ends an attempt, and completes its request unless it is a cascade to be checked.
    fn finish(&mut self, server: usize, id: u64, now_ms: u64) {
        if !self.servers[server].runs(id) {
            return;
        }
        let started = self.servers[server].finish(id, now_ms);
        self.schedule_finish(server, started);
        let Some(open) = self.open.get(&id) else {
            return;
        };
        let host = open.trace.host;
        self.hosts[host].in_flight[server].decrement();
        let Some((target, answer)) = current_answer(open) else {
            return;
        };
        let latency_ms = now_ms - open.dispatched_ms;
        let relative = latency_ms as f64 / answer.service_ms.max(1) as f64;
        self.hosts[host].observe_server(server, relative * 1_000.0);
        let rated = RatedAnswer {
            version: target.version.clone(),
            task: open.trace.task.clone(),
            prompt_tokens: open.trace.prompt_tokens,
            ..Default::default()
        };
        let ended = RatedAnswer {
            failed: Some(false),
            latency: Some(Duration::from_millis(latency_ms)),
            ..rated.clone()
        };
        let rating = RatedAnswer {
            rating: Some(answer.rating),
            ..rated
        };
        let (lag_ms, escalated, checked) =
            (answer.rating_lag_ms, open.escalated, open.plan.is_some());
        self.record_answer(host, &ended, now_ms);
        let check_ms = now_ms + RATING_TIME.as_millis() as u64;
        if checked {
            self.schedule(
                check_ms,
                FleetEvent::Rating {
                    host,
                    answer: rating,
                },
            );
            return self.schedule(check_ms, FleetEvent::CheckCascade(id));
        }
        // Escalated requests are harder than average, so their ratings would bias the estimates.
        if let (Some(lag_ms), false) = (lag_ms, escalated) {
            self.schedule(
                now_ms + lag_ms,
                FleetEvent::Rating {
                    host,
                    answer: rating,
                },
            );
        }
        self.complete(id, now_ms);
    }

    /// Completes a cascade with its first answer if its rating is accepted, or escalates it.
    fn check_cascade(&mut self, id: u64, now_ms: u64) {
        let Some(open) = self.open.get_mut(&id) else {
            return;
        };
        open.cost += RATING_PRICE;
        let rating = current_answer(open).map_or(0.0, |(_, answer)| answer.rating);
        let Some(plan) = open.plan.take() else {
            return;
        };
        if rating >= plan.accept_rating {
            return self.complete(id, now_ms);
        }
        self.log.cascades.1 += 1;
        open.escalated = true;
        open.pinned = Some(plan.escalation);
        self.dispatch(id, now_ms);
    }

    /// Logs the answer that the caller receives, and ends the request.
    fn complete(&mut self, id: u64, now_ms: u64) {
        let Some(open) = self.open.remove(&id) else {
            return;
        };
        let Some((target, answer)) = current_answer(&open) else {
            return;
        };
        self.log.answers.push(AnswerRecord {
            at_ms: open.arrived_ms,
            workspace: open.trace.workspace.clone(),
            task: open.trace.task.clone(),
            version: target.version.clone(),
            quality: answer.quality,
            cost: open.cost,
            latency_ms: now_ms - open.arrived_ms,
        });
    }

    /// Records what is known about an answer, on the host that received it.
    fn record_answer(&mut self, host: usize, answer: &RatedAnswer, now_ms: u64) {
        if self.policy == PolicyName::FixedInterval
            && let Some(rating) = answer.rating
            && let Some(rollout) = self.image.rollouts.values().next()
        {
            if answer.version.version == rollout.candidate {
                self.analysis.candidate.add(rating);
            } else if answer.version.version == rollout.baseline {
                self.analysis.baseline.add(rating);
            }
        }
        let image = &self.image;
        let with_tests = self.policy == PolicyName::Galenamast;
        if let Some(action) = self.hosts[host].record_answer(answer, image, with_tests, now_ms) {
            self.log_action(action, now_ms);
        }
    }

    /// Logs a brake of the production policy.
    fn log_action(&mut self, action: MonitorAction, now_ms: u64) {
        let MonitorAction::Brake(note) = action else {
            return;
        };
        if self.policy == PolicyName::Galenamast {
            self.log_brake(note.version, now_ms);
        }
    }

    /// Logs a brake if it is the first one on the version.
    fn log_brake(&mut self, version: VersionKey, now_ms: u64) {
        if !self.braked.insert(version.clone()) {
            return;
        }
        let is_false = !self.degraded.contains_key(&version);
        self.log.brakes.push(BrakeRecord {
            at_ms: now_ms,
            version,
            is_false,
        });
    }

    /// Updates the hosts with the servers' load reports.
    fn read_loads(&mut self, now_ms: u64) {
        for host in &mut self.hosts {
            host.read_servers(&self.servers, now_ms);
        }
        self.repeat(now_ms + REPORT_PERIOD_MS, FleetEvent::ReadLoads);
    }

    /// Sends the digest of each host to the others.
    fn send_digests(&mut self, now_ms: u64) {
        let header = &self.trace.header;
        let digests: Vec<_> = self
            .hosts
            .iter()
            .map(|host| Rc::new(host.digest(now_ms)))
            .collect();
        for (from, digest) in digests.into_iter().enumerate() {
            let event = FleetEvent::Digest { from, digest };
            self.schedule(now_ms + header.digest_lag_ms, event);
        }
        self.repeat(now_ms + header.digest_period_ms, FleetEvent::SendDigests);
    }

    /// Delivers a host's digest to the other hosts, except between domains of which one is cut off.
    fn receive_digest(&mut self, from: usize, digest: &HostDigest, now_ms: u64) {
        let sender = self.hosts[from].spec.domain.clone();
        let with_tests = self.policy == PolicyName::Galenamast;
        let mut actions = Vec::new();
        for (index, host) in self.hosts.iter_mut().enumerate() {
            let receiver = &host.spec.domain;
            let is_cut = self.cut_domains.contains(receiver) || self.cut_domains.contains(&sender);
            if index == from || (is_cut && *receiver != sender) {
                continue;
            }
            actions.extend(host.merge(digest, &self.image, with_tests, now_ms));
        }
        for action in actions {
            self.log_action(action, now_ms);
        }
    }

    /// Analyses the first roll-out, if the policy is [`PolicyName::FixedInterval`].
    fn analyse_rollout(&mut self, now_ms: u64) {
        self.repeat(now_ms + ANALYSIS_PERIOD_MS, FleetEvent::AnalyseRollout);
        if self.policy != PolicyName::FixedInterval {
            return;
        }
        let Some((name, rollout)) = self.image.rollouts.first_key_value() else {
            return;
        };
        if !self.analysis.analyse(rollout.tolerated_loss) {
            return;
        }
        let candidate = VersionKey {
            model: rollout.model.clone(),
            version: rollout.candidate.clone(),
        };
        let stopped = RolloutSpec {
            phase: crate::state::RolloutPhase::Braked,
            ..RolloutSpec::clone(rollout)
        };
        self.image.rollouts.insert(name.clone(), Arc::new(stopped));
        self.log_brake(candidate, now_ms);
    }
}

/// Builds the input of the routing decision for a request.
fn route_request(open: &OpenRequest<'_>, now_ms: u64) -> RouteRequest {
    let request = open.trace;
    let spent_ms = now_ms - open.arrived_ms;
    RouteRequest {
        workspace: request.workspace.clone(),
        task: request.task.clone(),
        pinned: open.pinned.clone(),
        prompt_tokens: request.prompt_tokens,
        max_output_tokens: request.output_tokens,
        prefix_hash: request.prefix,
        time_left: Duration::from_millis(request.deadline_ms.saturating_sub(spent_ms)),
        idempotent: request.idempotent,
        streamed: request.streamed,
        excluded: open.excluded.clone(),
        ..Default::default()
    }
}

/// Returns the last target of a request, and the answer of its version.
fn current_answer<'a>(open: &'a OpenRequest<'_>) -> Option<(&'a RouteTarget, &'a TraceAnswer)> {
    let target = open.target.as_ref()?;
    let answer = open.trace.answers.get(&target.version.to_string())?;
    Some((target, answer))
}
