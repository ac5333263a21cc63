//! Everything that a run saw, for the checks and the report.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use crate::config_plan::ConfigPlan;
use crate::fault_event::{FaultEvent, FaultKind};
use crate::lost_rule::CONFIGURATION;
use crate::request_trace::RequestTrace;
use crate::server_pool::ServerVisit;
use crate::soak_state::SoakState;

/// Time for which impairments count after they end.
pub(crate) const CONTACT: Duration = Duration::from_secs(3);
/// Events of hosts are shown with a request for this long before it.
const SHOWN_BEFORE: Duration = Duration::from_secs(10);

/// The requests, visits of servers and faults of a run.
#[derive(Debug)]
pub(crate) struct SoakRecord {
    /// When the run began.
    pub(crate) began: Instant,
    /// The requests, in the order in which they were sent.
    pub(crate) traces: Vec<RequestTrace>,
    /// The faults, in order.
    pub(crate) faults: Vec<FaultEvent>,
    /// Identifiers of the requests that callers sent, also of those that were open at the end.
    pub(crate) sent: BTreeSet<String>,
    plans: Vec<(Instant, ConfigPlan)>,
    visits: BTreeMap<String, Vec<ServerVisit>>,
    host_names: Vec<String>,
    /// Most memory that each host has used, in bytes.
    pub(crate) peak_memory: Vec<usize>,
    /// Memory that a host may use, in bytes.
    pub(crate) memory_limit: usize,
}

impl SoakRecord {
    /// Collects what a run saw.
    pub(crate) fn collect(state: &SoakState) -> Self {
        Self {
            began: state.began,
            traces: state.traces(),
            faults: state.faults(),
            sent: state.sent(),
            plans: state.plans(),
            visits: state.servers.visits(),
            host_names: state.hosts.iter().map(|host| host.name.clone()).collect(),
            memory_limit: state
                .hosts
                .iter()
                .map(|host| host.limits.memory_mb * 1_000_000)
                .min()
                .unwrap_or(usize::MAX),
            peak_memory: state.hosts.iter().map(|host| host.peak_memory()).collect(),
        }
    }

    /// Returns the visits of a request to servers, in order.
    pub(crate) fn visits(&self, id: &str) -> &[ServerVisit] {
        self.visits.get(id).map_or(&[], Vec::as_slice)
    }

    /// Returns the visits of all requests with their identifiers, also of those that no caller sent.
    pub(crate) fn all_visits(&self) -> impl Iterator<Item = (&String, &ServerVisit)> {
        let all = self.visits.iter();
        all.flat_map(|(id, visits)| visits.iter().map(move |visit| (id, visit)))
    }

    /// Returns the configurations that were written before a moment.
    pub(crate) fn plans_before(&self, at: Instant) -> impl Iterator<Item = &ConfigPlan> {
        let written = self.plans.iter().filter(move |(time, _)| *time <= at);
        written.map(|(_, plan)| plan)
    }

    /// Returns the configurations that may have been in force at some time of a request.
    pub(crate) fn plans_in_force(&self, trace: &RequestTrace) -> impl Iterator<Item = &ConfigPlan> {
        let replaced = |(at, _): &(Instant, ConfigPlan)| *at + CONFIGURATION < trace.sent;
        let first = self.plans.partition_point(replaced).saturating_sub(1);
        let plans = self.plans[first..].iter();
        let written = plans.filter(|(at, _)| *at <= trace.ended);
        written.map(|(_, plan)| plan)
    }

    /// Returns the indices of all hosts.
    pub(crate) fn hosts(&self) -> impl Iterator<Item = usize> + use<> {
        0..self.host_names.len()
    }

    /// Returns the faults of a host.
    pub(crate) fn faults_of(&self, host: usize) -> impl Iterator<Item = &FaultEvent> {
        self.faults
            .iter()
            .filter(move |event| event.host == Some(host))
    }

    /// Returns when SIGTERM was last sent to a host before a moment.
    pub(crate) fn term_before(&self, host: usize, at: Instant) -> Option<Instant> {
        let events = self.faults_of(host);
        let terms = events.filter(|event| event.kind == FaultKind::Term && event.at <= at);
        terms.map(|event| event.at).last()
    }

    /// Returns whether a host's current process had been sent SIGTERM when a request ended.
    pub(crate) fn is_stopping(&self, trace: &RequestTrace) -> bool {
        let term = self.term_before(trace.host, trace.ended);
        let mut events = self.faults_of(trace.host);
        let was_restarted = events.any(|event| {
            event.kind == FaultKind::Start
                && event.at <= trace.sent
                && term.is_some_and(|term| term < event.at)
        });
        term.is_some() && !was_restarted
    }

    /// Returns when the server of a visit was stopped; `None` if it wasn't.
    pub(crate) fn stop_of(&self, server: &str) -> Option<Instant> {
        let stops = |event: &&FaultEvent| matches!(&event.kind, FaultKind::ServerStopped(id) if id == server);
        self.faults.iter().find(stops).map(|event| event.at)
    }

    /// Returns whether anything was impaired from `CONTACT` before a request to its end.
    pub(crate) fn was_impaired(&self, trace: &RequestTrace) -> bool {
        self.impairments(trace).next().is_some()
    }

    /// Returns whether the request's own host was impaired from `CONTACT` before it to its end.
    pub(crate) fn was_host_impaired(&self, trace: &RequestTrace) -> bool {
        let mut impairments = self.impairments(trace);
        impairments.any(|event| event.host == Some(trace.host))
    }

    /// Returns the unplanned faults from `CONTACT` before a request to its end.
    pub(crate) fn impairments(&self, trace: &RequestTrace) -> impl Iterator<Item = &FaultEvent> {
        self.faults.iter().filter(|event| {
            let is_over = trace.sent.duration_since(event.at) > CONTACT;
            let lasts = self.end_of(event) + CONTACT > trace.sent;
            event.is_unplanned() && event.at <= trace.ended && (!is_over || lasts)
        })
    }

    /// Returns the end of a fault; `began` of the run if it has none.
    fn end_of(&self, fault: &FaultEvent) -> Instant {
        let Some(kind) = fault.ended_by() else {
            return self.began;
        };
        let end = self
            .faults
            .iter()
            .find(|event| event.host == fault.host && event.kind == kind && event.at > fault.at);
        end.map_or(fault.at + Duration::from_secs(3600), |event| event.at)
    }

    /// Returns a moment in seconds since the run began.
    pub(crate) fn seconds(&self, at: Instant) -> f64 {
        at.duration_since(self.began).as_secs_f64()
    }

    /// Returns the events of a request in order, one per line.
    pub(crate) fn story(&self, trace: &RequestTrace) -> String {
        let host = &self.host_names[trace.host];
        let plan = &trace.plan;
        let connection = if trace.was_kept { "kept" } else { "new" };
        let mut lines = vec![(
            trace.sent,
            format!(
                "sent to {host}: {} {}, limit {} s, body {} bytes over {:.1} s, {connection} connection{}",
                trace.id,
                plan.class.name,
                plan.class.limit,
                plan.body,
                plan.sending.as_secs_f64(),
                if plan.reads_early {
                    ""
                } else {
                    ", reads after sending"
                }
            ),
        )];
        if let Some(at) = trace.written {
            lines.push((at, "last byte sent".to_owned()));
        }
        if let Some(at) = trace.head_at {
            let status = trace.status.unwrap_or_default();
            lines.push((at, format!("head received, status {status}")));
        }
        for visit in self.visits(&trace.id) {
            let what = if visit.ran { "runs it" } else { "rejects it" };
            let failure = visit.pace.and_then(|pace| pace.failure);
            let failure = failure.map_or(String::new(), |failure| format!(", fails: {failure:?}"));
            lines.push((visit.at, format!("{} {what}{failure}", visit.server)));
            if let Some(at) = visit.ended {
                let how = match (visit.broke_off, visit.was_cancelled) {
                    (true, _) => "breaks off",
                    (false, true) => "is cut off in the run",
                    (false, false) => "has run it to the end",
                };
                lines.push((at, format!("{} {how}", visit.server)));
            }
        }
        let shown = self.faults.iter().filter(|event| {
            let is_near = event.at <= trace.ended + Duration::from_millis(500)
                && trace.sent.duration_since(event.at) <= SHOWN_BEFORE;
            let concerns = event.host.is_none_or(|host| host == trace.host);
            is_near && (concerns || event.is_unplanned())
        });
        for event in shown {
            let host = event.host.map_or("", |host| &self.host_names[host]);
            lines.push((event.at, format!("* {host} {:?}", event.kind)));
        }
        let since = self.term_before(trace.host, trace.ended);
        let since = since.map_or(String::new(), |term| {
            format!(
                ", {:.2} s after SIGTERM",
                trace.ended.duration_since(term).as_secs_f64()
            )
        });
        let last = trace.event_ids().last().copied().unwrap_or(0);
        lines.push((
            trace.ended,
            format!(
                "ended: {}, {:.2} s after it was sent{since}, events up to {last}",
                trace.end.words(),
                trace.lasted().as_secs_f64()
            ),
        ));
        lines.sort_by_key(|(at, _)| *at);
        let texts = lines
            .into_iter()
            .map(|(at, text)| format!("  {:9.3} {text}\n", self.seconds(at)));
        texts.collect()
    }
}
