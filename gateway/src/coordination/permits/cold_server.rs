//! One start of a server that may be cold: what is known of it and what this host may send it.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use galenamast::state::TimePoint;

use crate::coordination::permits::cold_settings::ColdSettings;
use crate::coordination::permits::cold_source::ColdSource;
use crate::coordination::permits::limit_share::{
    LimitSettings, SharePlan, holds_share, plan_shares,
};
use crate::coordination::permits::server_permits::SendDenial;
use crate::state::{ColdSpec, HostPresence, ServerEntry};

/// Part of the bound that the shares use at most. The rest is for hosts that do not know yet that the
/// server is cold, that have another list of hosts or that were frozen.
pub(super) const SHARED_PART: f64 = 2.0 / 3.0;
/// Window in which the platform counts requests.
pub(super) const WINDOW: Duration = Duration::from_secs(1);
/// Time after which the shares double at the end of a restriction, and for which each step lasts.
pub(super) const RAMP_STEP: Duration = Duration::from_secs(1);
/// Number of times that the shares double after a cold time before the server is open to all hosts.
pub(super) const RAMP_STEPS: u32 = 2;
/// Time without known use after which a server is suspected to be cold.
const IDLE_TIME: Duration = Duration::from_secs(2);
/// Time for which a server that was idle must be in use before it is open to all hosts: the bound
/// within which hosts learn from the store that it is cold.
const SETTLE_TIME: Duration = Duration::from_secs(2);
/// Difference up to which two statements of the end of a cold time are the same; covers the time on
/// the way of an answer or a report.
pub(super) const END_TOLERANCE: Duration = Duration::from_millis(250);

/// End of a cold time that was stated.
#[derive(Clone, Copy, Debug)]
pub(super) struct StatedCold {
    pub(super) until: TimePoint,
    pub(super) source: ColdSource,
    pub(super) stated_at: TimePoint,
}

/// A suspicion that a server has started anew without this host having been told.
#[derive(Clone, Copy, Debug)]
pub(super) struct ColdSuspicion {
    pub(super) since: TimePoint,
    // First sign that the server runs requests again.
    pub(super) first_use: Option<TimePoint>,
}

/// What a host may send to a server that is not open to all hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Restriction {
    // Multiple of the share that may be used.
    pub(super) factor: usize,
    // When the server is open to all hosts, if that is known.
    pub(super) opens_at: Option<TimePoint>,
}

/// One start of a server.
#[derive(Clone, Debug)]
pub(super) struct ColdServer {
    pub(super) service: Arc<str>,
    pub(super) spec: ColdSpec,
    pub(super) domain: Arc<str>,
    pub(super) started_ms: Option<u64>,
    pub(super) stated: Option<StatedCold>,
    // What the list stated last.
    pub(super) listed_for: Option<Duration>,
    // When another host last reported that the server is cold, and for how long.
    pub(super) reported: Option<(TimePoint, Duration)>,
    pub(super) suspicion: Option<ColdSuspicion>,
    pub(super) last_used: Option<TimePoint>,
    // Start of the use that has had no pause as long as `IDLE_TIME`.
    pub(super) use_began: TimePoint,
    // Requests of this host within the window of a share.
    pub(super) sends: VecDeque<TimePoint>,
    // This host's share: `None` if it has to be computed, 0 requests if it holds none.
    pub(super) share: Option<SharePlan>,
    // When this host was allowed one request without a share.
    pub(super) granted_at: Option<TimePoint>,
    pub(super) report_at: Option<TimePoint>,
    // Whether the host logged that the server is cold, and not yet that it is warm.
    pub(super) is_logged: bool,
}

impl ColdServer {
    /// Creates the state of a server of which nothing is known.
    pub(super) fn new(entry: &ServerEntry, spec: ColdSpec) -> Self {
        Self {
            service: entry.service.clone(),
            spec,
            domain: entry.domain.clone(),
            started_ms: entry.started_ms,
            stated: None,
            listed_for: None,
            reported: None,
            suspicion: None,
            last_used: None,
            use_began: TimePoint::ZERO,
            sends: VecDeque::new(),
            share: None,
            granted_at: None,
            report_at: None,
            is_logged: false,
        }
    }

    /// Returns whether this is the state of the start that an entry describes.
    pub(super) fn is_start_of(&self, entry: &ServerEntry) -> bool {
        self.started_ms == entry.started_ms && self.service == entry.service
    }

    /// Returns whether no host is known to have used the server lately.
    pub(super) fn is_idle(&self, now: TimePoint) -> bool {
        self.last_used
            .is_none_or(|used_at| now.since(used_at) >= IDLE_TIME)
    }

    /// Records that a host uses the server.
    pub(super) fn record_use(&mut self, now: TimePoint) {
        if self.is_idle(now) {
            self.use_began = now;
        }
        self.last_used = self.last_used.max(Some(now));
    }

    /// Records a sign that the server runs requests.
    pub(super) fn record_success(&mut self, now: TimePoint) {
        if let Some(suspicion) = &mut self.suspicion {
            suspicion.first_use.get_or_insert(now);
        }
    }

    /// Returns whether another host has reported the statement of a change of the list that this host
    /// learns of only now. Its end is known from the report, and later by this host's list.
    pub(super) fn is_reported(&self, cold_for: Duration, now: TimePoint) -> bool {
        self.reported.is_some_and(|(reported_at, remaining)| {
            now.since(reported_at) < SETTLE_TIME && cold_for.abs_diff(remaining) <= END_TOLERANCE
        })
    }

    /// Returns when the suspicion ends; `None` if there is none or no sign of use yet.
    pub(super) fn suspicion_end(&self) -> Option<TimePoint> {
        let suspicion = self.suspicion?;
        let first_use = suspicion.first_use?;
        // A use that was followed by an idle time may have been a request before the failure.
        Some(first_use.max(self.use_began) + self.spec.duration)
    }

    /// Returns the restriction that a server's stated cold time puts on the hosts.
    pub(super) fn stated_restriction(&self, now: TimePoint) -> Option<Restriction> {
        self.stated.and_then(|stated| ramp(stated.until, now))
    }

    /// Returns the strictest restriction; `None` if the server is open to all hosts.
    pub(super) fn restriction(&mut self, now: TimePoint) -> Option<Restriction> {
        let suspected = match (self.suspicion, self.suspicion_end()) {
            (None, _) => None,
            (Some(_), None) => Some(Restriction {
                factor: 1,
                opens_at: None,
            }),
            (Some(_), Some(end)) => ramp(end, now),
        };
        let is_idle = self.is_idle(now);
        if suspected.is_none() && !is_idle {
            self.suspicion = None;
        }
        let used_for = now.since(self.use_began);
        let unused = if is_idle {
            Some(Restriction {
                factor: 1,
                opens_at: None,
            })
        } else {
            (used_for < SETTLE_TIME).then(|| Restriction {
                factor: if used_for < RAMP_STEP { 1 } else { 2 },
                opens_at: Some(self.use_began + SETTLE_TIME),
            })
        };
        let all = [self.stated_restriction(now), suspected, unused];
        all.into_iter().flatten().reduce(|left, right| Restriction {
            factor: left.factor.min(right.factor),
            opens_at: left
                .opens_at
                .zip(right.opens_at)
                .map(|(left, right)| left.max(right)),
        })
    }

    /// Sets the end of the cold time; returns whether the server was not known to be cold.
    pub(super) fn set_cold(
        &mut self,
        until: TimePoint,
        source: ColdSource,
        now: TimePoint,
    ) -> bool {
        let was_cold = self.stated.is_some_and(|stated| now < stated.until);
        self.stated = Some(StatedCold {
            until,
            source,
            stated_at: now,
        });
        !was_cold && now < until
    }

    /// Returns this host's share of the server's requests.
    pub(super) fn share(
        &mut self,
        id: &str,
        host: &str,
        hosts: &[HostPresence],
        settings: &ColdSettings,
    ) -> SharePlan {
        let (spec, domain) = (&self.spec, &self.domain);
        *self.share.get_or_insert_with(|| {
            let rate = spec.rate.min(bound(spec, settings) * SHARED_PART);
            let plan = plan_shares(rate, hosts.len(), &share_settings());
            let is_holder = holds_share(id, domain, host, hosts.iter(), plan.holders);
            SharePlan {
                requests: if is_holder { plan.requests } else { 0 },
                ..plan
            }
        })
    }

    /// Returns why no request may be sent within a share and a restriction; `None` if one may.
    pub(super) fn denial(
        &mut self,
        share: SharePlan,
        restriction: Restriction,
        now: TimePoint,
    ) -> Option<SendDenial> {
        self.sends.retain(|at| now.since(*at) < share.window);
        let is_granted = self
            .granted_at
            .is_some_and(|granted_at| now.since(granted_at) < share.window);
        let allowed = (share.requests * restriction.factor).max(usize::from(is_granted));
        let excess = self.sends.len().checked_sub(allowed)?;
        let reopens_at = self.sends.get(excess).map(|at| *at + share.window);
        let until = reopens_at.filter(|_| allowed > 0).or(restriction.opens_at);
        Some(until.map_or(SendDenial::NoShare, |until| SendDenial::Cold { until }))
    }
}

/// Returns the restriction of a server whose cold time ends at `end`.
fn ramp(end: TimePoint, now: TimePoint) -> Option<Restriction> {
    let opens_at = end + RAMP_STEP * RAMP_STEPS;
    let steps = if now < end {
        0
    } else {
        1 + now.since(end).as_millis() / RAMP_STEP.as_millis()
    };
    let steps = u32::try_from(steps).ok()?;
    (steps <= RAMP_STEPS).then(|| Restriction {
        factor: 1 << steps,
        opens_at: Some(opens_at),
    })
}

/// Returns the most requests that a cold server may get in a second.
pub(super) fn bound(spec: &ColdSpec, settings: &ColdSettings) -> f64 {
    spec.rate * settings.rate_factor + settings.slack
}

/// Returns the settings by which the rate of a cold server is divided.
pub(super) fn share_settings() -> LimitSettings {
    LimitSettings {
        window: WINDOW,
        ..LimitSettings::default()
    }
}
