//! Roll-outs in progress: which sessions the new version serves, and what is reported of it.
//!
//! Answers writers that die, pause or are cut off: any host may write the next step, on condition
//! of the revision it has seen; a host stops a bad version alone on its own evidence.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use galenamast::state::TimePoint;

use crate::coordination::rollouts::{SessionTracker, TrialSettings, VersionTrial};
use crate::state::{AnswerGrade, RolloutOrder, RolloutReport, RolloutState, TrialReport};

/// Thousandths of the sessions, all of them.
const ALL: u32 = 1_000;
/// Counts of bad answers at which other hosts are told; far apart, since each telling is a call.
const TOLD_COUNTS: [u32; 6] = [1, 2, 3, 5, 8, 13];

/// Settings of a roll-out's course.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RolloutSettings {
    /// Share of the sessions that an unproven version serves, in thousandths.
    pub trial_share: u32,
    /// Part of the time after which the share grows; sessions stay where they are until the half.
    pub grow_at: f64,
    /// Share after that.
    pub grown_share: u32,
    /// Part of the time after which all sessions move.
    pub all_at: f64,
    /// Part of the time after which the order is reported as done, with the answers of the version
    /// before ended.
    pub done_at: f64,
    /// How a version is judged.
    pub trial: TrialSettings,
    /// Pause after which a session has ended.
    pub session_pause: Duration,
}

impl Default for RolloutSettings {
    fn default() -> Self {
        Self {
            trial_share: 70,
            grow_at: 0.52,
            grown_share: 350,
            all_at: 0.62,
            done_at: 0.76,
            trial: TrialSettings::default(),
            session_pause: Duration::from_secs(5),
        }
    }
}

/// Versions that may serve a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum VersionRule {
    /// Any.
    Any,
    /// This one, and others only if it has no server.
    Prefer(Arc<str>),
    /// All but this one, and this one only if no other has a server.
    Avoid(Arc<str>),
    /// Never this one.
    Never(Arc<str>),
}

/// A roll-out as this host sees it.
#[derive(Clone, Debug)]
struct RolloutView {
    order: RolloutOrder,
    seen_at: TimePoint,
    saw_start: bool,
    trial: VersionTrial,
    stopped: bool,
}

/// The roll-outs.
#[derive(Clone, Debug)]
pub struct RolloutTracker {
    settings: RolloutSettings,
    views: BTreeMap<Arc<str>, RolloutView>,
    sessions: SessionTracker,
}

impl RolloutTracker {
    /// Creates a board without roll-outs.
    pub fn new(settings: RolloutSettings) -> Self {
        let sessions = SessionTracker::new(settings.session_pause);
        Self {
            settings,
            views: BTreeMap::new(),
            sessions,
        }
    }

    /// Takes in an order or a report; returns whether it changes what is believed.
    pub fn apply_order(&mut self, order: RolloutOrder, now: TimePoint) -> bool {
        let known = self.views.get_mut(&order.service);
        match known {
            Some(view) if view.order.revision >= order.revision => false,
            Some(view)
                if view.order.target == order.target && order.state != RolloutState::Ordered =>
            {
                let changed = (view.order.state, view.order.share) != (order.state, order.share);
                view.order = order;
                changed
            }
            _ => {
                let view = RolloutView {
                    seen_at: now,
                    saw_start: order.state == RolloutState::Ordered,
                    trial: VersionTrial::new(self.settings.trial),
                    stopped: false,
                    order: order.clone(),
                };
                self.views.insert(order.service, view);
                true
            }
        }
    }

    /// Forgets an order that was removed.
    pub fn remove_order(&mut self, name: &str) {
        self.views.retain(|_, view| *view.order.name != *name);
    }

    /// Returns the versions that may serve a session of a service.
    pub fn rule(&self, service: &str, session: u64, now: TimePoint, unix_ms: u64) -> VersionRule {
        let Some(view) = self.views.get(service) else {
            return VersionRule::Any;
        };
        let target = view.order.target.clone();
        if view.stopped || view.order.state == RolloutState::RolledBack {
            return VersionRule::Never(target);
        }
        if view.order.state == RolloutState::Done {
            return VersionRule::Prefer(target);
        }
        let is_new = match self.sessions.version(session, now) {
            Some(version) if *version == target => true,
            Some(_) if elapsed_part(view, now, unix_ms) < 0.5 => false,
            _ => place(session) < view.order.share,
        };
        if is_new {
            VersionRule::Prefer(target)
        } else {
            VersionRule::Avoid(target)
        }
    }

    /// Notes the version that serves a session; returns whether other hosts must be told, since
    /// they would give the session to the version on trial.
    pub fn record_session(
        &mut self,
        service: &str,
        session: u64,
        version: &Arc<str>,
        now: TimePoint,
    ) -> bool {
        self.sessions.note(session, version, now);
        let view = self.views.get(service).filter(|view| is_open(view));
        view.is_some_and(|view| {
            *version != view.order.target && place(session) < self.settings.trial_share
        })
    }

    /// Returns the live sessions that a version on trial must leave to the version before.
    pub fn held_sessions(&self, service: &str, now: TimePoint) -> Vec<u64> {
        let Some(view) = self.views.get(service).filter(|view| is_open(view)) else {
            return Vec::new();
        };
        let held = self.sessions.live(now).filter(|(session, version)| {
            **version != view.order.target && place(*session) < self.settings.trial_share
        });
        held.map(|(session, _)| session).collect()
    }

    /// Takes in sessions that other hosts serve by the version before.
    pub fn record_held_sessions(&mut self, sessions: &[u64], now: TimePoint) {
        let before: Arc<str> = "".into();
        sessions
            .iter()
            .for_each(|session| self.sessions.note(*session, &before, now));
    }

    /// Takes in an answer of a service under roll-out; returns what other hosts should be told.
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
        let counts = view.trial.own_counts();
        let bad = counts.failures + counts.slow;
        let is_worth_telling = grade != AnswerGrade::Good && TOLD_COUNTS.contains(&bad);
        is_worth_telling.then(|| TrialReport {
            service: service.clone(),
            target: version.clone(),
            counts,
        })
    }

    /// Takes in what another host counted.
    pub fn record_report(&mut self, host: SocketAddr, note: &TrialReport) {
        let Some(view) = self.views.get_mut(&note.service) else {
            return;
        };
        if view.order.target != note.target || view.order.state == RolloutState::Done {
            return;
        }
        view.trial.record_remote(host, note.counts);
        view.stopped |= view.trial.is_bad();
    }

    /// Grades an answer that is no failure by its time to the first byte against the predicted one.
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

    /// Returns whether this host has stopped a version itself.
    pub fn is_stopped(&self, service: &str) -> bool {
        self.views.get(service).is_some_and(|view| view.stopped)
    }

    /// Returns the version that is on trial, which a request that it failed is spared.
    pub fn trial_version(&self, service: &str) -> Option<Arc<str>> {
        let view = self.views.get(service)?;
        let is_running = view.order.state == RolloutState::Running;
        (is_running && view.order.share < ALL).then(|| view.order.target.clone())
    }

    /// Returns the reports that are due, each with the order it is about.
    pub fn due_reports(&self, now: TimePoint, unix_ms: u64) -> Vec<(RolloutOrder, RolloutReport)> {
        let due = |view: &RolloutView| {
            let report = due_report(view, &self.settings, now, unix_ms)?;
            Some((view.order.clone(), report))
        };
        self.views.values().filter_map(due).collect()
    }

    /// Returns whether any roll-out is under way.
    pub fn has_open(&self) -> bool {
        self.views.values().any(|view| {
            matches!(
                view.order.state,
                RolloutState::Ordered | RolloutState::Running
            )
        })
    }

    /// Tells the evidence about a service's roll-out.
    pub fn evidence(&self, service: &str) -> String {
        self.views
            .get(service)
            .map(|view| view.trial.summary())
            .unwrap_or_default()
    }
}

/// Returns the place of a session among all, in thousandths; the same on all hosts.
fn place(session: u64) -> u32 {
    u32::try_from(session % u64::from(ALL)).unwrap_or(0)
}

/// Returns whether a roll-out has not ended.
const fn is_open(view: &RolloutView) -> bool {
    matches!(
        view.order.state,
        RolloutState::Ordered | RolloutState::Running
    )
}

/// Returns the part of a roll-out's time that has passed.
fn elapsed_part(view: &RolloutView, now: TimePoint, unix_ms: u64) -> f64 {
    let duration = view.order.duration.as_secs_f64().max(0.001);
    let own = now.since(view.seen_at).as_secs_f64();
    if view.saw_start {
        return own / duration;
    }
    // A host that started later goes by the stated beginning, unless clocks disagree wildly.
    let stated = unix_ms
        .checked_sub(view.order.began_ms)
        .filter(|_| view.order.began_ms > 0);
    let stated = stated
        .map(|millis| millis as f64 / 1_000.0)
        .filter(|past| *past < duration * 2.0);
    stated.map_or(own, |stated| stated.max(own)) / duration
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
        RolloutState::Done | RolloutState::RolledBack => None,
        _ if view.stopped => Some(report(RolloutState::RolledBack, 0)),
        RolloutState::Ordered => Some(report(RolloutState::Running, settings.trial_share)),
        RolloutState::Running => {
            let part = elapsed_part(view, now, unix_ms);
            if part >= settings.done_at && order.share >= ALL {
                return Some(report(RolloutState::Done, ALL));
            }
            let share = match part {
                part if part >= settings.all_at => ALL,
                part if part >= settings.grow_at => settings.grown_share,
                _ => order.share,
            };
            (share > order.share).then(|| report(RolloutState::Running, share))
        }
    }
}
