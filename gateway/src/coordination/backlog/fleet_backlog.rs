//! What the other hosts hold in their queues.
//!
//! Load pattern: a burst that reaches the hosts unevenly. A host with few requests must not send
//! them while urgent ones of another host wait, and rejected callers must be told when the whole
//! fleet has capacity for them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use galenamast::state::TimePoint;
use serde::{Deserialize, Serialize};

use crate::coordination::backlog::BacklogLevel;
use crate::coordination::backlog::backlog_order::LAST_LEVEL;

/// Largest number of levels of one report that are read.
const MAX_REPORT_LEVELS: usize = 64;

/// Settings of the view of other hosts' queues.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetSettings {
    /// Time for which a report is valid.
    pub report_lifetime: Duration,
    /// Interval between reports to the same host of the own failure domain.
    pub own_domain_interval: Duration,
    /// Interval between reports to the same host of another failure domain.
    pub other_domains_interval: Duration,
    /// Most bytes per second sent within the own domain, and as many to the others, headers included.
    pub bytes_per_second: f64,
    /// Most work of one level that a report is believed, in milliseconds.
    pub max_work_ms: u32,
    /// Most requests of one level that a report is believed.
    pub max_count: u32,
}

impl Default for FleetSettings {
    fn default() -> Self {
        Self {
            report_lifetime: Duration::from_millis(1_500),
            own_domain_interval: Duration::from_millis(200),
            other_domains_interval: Duration::from_millis(800),
            bytes_per_second: 500.0,
            max_work_ms: 600_000,
            max_count: 512,
        }
    }
}

/// Requests of one level that wait at a host, as sent to other hosts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BacklogReport {
    /// Short identifier of the queue.
    pub queue: u32,
    /// The level; 0 is served first.
    pub level: u8,
    /// Number of requests.
    pub count: u32,
    /// Their work in milliseconds on a typical server.
    pub work_ms: u32,
}

/// Work that waits at engines, in seconds on a typical server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SentWork {
    /// Work of this host.
    pub own: f64,
    /// Work of all other hosts, as far as it is known or assumed.
    pub others: f64,
}

/// The latest report of a host.
#[derive(Clone, Debug)]
struct PeerBacklog {
    reports: Vec<BacklogReport>,
    weight: f64,
    at: TimePoint,
}

/// What the other hosts hold, as far as they reported it.
#[derive(Clone, Debug, Default)]
pub struct FleetBacklog {
    settings: FleetSettings,
    peers: BTreeMap<SocketAddr, PeerBacklog>,
}

/// Returns how many hosts a report stands for: the inverse of the part of the sender's recipients
/// that it reaches while a report is valid, at `bytes` per datagram with headers.
///
/// ```
/// use galenamast_gateway::coordination::backlog::{FleetSettings, sample_weight};
///
/// let settings = FleetSettings::default();
/// assert_eq!(sample_weight(14, 50, &settings), 1.0);
/// assert_eq!(sample_weight(150, 50, &settings), 10.0);
/// ```
pub fn sample_weight(recipients: usize, bytes: usize, settings: &FleetSettings) -> f64 {
    let lifetime = settings.report_lifetime.as_secs_f64();
    let reached = settings.bytes_per_second * lifetime / bytes.max(1) as f64;
    (recipients as f64 / reached).max(1.0)
}

/// Returns to how many of the next hosts a report goes in one round, and the time until the next
/// round, so that the traffic stays within its bound whatever the number of hosts. `left` hosts did
/// not get a report since the last turn through the list.
///
/// ```
/// use std::time::Duration;
///
/// use galenamast_gateway::coordination::backlog::{FleetSettings, report_round};
///
/// let (settings, interval) = (FleetSettings::default(), Duration::from_millis(200));
/// assert_eq!(report_round(1, 50, interval, &settings), (1, interval));
/// assert_eq!(report_round(73, 50, interval, &settings), (2, interval));
/// assert_eq!(report_round(73, 150, interval, &settings), (1, Duration::from_millis(300)));
/// ```
pub fn report_round(
    left: usize,
    bytes: usize,
    interval: Duration,
    settings: &FleetSettings,
) -> (usize, Duration) {
    let allowed = settings.bytes_per_second * interval.as_secs_f64() / bytes.max(1) as f64;
    let count = (allowed.ceil() as usize).min(left);
    let taken = (count * bytes) as f64 / settings.bytes_per_second;
    (count, interval.max(Duration::from_secs_f64(taken)))
}

impl FleetBacklog {
    /// Creates a view without reports.
    pub fn new(settings: FleetSettings) -> Self {
        Self {
            settings,
            peers: BTreeMap::new(),
        }
    }

    /// Returns whether no report is known.
    pub fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    /// Records the report of a host, which stands for `weight` hosts. Implausible numbers are
    /// clamped.
    pub fn record_report(
        &mut self,
        peer: SocketAddr,
        reports: &[BacklogReport],
        weight: f64,
        now: TimePoint,
    ) {
        let lifetime = self.settings.report_lifetime;
        self.peers.retain(|_, known| now.since(known.at) < lifetime);
        let clamped = reports.iter().take(MAX_REPORT_LEVELS);
        let clamped = clamped.map(|report| BacklogReport {
            queue: report.queue,
            level: report.level.min(LAST_LEVEL),
            count: report.count.min(self.settings.max_count),
            work_ms: report.work_ms.min(self.settings.max_work_ms),
        });
        let reports: Vec<BacklogReport> = clamped.collect();
        if reports.is_empty() {
            self.peers.remove(&peer);
            return;
        }
        let backlog = PeerBacklog {
            reports,
            weight,
            at: now,
        };
        self.peers.insert(peer, backlog);
    }

    /// Returns the estimated work that waits at other hosts in levels before `level`, in seconds on
    /// a typical server.
    pub fn work_ahead(&self, queue: u32, level: u8, now: TimePoint) -> f64 {
        self.sum(queue, now, |reported| reported < level)
    }

    /// Returns the estimated work that waits at other hosts, in seconds on a typical server.
    pub fn total_work(&self, queue: u32, now: TimePoint) -> f64 {
        self.sum(queue, now, |_| true)
    }

    /// Returns the part of the service's capacity that this host may use, from 0 to 1: its part of
    /// the work that waits anywhere, at engines or in its most urgent level or before it. Work at
    /// engines counts because hosts that pass all they get have an empty queue and still take a part.
    ///
    /// ```
    /// use galenamast::state::TimePoint;
    /// use galenamast_gateway::coordination::backlog::{
    ///     BacklogLevel, BacklogReport, FleetBacklog, FleetSettings, SentWork,
    /// };
    ///
    /// let mut fleet = FleetBacklog::new(FleetSettings::default());
    /// let now = TimePoint::from_millis(9);
    /// let own = [BacklogLevel { level: 1, count: 2, work: 1.0 }];
    /// let sent = SentWork::default();
    /// assert_eq!(fleet.own_part(7, &own, &sent, now), 1.0);
    /// let report = BacklogReport { queue: 7, level: 1, count: 6, work_ms: 3_000 };
    /// fleet.record_report(([127, 0, 0, 1], 1).into(), &[report], 1.0, now);
    /// assert_eq!(fleet.own_part(7, &own, &sent, now), 0.25);
    /// ```
    pub fn own_part(
        &self,
        queue: u32,
        own: &[BacklogLevel],
        sent: &SentWork,
        now: TimePoint,
    ) -> f64 {
        let Some(first) = own.iter().min_by_key(|level| level.level) else {
            return 1.0;
        };
        let others = self.sum(queue, now, |level| level <= first.level) + sent.others;
        let own = first.work + sent.own;
        if own + others > 0.0 {
            own / (own + others)
        } else {
            1.0
        }
    }

    /// Returns the time in which servers that take `capacity` seconds of work per second have done
    /// an amount of work; `None` if they take none.
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use galenamast_gateway::coordination::backlog::FleetBacklog;
    ///
    /// assert_eq!(FleetBacklog::drains_in(6.0, 4.0), Some(Duration::from_millis(1_500)));
    /// assert_eq!(FleetBacklog::drains_in(6.0, 0.0), None);
    /// ```
    pub fn drains_in(work: f64, capacity: f64) -> Option<Duration> {
        Duration::try_from_secs_f64(work / capacity).ok()
    }

    /// Returns the work of the levels that are counted, in seconds on a typical server.
    fn sum(&self, queue: u32, now: TimePoint, is_counted: impl Fn(u8) -> bool) -> f64 {
        let lifetime = self.settings.report_lifetime;
        let fresh = self
            .peers
            .values()
            .filter(|peer| now.since(peer.at) < lifetime);
        let works = fresh.map(|peer| {
            let counted = peer
                .reports
                .iter()
                .filter(|report| report.queue == queue && is_counted(report.level));
            let work: u64 = counted.map(|report| u64::from(report.work_ms)).sum();
            work as f64 / 1_000.0 * peer.weight
        });
        works.sum()
    }
}
