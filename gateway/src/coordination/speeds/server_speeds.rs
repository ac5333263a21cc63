//! The lasting speed of each server, relative to a typical one of its service.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::Bound;
use std::sync::Arc;

use galenamast::state::TimePoint;

use crate::coordination::placement::short_server_id;
use crate::coordination::rollouts::AnswerPace;
use crate::coordination::speeds::server_evidence::{ServerEvidence, SpeedEstimate};
use crate::coordination::speeds::{SpeedReport, SpeedSettings, TypicalPaces};

/// Samples of this host for each server of a service from which their scatter is known. Fewer are too
/// close to the estimates, which they determine.
const MIN_SCATTER_SAMPLES: usize = 3;
/// Most requests in flight at a server that are believed; one senseless load report would otherwise
/// determine how paces depend on the load. Servers run tens of requests.
const MAX_LOAD: u32 = 4_096;
/// Ratio of the standard deviation to the median deviation in a normal distribution.
const DEVIATION_PER_MEDIAN: f64 = 1.48;
/// Ratio of the standard error of the median to that of the mean in a normal distribution.
const MEDIAN_ERROR: f64 = 1.25;

/// A considerable change of a server's factor.
#[derive(Clone, Debug, PartialEq)]
pub struct SpeedChange {
    /// Identifier of the server.
    pub server: Arc<str>,
    /// Factor when a change was last returned.
    pub from: f64,
    /// Factor from now on.
    pub to: f64,
    /// Samples of all hosts that it rests on.
    pub samples: usize,
}

/// How far a server deviates from the typical one of its service.
#[derive(Clone, Copy, Debug)]
struct SpeedDeviation {
    server: u32,
    log_ratio: f64,
    // Standard error of `log_ratio`.
    error: f64,
    // Whether 70 % of the samples deviate in the same direction, each by the smallest effect.
    is_agreed: bool,
}

/// The speeds of all listed servers, from this host's samples and other hosts' reports.
#[derive(Clone, Debug, Default)]
pub struct ServerSpeeds {
    settings: SpeedSettings,
    typical: TypicalPaces,
    evidence: BTreeMap<u32, ServerEvidence>,
    // Logarithms of the factors that are in effect; servers with the factor 1 are absent, so that
    // a look-up costs nothing in a deployment with even servers.
    effects: BTreeMap<u32, f64>,
    // Server after which the next datagram begins.
    cursor: u32,
}

impl ServerSpeeds {
    /// Creates speeds without servers.
    pub fn new(settings: SpeedSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Begins the record of a server that was listed or started again; what was known is dropped.
    pub fn record_start(&mut self, server: &Arc<str>, service: &Arc<str>, started_ms: Option<u64>) {
        let short = short_server_id(server);
        let start = start_check(started_ms);
        let evidence = ServerEvidence::new(server.clone(), service.clone(), start);
        self.evidence.insert(short, evidence);
        self.effects.remove(&short);
    }

    /// Drops a server that is gone.
    pub fn forget(&mut self, server: &str) {
        let short = short_server_id(server);
        self.evidence.remove(&short);
        self.effects.remove(&short);
    }

    /// Records the pace of an answer to a kind of request. Only paces of the same service and kind are
    /// compared, each with what is typical under the same load.
    pub fn record(&mut self, server: &Arc<str>, kind: &Arc<str>, pace: AnswerPace, now: TimePoint) {
        let settings = self.settings;
        let Some(evidence) = self.evidence.get_mut(&short_server_id(server)) else {
            return;
        };
        let AnswerPace { seconds, load } = pace;
        if !seconds.is_normal() || seconds < 0.0 || load > MAX_LOAD {
            return;
        }
        if let Some(kind) = self.typical.kind(&evidence.service, kind) {
            evidence.record(kind, load, seconds, &settings, now);
        }
    }

    /// Records the report of another host; returns false if it cannot be true. Reports of unknown
    /// servers and other starts are ignored.
    pub fn record_report(
        &mut self,
        peer: SocketAddr,
        report: &SpeedReport,
        now: TimePoint,
    ) -> bool {
        let settings = self.settings;
        if !report.is_plausible() {
            return false;
        }
        let evidence = self.evidence.get_mut(&report.server);
        if let Some(evidence) = evidence.filter(|evidence| evidence.start == report.start) {
            evidence.record_report(peer, report, &settings, now);
        }
        true
    }

    /// Returns the ratio of a server's time to that of a typical one; above 1 is slower.
    pub fn factor(&self, server: &str) -> f64 {
        if self.effects.is_empty() {
            return 1.0;
        }
        self.short_factor(short_server_id(server))
    }

    /// Returns the factor of a server by its short identifier.
    pub fn short_factor(&self, server: u32) -> f64 {
        self.effects.get(&server).map_or(1.0, |effect| effect.exp())
    }

    /// Computes all factors anew, and returns those that changed considerably. Called once a second.
    pub fn refresh(&mut self, now: TimePoint) -> Vec<SpeedChange> {
        let settings = self.settings;
        self.typical.clear();
        for evidence in self.evidence.values_mut() {
            evidence.drop_expired(settings.lifetime, now);
            evidence.add_to(&mut self.typical);
        }
        let mut estimates: BTreeMap<Arc<str>, Vec<(u32, SpeedEstimate)>> = BTreeMap::new();
        for (server, evidence) in &mut self.evidence {
            evidence.compare(&self.typical);
            let estimate = evidence.estimate(&settings, now);
            evidence.deviation = 0.0;
            if let Some(estimate) = estimate {
                let known = estimates.entry(evidence.service.clone()).or_default();
                known.push((*server, estimate));
            }
            if estimate.is_none_or(|estimate| estimate.samples < settings.min_samples) {
                self.effects.remove(server);
            }
        }
        let mut changes = Vec::new();
        for known in estimates.values() {
            let scatter = self.scatter(known);
            let sum: f64 = known.iter().map(|(_, estimate)| estimate.log_ratio).sum();
            let mean = sum / known.len() as f64;
            // Servers with few samples count for the mean, as they are often the slow ones.
            let is_enough = |estimate: &SpeedEstimate| estimate.samples >= settings.min_samples;
            let deviations: Vec<SpeedDeviation> = known
                .iter()
                .filter(|(_, estimate)| is_enough(estimate))
                .map(|(server, estimate)| SpeedDeviation {
                    server: *server,
                    log_ratio: estimate.log_ratio - mean,
                    error: MEDIAN_ERROR * scatter / estimate.independent.sqrt(),
                    is_agreed: estimate.agreed[0] - mean >= settings.min_effect
                        || mean - estimate.agreed[1] >= settings.min_effect,
                })
                .collect();
            let is_uneven = self.is_uneven(&deviations);
            let (min_errors, min_effect) = if is_uneven {
                (settings.min_errors_uneven, settings.min_effect_uneven)
            } else {
                (settings.min_errors, settings.min_effect)
            };
            for deviation in deviations {
                let bound = (min_errors * deviation.error).max(min_effect);
                self.update_effect(deviation, bound, is_uneven || deviation.is_agreed);
            }
        }
        for (server, evidence) in &mut self.evidence {
            let effect = self.effects.get(server).copied().unwrap_or(0.0);
            let ended = effect == 0.0 && evidence.logged != 0.0;
            if ended || (effect - evidence.logged).abs() >= settings.logged_change {
                let estimate = evidence.estimate(&settings, now);
                changes.push(SpeedChange {
                    server: evidence.id.clone(),
                    from: evidence.logged.exp(),
                    to: effect.exp(),
                    samples: estimate.map_or(0, |estimate| estimate.samples),
                });
                evidence.logged = effect;
            }
        }
        changes
    }

    /// Returns the reports for one of `hosts` other hosts, chosen at random by the caller.
    pub fn reports(&mut self, hosts: usize, now: TimePoint) -> Vec<SpeedReport> {
        let settings = self.settings;
        let mut reports = Vec::new();
        let cursor = self.cursor;
        let after = (Bound::Excluded(cursor), Bound::Unbounded);
        let rotated: Vec<u32> = {
            let rest = self.evidence.range(..=cursor);
            let servers = self.evidence.range(after).chain(rest);
            servers.map(|(server, _)| *server).collect()
        };
        for server in rotated {
            if reports.len() >= settings.max_announced {
                break;
            }
            let Some(evidence) = self.evidence.get_mut(&server) else {
                continue;
            };
            if let Some(report) = evidence.due_report(server, hosts, &settings, now) {
                reports.push(report);
                self.cursor = server;
            }
        }
        reports
    }

    /// Returns the standard deviation of this host's samples of a service's servers.
    fn scatter(&self, known: &[(u32, SpeedEstimate)]) -> f64 {
        let mut deviations: Vec<f64> = Vec::new();
        for (server, estimate) in known {
            if let Some(evidence) = self.evidence.get(server) {
                deviations.extend(evidence.deviations(estimate.log_ratio));
            }
        }
        if deviations.len() < MIN_SCATTER_SAMPLES * known.len() {
            return self.settings.min_scatter;
        }
        let middle = deviations.len() / 2;
        let (_, median, _) = deviations.select_nth_unstable_by(middle, f64::total_cmp);
        (*median * DEVIATION_PER_MEDIAN).max(self.settings.min_scatter)
    }

    /// Returns whether most servers of a service deviate by more than the scatter of samples explains.
    /// One server that deviates much does not make the others uneven.
    fn is_uneven(&self, deviations: &[SpeedDeviation]) -> bool {
        if deviations.len() < self.settings.min_uneven_servers {
            return false;
        }
        let errors = deviations.iter();
        let mut errors: Vec<f64> = errors
            .map(|deviation| deviation.log_ratio.abs() / deviation.error)
            .collect();
        let middle = errors.len() / 2;
        let (_, median, _) = errors.select_nth_unstable_by(middle, f64::total_cmp);
        *median > self.settings.uneven_errors
    }

    /// Updates the factor of a server, which takes effect from a deviation of `bound` if its samples are
    /// clear. Of few samples, disturbances may have affected half.
    fn update_effect(&mut self, deviation: SpeedDeviation, bound: f64, is_clear: bool) {
        let settings = self.settings;
        let SpeedDeviation {
            server, log_ratio, ..
        } = deviation;
        if let Some(evidence) = self.evidence.get_mut(&server) {
            evidence.deviation = log_ratio;
        }
        match self.effects.get(&server).copied() {
            Some(effect) if log_ratio * effect.signum() < bound / 2.0 => {
                self.effects.remove(&server);
            }
            Some(effect) if (log_ratio - effect).abs() < settings.min_change => {}
            Some(_) => {
                self.effects.insert(server, log_ratio);
            }
            None if is_clear && log_ratio.abs() >= bound => {
                self.effects.insert(server, log_ratio);
            }
            None => {}
        }
    }
}

/// Returns 8 bits that differ between most starts of a server.
fn start_check(started_ms: Option<u64>) -> u8 {
    // Multiplying by an odd number spreads starts on whole seconds over all values.
    let mixed = started_ms
        .unwrap_or_default()
        .wrapping_mul(0x9e37_79b9_7f4a_7c15);
    (mixed >> 56) as u8
}
