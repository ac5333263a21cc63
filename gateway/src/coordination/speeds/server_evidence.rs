//! What is known of the speed of one server since its start.

use std::collections::VecDeque;
use std::f64::consts::LN_10;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::sync::Arc;
use std::time::Duration;

use galenamast::state::TimePoint;

use crate::coordination::speeds::{SpeedReport, SpeedSettings, TypicalPaces};

/// Logarithms of the ratios to the typical time that are believed: 0.1 to 10.
const LOG_RATIOS: RangeInclusive<f64> = -LN_10..=LN_10;

/// The pace of one answer.
#[derive(Clone, Copy, Debug)]
struct PaceSample {
    at: TimePoint,
    kind: u16,
    load: u16,
    seconds: f32,
    // Logarithm of the ratio to the typical time, as of the last comparison.
    log_ratio: Option<f32>,
}

/// The newest report of another host.
#[derive(Clone, Copy, Debug)]
struct PeerSpeed {
    peer: SocketAddr,
    at: TimePoint,
    samples: u8,
    log_ratio: f32,
}

/// The estimate of a server's speed at one time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct SpeedEstimate {
    /// Logarithm of the ratio to the typical time of the hosts that measured it.
    pub log_ratio: f64,
    /// Samples of all hosts.
    pub samples: usize,
    /// Samples that count as independent of one another.
    pub independent: f64,
    /// Logarithms that 70 % of the samples exceed, and that 70 % do not.
    pub agreed: [f64; 2],
}

/// What was last announced of a server to other hosts.
#[derive(Clone, Copy, Debug)]
struct Announcement {
    log_ratio: i16,
    samples: usize,
    at: TimePoint,
}

/// What is known of the speed of one server since its start.
#[derive(Clone, Debug)]
pub(super) struct ServerEvidence {
    /// Identifier of the server.
    pub id: Arc<str>,
    /// Service of the server.
    pub service: Arc<str>,
    /// Check value of the server's start.
    pub start: u8,
    /// Deviation from a typical server of the service, as a logarithm; 0 while it is unknown.
    pub deviation: f64,
    /// Logarithm of the factor that was last logged.
    pub logged: f64,
    samples: VecDeque<PaceSample>,
    reports: VecDeque<PeerSpeed>,
    announced: Option<Announcement>,
    copies_left: usize,
}

impl ServerEvidence {
    /// Creates the evidence of a server that started.
    pub(super) fn new(id: Arc<str>, service: Arc<str>, start: u8) -> Self {
        Self {
            id,
            service,
            start,
            deviation: 0.0,
            logged: 0.0,
            samples: VecDeque::new(),
            reports: VecDeque::new(),
            announced: None,
            copies_left: 0,
        }
    }

    /// Records the seconds of an answer of a kind under a load, unless it follows the previous one too
    /// closely.
    pub(super) fn record(
        &mut self,
        kind: u16,
        load: u32,
        seconds: f64,
        settings: &SpeedSettings,
        now: TimePoint,
    ) {
        let newest = self.samples.back();
        if newest.is_some_and(|sample| now.since(sample.at) < settings.sample_spacing) {
            return;
        }
        if self.samples.len() >= settings.max_samples {
            self.samples.pop_front();
        }
        self.samples.push_back(PaceSample {
            at: now,
            kind,
            load: u16::try_from(load).unwrap_or(u16::MAX),
            seconds: seconds as f32,
            log_ratio: None,
        });
    }

    /// Adds this host's samples to the typical paces, without the server's known deviation.
    pub(super) fn add_to(&self, typical: &mut TypicalPaces) {
        let factor = self.deviation.exp();
        for sample in &self.samples {
            typical.record(sample.kind, sample.load, f64::from(sample.seconds) / factor);
        }
    }

    /// Compares this host's samples with the typical paces.
    pub(super) fn compare(&mut self, typical: &TypicalPaces) {
        for sample in &mut self.samples {
            let typical = typical.typical(sample.kind, sample.load);
            let log_ratio = typical.map(|typical| (f64::from(sample.seconds) / typical).ln());
            let believed = log_ratio.filter(|log_ratio| LOG_RATIOS.contains(log_ratio));
            sample.log_ratio = believed.map(|log_ratio| log_ratio as f32);
        }
    }

    /// Returns the logarithms of the ratios of this host's samples.
    fn log_ratios(&self) -> impl Iterator<Item = f32> + '_ {
        self.samples.iter().filter_map(|sample| sample.log_ratio)
    }

    /// Records the report of another host in place of its earlier one.
    pub(super) fn record_report(
        &mut self,
        peer: SocketAddr,
        report: &SpeedReport,
        settings: &SpeedSettings,
        now: TimePoint,
    ) {
        self.reports.retain(|known| known.peer != peer);
        if self.reports.len() >= settings.max_reports {
            self.reports.pop_front();
        }
        self.reports.push_back(PeerSpeed {
            peer,
            at: now,
            samples: report.samples.min(settings.max_report_weight),
            log_ratio: f32::from(report.log_ratio) / 100.0,
        });
    }

    /// Drops samples and reports that are too old to count.
    pub(super) fn drop_expired(&mut self, lifetime: Duration, now: TimePoint) {
        self.samples
            .retain(|sample| now.since(sample.at) < lifetime);
        self.reports.retain(|known| now.since(known.at) < lifetime);
    }

    /// Returns the estimate from this host's samples and the reports; `None` without any.
    pub(super) fn estimate(
        &self,
        settings: &SpeedSettings,
        now: TimePoint,
    ) -> Option<SpeedEstimate> {
        let own = self.log_ratios().map(|value| (value, 1));
        let reported = self.reports.iter();
        let reported = reported.map(|known| (known.log_ratio, usize::from(known.samples)));
        let mut values: Vec<(f32, usize)> = own.chain(reported).collect();
        let samples: usize = values.iter().map(|(_, weight)| weight).sum();
        // Unequal weights make a median as uncertain as one of this many equal ones.
        let squares: usize = values.iter().map(|(_, weight)| weight * weight).sum();
        let equal = (samples * samples) as f64 / squares.max(1) as f64;
        let own_since = self.samples.front().map(|sample| sample.at);
        let since = self.reports.iter().map(|known| known.at).chain(own_since);
        let span = now.since(since.min()?);
        let is_long_enough = span >= settings.min_span;
        let slots = 1.0 + span.as_secs_f64() / settings.sample_spacing.as_secs_f64();
        Some(SpeedEstimate {
            agreed: [
                weighted_quantile(&mut values, 0.3)?,
                weighted_quantile(&mut values, 0.7)?,
            ],
            log_ratio: weighted_quantile(&mut values, 0.5)?,
            samples: if is_long_enough { samples } else { 0 },
            independent: equal.min(slots),
        })
    }

    /// Returns how far each of this host's samples is from `log_ratio`.
    pub(super) fn deviations(&self, log_ratio: f64) -> impl Iterator<Item = f64> + '_ {
        let values = self.log_ratios();
        values.map(move |value| (f64::from(value) - log_ratio).abs())
    }

    /// Returns the report of this host's samples if it is to be sent to a further one of `hosts` hosts.
    pub(super) fn due_report(
        &mut self,
        server: u32,
        hosts: usize,
        settings: &SpeedSettings,
        now: TimePoint,
    ) -> Option<SpeedReport> {
        let mut values: Vec<(f32, usize)> = self.log_ratios().map(|value| (value, 1)).collect();
        let samples = values.len();
        let log_ratio = (weighted_quantile(&mut values, 0.5)? * 100.0).round() as i16;
        let is_current = self.announced.is_some_and(|announced| {
            let change = f64::from(announced.log_ratio.abs_diff(log_ratio)) / 100.0;
            change <= settings.min_change
                && samples < announced.samples * 2
                && now.since(announced.at) < settings.announce_interval
        });
        if !is_current {
            self.copies_left = hosts;
            self.announced = Some(Announcement {
                log_ratio,
                samples,
                at: now,
            });
        }
        self.copies_left = self.copies_left.checked_sub(1)?;
        Some(SpeedReport {
            server,
            start: self.start,
            samples: u8::try_from(samples).unwrap_or(u8::MAX),
            log_ratio,
        })
    }
}

/// Returns a quantile of values with weights, which are sorted; `None` without values. It is the mean
/// of two values if it lies between them.
fn weighted_quantile(values: &mut [(f32, usize)], part: f64) -> Option<f64> {
    values.sort_unstable_by(|left, right| left.0.total_cmp(&right.0));
    let total: usize = values.iter().map(|(_, weight)| weight).sum();
    let wanted = total as f64 * part;
    let (mut below, mut lower) = (0, None);
    for (value, weight) in values {
        below += *weight;
        if let Some(lower) = lower {
            return Some(f64::midpoint(lower, f64::from(*value)));
        }
        if below as f64 > wanted {
            return Some(f64::from(*value));
        }
        if (below as f64 - wanted).abs() < f64::EPSILON {
            lower = Some(f64::from(*value));
        }
    }
    lower
}
