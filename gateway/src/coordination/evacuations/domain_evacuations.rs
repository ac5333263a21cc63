//! Tracks which failure domains are evacuated, so that nothing more is sent to their servers.
//!
//! Load pattern: the operator evacuates a domain in the store, and every host must stop sending to its
//! servers within a few seconds, with requests of all kinds under way. Events of the store may be missed,
//! lists and reports of other hosts may be late, and the store may return from an older copy. Each
//! statement therefore has the store position that it is about, and takes effect only if that is later
//! than what is known of the domain.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use galenamast::state::TimePoint;

use crate::state::{EvacuationReport, StorePosition};

/// Settings of evacuations.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EvacuationSettings {
    /// Time for which an evacuation stays in force after the store returned from a copy without it.
    pub restored_hold: Duration,
    /// Greatest number of domains that reports of other hosts may name.
    pub max_reported_domains: usize,
}

impl Default for EvacuationSettings {
    fn default() -> Self {
        Self {
            // The operator's write reappears within this time.
            restored_hold: Duration::from_secs(10),
            max_reported_domains: 256,
        }
    }
}

/// What is known of one domain.
#[derive(Clone, Copy, Debug, Default)]
struct DomainState {
    evacuated: bool,
    position: StorePosition,
    // When the evacuation ends unless the operator writes it again, as the store has lost it.
    held_until: Option<TimePoint>,
    ended_at: Option<TimePoint>,
    // When a change that the store stated is reported to the other hosts.
    report_at: Option<TimePoint>,
}

impl DomainState {
    /// Returns whether the domain is evacuated.
    fn is_evacuated(&self, now: TimePoint) -> bool {
        self.evacuated && self.held_until.is_none_or(|until| now < until)
    }
}

/// The failure domains that the operator has evacuated.
///
/// ```
/// use galenamast::state::TimePoint;
/// use galenamast_gateway::coordination::evacuations::{DomainEvacuations, EvacuationSettings};
/// use galenamast_gateway::state::StorePosition;
///
/// let mut evacuations = DomainEvacuations::new(EvacuationSettings::default());
/// let position = StorePosition { era: 1, revision: 7 };
/// let change = evacuations.record_change(&"north".into(), true, position, TimePoint::ZERO);
/// assert!(change.is_some());
/// assert!(evacuations.is_evacuated("north", TimePoint::ZERO));
/// ```
#[derive(Clone, Debug, Default)]
pub struct DomainEvacuations {
    settings: EvacuationSettings,
    domains: BTreeMap<Arc<str>, DomainState>,
    // Position of the last list, which states all domains.
    listed: StorePosition,
}

impl DomainEvacuations {
    /// Creates the state of a host that has not read anything.
    pub fn new(settings: EvacuationSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Applies a list of all evacuated domains with the position of each object's last change, as the
    /// store had it at `position`. Returns the changes. Domains of which a later change is known are left
    /// as they are.
    pub fn replace(
        &mut self,
        list: &[(Arc<str>, StorePosition)],
        position: StorePosition,
        now: TimePoint,
    ) -> Vec<EvacuationReport> {
        self.apply_list(list, position, now, |_, state| state.held_until)
    }

    /// Applies a list like [`Self::replace`] after the store returned from an older copy. An evacuation
    /// from before the return that is not in the list stays in force for a time, in which the operator's
    /// write reappears.
    pub fn restore(
        &mut self,
        list: &[(Arc<str>, StorePosition)],
        position: StorePosition,
        now: TimePoint,
    ) -> Vec<EvacuationReport> {
        let until = now + self.settings.restored_hold;
        self.apply_list(list, position, now, |position, state| {
            (state.position.era < position.era).then_some(until)
        })
    }

    /// Applies a list. `hold` returns until when an evacuation that is not in the list stays in force;
    /// `None` if it ends.
    fn apply_list(
        &mut self,
        list: &[(Arc<str>, StorePosition)],
        position: StorePosition,
        now: TimePoint,
        hold: impl Fn(StorePosition, &DomainState) -> Option<TimePoint>,
    ) -> Vec<EvacuationReport> {
        if position < self.listed {
            return Vec::new();
        }
        let mut changes = self.expire(now);
        for (domain, state) in &mut self.domains {
            let is_listed = list.iter().any(|(listed, _)| listed == domain);
            if !state.evacuated || is_listed || state.position > position {
                continue;
            }
            state.held_until = hold(position, state);
            if state.held_until.is_none() {
                (state.evacuated, state.position) = (false, position);
                state.ended_at = Some(now);
                changes.push(report(domain, state));
            }
        }
        for (domain, changed_at) in list {
            let state = self.domains.entry(domain.clone()).or_default();
            if state.position > position {
                continue;
            }
            let was_evacuated = state.evacuated;
            state.position = state.position.max(*changed_at);
            (state.evacuated, state.held_until) = (true, None);
            if !was_evacuated {
                changes.push(report(domain, state));
            }
        }
        self.listed = position;
        changes
    }

    /// Applies a change of one domain in the store; returns it unless it was known.
    pub fn record_change(
        &mut self,
        domain: &Arc<str>,
        evacuated: bool,
        position: StorePosition,
        now: TimePoint,
    ) -> Option<EvacuationReport> {
        if position <= self.known_position(domain) {
            return None;
        }
        let state = self.domains.entry(domain.clone()).or_default();
        let was_evacuated = state.evacuated;
        state.position = position;
        (state.evacuated, state.held_until) = (evacuated, None);
        if was_evacuated == evacuated {
            return None;
        }
        if !evacuated {
            state.ended_at = Some(now);
        }
        Some(report(domain, state))
    }

    /// Applies the report of another listed host; returns the change, if it is one. A report of an era
    /// that this host does not know counts only if it adds an evacuation, as only the store can tell what
    /// it has lost.
    pub fn record_report(
        &mut self,
        report: &EvacuationReport,
        now: TimePoint,
    ) -> Option<EvacuationReport> {
        let known = self.known_position(&report.domain);
        if let Some(state) = self.domains.get_mut(&report.domain)
            && report.position >= state.position
        {
            // The other host has told all others.
            state.report_at = None;
        }
        let is_new = !self.domains.contains_key(&report.domain);
        if is_new && self.domains.len() >= self.settings.max_reported_domains {
            return None;
        }
        if report.position.era > known.era && !report.evacuated {
            return None;
        }
        self.record_change(&report.domain, report.evacuated, report.position, now)
    }

    /// Ends the evacuations that the store lost and the operator did not write again; returns them.
    pub fn expire(&mut self, now: TimePoint) -> Vec<EvacuationReport> {
        let mut ended = Vec::new();
        for (domain, state) in &mut self.domains {
            if state.evacuated && !state.is_evacuated(now) {
                (state.evacuated, state.report_at) = (false, None);
                state.ended_at = state.held_until.take();
                ended.push(report(domain, state));
            }
        }
        ended
    }

    /// Returns whether a domain is evacuated.
    pub fn is_evacuated(&self, domain: &str, now: TimePoint) -> bool {
        let state = self.domains.get(domain);
        state.is_some_and(|state| state.is_evacuated(now))
    }

    /// Returns whether an evacuation of a domain ended within the `time` before `now`, and no other one has
    /// begun since.
    pub fn ended_within(&self, domain: &str, time: Duration, now: TimePoint) -> bool {
        let ended_at = self.domains.get(domain).and_then(|state| {
            if state.evacuated {
                state.held_until.filter(|until| *until <= now)
            } else {
                state.ended_at
            }
        });
        ended_at.is_some_and(|ended_at| now.since(ended_at) < time)
    }

    /// Has a domain's last change reported to the other hosts at `at`, unless another host does so before.
    pub fn plan_report(&mut self, domain: &str, at: TimePoint) {
        if let Some(state) = self.domains.get_mut(domain) {
            state.report_at = Some(at);
        }
    }

    /// Returns the planned reports that are due, once each.
    pub fn due_reports(&mut self, now: TimePoint) -> Vec<EvacuationReport> {
        let mut due = Vec::new();
        for (domain, state) in &mut self.domains {
            if state.report_at.take_if(|at| *at <= now).is_some() {
                due.push(report(domain, state));
            }
        }
        due
    }

    /// Returns when the next planned report is due or the next evacuation that the store lost ends.
    pub fn next_due(&self) -> Option<TimePoint> {
        let times = self.domains.values();
        let times = times.flat_map(|state| [state.report_at, state.held_until]);
        times.flatten().min()
    }

    /// Returns the reports of all evacuated domains. One that the store lost is reported at its position
    /// from before, which changes nothing at hosts that know the store since.
    pub fn reports(&self, now: TimePoint) -> Vec<EvacuationReport> {
        let evacuated = self.domains.iter();
        let evacuated = evacuated.filter(|(_, state)| state.is_evacuated(now));
        evacuated
            .map(|(domain, state)| report(domain, state))
            .collect()
    }

    /// Returns the position up to which all changes of a domain are known.
    fn known_position(&self, domain: &str) -> StorePosition {
        let state = self.domains.get(domain);
        state.map_or(self.listed, |state| state.position.max(self.listed))
    }
}

/// Returns the report of a domain.
fn report(domain: &Arc<str>, state: &DomainState) -> EvacuationReport {
    EvacuationReport {
        domain: domain.clone(),
        evacuated: state.evacuated,
        position: state.position,
    }
}
