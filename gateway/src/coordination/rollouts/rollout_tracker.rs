//! Tracks roll-outs in progress: which sessions the new version serves and what to report of it.
//!
//! Covers writers that crash, pause or are cut off. Any host may write the next step, on condition
//! that the order's revision is the one it has read. A host stops using a bad version on its own
//! evidence alone.
//!
//! Covers a store that returns from an older copy: what hosts know of a roll-out's progress stays in
//! force, and is reported again.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use galenamast::state::TimePoint;

use crate::coordination::rollouts::{
    AnswerPace, PaceBaseline, SessionTracker, TrialSettings, VersionTrial,
};
use crate::state::{AnswerGrade, RolloutOrder, RolloutReport, RolloutState, TrialReport};

/// Share that stands for all sessions, in thousandths.
const FULL_SHARE: u32 = 1_000;
/// Numbers of bad answers at which a host reports to the others. They are spaced out, since each
/// report costs a message to every host.
const REPORTED_BAD_COUNTS: [u32; 6] = [1, 2, 3, 5, 8, 13];

/// Number of compared answers after which a host reports to the others, besides the powers of two.
const PACE_REPORT_STEP: u32 = 8;

/// Settings of a roll-out's schedule.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RolloutSettings {
    /// Share of the sessions that a version on trial serves, in thousandths.
    pub trial_share: u32,
    /// Part of the duration after which the share grows. Sessions keep their version for the first
    /// half of the duration.
    pub growth_start_part: f64,
    /// Share of the sessions after that, in thousandths.
    pub grown_share: u32,
    /// Part of the duration after which the new version serves all sessions.
    pub full_share_part: f64,
    /// Part of the duration after which the order is reported as done; by then the answers of the
    /// previous version have ended.
    pub completion_part: f64,
    /// How a version is judged.
    pub trial: TrialSettings,
    /// Time without requests after which a session has ended.
    pub session_pause: Duration,
}

impl Default for RolloutSettings {
    fn default() -> Self {
        Self {
            trial_share: 70,
            growth_start_part: 0.52,
            grown_share: 350,
            full_share_part: 0.62,
            completion_part: 0.76,
            trial: TrialSettings::default(),
            session_pause: Duration::from_secs(5),
        }
    }
}

/// The versions that may serve a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum VersionRule {
    /// Any version.
    Any,
    /// This version; others only if it has no server.
    Prefer(Arc<str>),
    /// Any other version; this one only if no other has a server.
    Avoid(Arc<str>),
    /// Any other version, and never this one.
    Never(Arc<str>),
}

/// A roll-out as this host sees it.
#[derive(Clone, Debug)]
struct RolloutView {
    order: RolloutOrder,
    seen_at: TimePoint,
    observed_start: bool,
    trial: VersionTrial,
    stopped: bool,
    // Number of answers of the new version that were compared at this host.
    compared: u32,
    // Whether the store has lost the report of the order's state.
    report_lost: bool,
}

impl RolloutView {
    /// Returns the report of this host's evidence.
    fn report(&self) -> TrialReport {
        TrialReport {
            service: self.order.service.clone(),
            target: self.order.target.clone(),
            counts: self.trial.local_counts(),
            paces: self.trial.local_paces(),
        }
    }
}

/// The known roll-outs, by service.
#[derive(Clone, Debug)]
pub struct RolloutTracker {
    settings: RolloutSettings,
    views: BTreeMap<Arc<str>, RolloutView>,
    sessions: SessionTracker,
    // Paces of the versions that are not on trial, by service.
    paces: BTreeMap<Arc<str>, PaceBaseline>,
}

impl RolloutTracker {
    /// Creates a tracker without roll-outs.
    pub fn new(settings: RolloutSettings) -> Self {
        let sessions = SessionTracker::new(settings.session_pause);
        Self {
            settings,
            views: BTreeMap::new(),
            sessions,
            paces: BTreeMap::new(),
        }
    }

    /// Applies an order or a reported state; returns whether the roll-out changed.
    pub fn apply_order(&mut self, order: RolloutOrder, now: TimePoint) -> bool {
        let known = self.views.get_mut(&order.service);
        match known {
            Some(view) if view.order.revision >= order.revision => false,
            Some(view) if is_behind(&order, &view.order) => {
                view.order.revision = order.revision;
                view.report_lost = true;
                false
            }
            Some(view)
                if view.order.target == order.target && order.state != RolloutState::Ordered =>
            {
                let changed = (view.order.state, view.order.share) != (order.state, order.share);
                view.order = order;
                view.report_lost = false;
                changed
            }
            _ => {
                let view = RolloutView {
                    seen_at: now,
                    observed_start: order.state == RolloutState::Ordered,
                    trial: VersionTrial::new(self.settings.trial),
                    stopped: false,
                    compared: 0,
                    report_lost: false,
                    order: order.clone(),
                };
                self.views.insert(order.service, view);
                true
            }
        }
    }

    /// Drops the roll-out of an order that was removed.
    pub fn remove_order(&mut self, name: &str) {
        self.views.retain(|_, view| *view.order.name != *name);
    }

    /// Returns which versions may serve a session of a service.
    pub fn rule(&self, service: &str, session: u64, now: TimePoint, unix_ms: u64) -> VersionRule {
        let Some(view) = self.views.get(service) else {
            return VersionRule::Any;
        };
        let target = view.order.target.clone();
        // The platform stops the previous version's servers as soon as the roll-out is reported as
        // done, so evidence of this host no longer counts.
        if view.order.state == RolloutState::Done {
            return VersionRule::Prefer(target);
        }
        if view.stopped || view.order.state == RolloutState::RolledBack {
            return VersionRule::Never(target);
        }
        let is_new = match self.sessions.version(session, now) {
            Some(version) if *version == target => true,
            Some(_) if elapsed_part(view, now, unix_ms) < 0.5 => false,
            _ => session_permille(session) < view.order.share,
        };
        if is_new {
            VersionRule::Prefer(target)
        } else {
            VersionRule::Avoid(target)
        }
    }

    /// Records the version that serves a session. Returns whether other hosts must be told, because
    /// they would assign the session to the version on trial.
    pub fn record_session(
        &mut self,
        service: &str,
        session: u64,
        version: &Arc<str>,
        now: TimePoint,
    ) -> bool {
        self.sessions.record(session, version, now);
        let view = self.views.get(service).filter(|view| is_open(view));
        view.is_some_and(|view| {
            *version != view.order.target && session_permille(session) < self.settings.trial_share
        })
    }

    /// Returns the live sessions that a version on trial must leave to the previous version.
    pub fn held_sessions(&self, service: &str, now: TimePoint) -> Vec<u64> {
        let Some(view) = self.views.get(service).filter(|view| is_open(view)) else {
            return Vec::new();
        };
        let held = self.sessions.live(now).filter(|(session, version)| {
            **version != view.order.target && session_permille(*session) < self.settings.trial_share
        });
        held.map(|(session, _)| session).collect()
    }

    /// Records sessions that other hosts keep on the previous version.
    pub fn record_held_sessions(&mut self, sessions: &[u64], now: TimePoint) {
        let previous_version: Arc<str> = "".into();
        sessions
            .iter()
            .for_each(|session| self.sessions.record(*session, &previous_version, now));
    }

    /// Records an answer of a service under roll-out; returns what to report to other hosts.
    pub fn record_answer(
        &mut self,
        service: &Arc<str>,
        route: &Arc<str>,
        server: (&Arc<str>, &Arc<str>),
        grade: AnswerGrade,
    ) -> Option<TrialReport> {
        let (server, version) = server;
        let view = self.views.get_mut(service)?;
        if view.order.state == RolloutState::Done || view.stopped {
            return None;
        }
        if *version != view.order.target {
            view.trial.record_baseline(grade);
            return None;
        }
        view.trial.record_candidate(route, server, grade);
        view.stopped = view.trial.is_bad();
        let counts = view.trial.local_counts();
        let bad = counts.failures + counts.slow;
        let should_report = grade != AnswerGrade::Good && REPORTED_BAD_COUNTS.contains(&bad);
        should_report.then(|| view.report())
    }

    /// Records the pace of a successful answer to a kind of request; returns what to report
    /// to other hosts.
    pub fn record_pace(
        &mut self,
        service: &Arc<str>,
        kind: &Arc<str>,
        server: (&Arc<str>, &Arc<str>),
        pace: AnswerPace,
        now: TimePoint,
    ) -> Option<TrialReport> {
        let (server, version) = server;
        let settings = self.settings.trial.pace;
        let baseline = self
            .paces
            .entry(service.clone())
            .or_insert_with(|| PaceBaseline::new(settings));
        let on_trial = |view: &&mut RolloutView| is_open(view) && view.order.target == *version;
        let Some(view) = self.views.get_mut(service).filter(on_trial) else {
            baseline.record(kind, pace, now);
            return None;
        };
        if view.stopped {
            return None;
        }
        let is_slow = baseline.is_slow(kind, pace)?;
        view.trial.record_pace(server, is_slow);
        view.stopped = view.trial.is_bad();
        view.compared += 1;
        let is_due = view.compared.is_power_of_two() || view.compared % PACE_REPORT_STEP == 0;
        (is_due || view.stopped).then(|| view.report())
    }

    /// Records the counts that another host reported.
    pub fn record_report(&mut self, host: SocketAddr, report: &TrialReport) {
        let Some(view) = self.views.get_mut(&report.service) else {
            return;
        };
        if view.order.target != report.target || view.order.state == RolloutState::Done {
            return;
        }
        view.trial.record_remote(host, report.counts);
        view.trial.record_remote_paces(host, report.paces);
        view.stopped |= view.trial.is_bad();
    }

    /// Grades an answer that is not a failure by its time to the first byte, relative to the
    /// predicted time.
    pub fn grade(
        &mut self,
        service: &str,
        version: &Arc<str>,
        took: Duration,
        predicted: Duration,
    ) -> AnswerGrade {
        let Some(view) = self.views.get_mut(service) else {
            return AnswerGrade::Good;
        };
        if *version != view.order.target {
            view.trial.record_baseline_pace(took, predicted);
        }
        view.trial.grade(took, predicted)
    }

    /// Returns whether this host has stopped the new version on its own.
    pub fn is_stopped(&self, service: &str) -> bool {
        self.views.get(service).is_some_and(|view| view.stopped)
    }

    /// Returns the version on trial. A request that failed on it avoids it afterwards.
    pub fn trial_version(&self, service: &str) -> Option<Arc<str>> {
        let view = self.views.get(service)?;
        let is_running = view.order.state == RolloutState::Running;
        (is_running && view.order.share < FULL_SHARE).then(|| view.order.target.clone())
    }

    /// Returns the reports that are due, each with its order, while the store is in an era. A report
    /// on an order that was read in an earlier one could be written over another change with the same
    /// revision.
    pub fn due_reports(
        &self,
        era: u64,
        now: TimePoint,
        unix_ms: u64,
    ) -> Vec<(RolloutOrder, RolloutReport)> {
        let due = |view: &RolloutView| {
            if view.order.revision.era < era {
                return None;
            }
            let report = due_report(view, &self.settings, now, unix_ms)?;
            Some((view.order.clone(), report))
        };
        self.views.values().filter_map(due).collect()
    }

    /// Returns whether any roll-out has not ended.
    pub fn has_open(&self) -> bool {
        self.views
            .values()
            .any(|view| is_open(view) || view.report_lost)
    }

    /// Returns a summary of the evidence on a service's new version, for log records.
    pub fn evidence(&self, service: &str) -> String {
        self.views
            .get(service)
            .map(|view| view.trial.summary())
            .unwrap_or_default()
    }
}

/// Returns the position of a session among all sessions, in thousandths; the same on all hosts.
fn session_permille(session: u64) -> u32 {
    u32::try_from(session % u64::from(FULL_SHARE)).unwrap_or(0)
}

/// Returns whether an order from an older copy of the store lacks progress that is known of it.
fn is_behind(order: &RolloutOrder, known: &RolloutOrder) -> bool {
    let progress = |order: &RolloutOrder| match order.state {
        RolloutState::Ordered => (0, 0),
        RolloutState::Running => (1, order.share),
        RolloutState::Done | RolloutState::RolledBack => (2, 0),
    };
    order.revision.era > known.revision.era
        && order.target == known.target
        && progress(order) < progress(known)
}

/// Returns whether a roll-out has not ended.
const fn is_open(view: &RolloutView) -> bool {
    matches!(
        view.order.state,
        RolloutState::Ordered | RolloutState::Running
    )
}

/// Returns the part of a roll-out's duration that has passed; above 1 when it is overdue.
fn elapsed_part(view: &RolloutView, now: TimePoint, unix_ms: u64) -> f64 {
    let duration = view.order.duration.as_secs_f64().max(0.001);
    let observed = now.since(view.seen_at).as_secs_f64();
    if view.observed_start {
        return observed / duration;
    }
    // A host that did not observe the start uses the reported one, unless the clocks disagree: the
    // reported start lies in the future, or at least twice the duration ago.
    let reported = unix_ms
        .checked_sub(view.order.began_ms)
        .filter(|_| view.order.began_ms > 0);
    let reported = reported
        .map(|millis| millis as f64 / 1_000.0)
        .filter(|past| *past < duration * 2.0);
    reported.map_or(observed, |reported| reported.max(observed)) / duration
}

/// Returns the report that a roll-out needs next.
fn due_report(
    view: &RolloutView,
    settings: &RolloutSettings,
    now: TimePoint,
    unix_ms: u64,
) -> Option<RolloutReport> {
    let order = &view.order;
    let report = |state, share| RolloutReport {
        state,
        share,
        target: order.target.clone(),
        began_ms: if order.began_ms > 0 {
            order.began_ms
        } else {
            unix_ms
        },
    };
    match order.state {
        RolloutState::Done if view.report_lost => Some(report(RolloutState::Done, order.share)),
        state if view.report_lost && !view.stopped => Some(report(state, order.share)),
        RolloutState::RolledBack if view.report_lost => Some(report(RolloutState::RolledBack, 0)),
        RolloutState::Done | RolloutState::RolledBack => None,
        _ if view.stopped => Some(report(RolloutState::RolledBack, 0)),
        RolloutState::Ordered => Some(report(RolloutState::Running, settings.trial_share)),
        RolloutState::Running => {
            let part = elapsed_part(view, now, unix_ms);
            if part >= settings.completion_part && order.share >= FULL_SHARE {
                return Some(report(RolloutState::Done, FULL_SHARE));
            }
            let share = match part {
                part if part >= settings.full_share_part => FULL_SHARE,
                part if part >= settings.growth_start_part => settings.grown_share,
                _ => order.share,
            };
            (share > order.share).then(|| report(RolloutState::Running, share))
        }
    }
}
