//! The judgement of a new version from its answers.
//!
//! Answers versions that fail or slow down at once, later, under load or on one route only. Each
//! route is judged by its latest answers, compared with those of the version before. One host of
//! many sees few answers of an unproven version, so that hosts tell one another what they saw.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::state::{AnswerGrade, GradeCounts};

/// Answers of the version before whose pace is remembered.
const REMEMBERED_PACES: usize = 64;
/// Answers of the version before that are needed to call another one slow.
const LEAST_PACES: usize = 8;
/// Shortest prediction that a pace is measured against.
const LEAST_PREDICTION: Duration = Duration::from_millis(20);

/// Settings of the judgement.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TrialSettings {
    /// Latest answers of a route that count.
    pub window: usize,
    /// Failures that one host needs for a verdict; fewer may be chance.
    pub own_failures: u32,
    /// Failures that all hosts together need for a verdict.
    pub told_failures: u32,
    /// Share of failures that is needed, beyond twice that of the version before.
    pub failure_share: f64,
    /// Slow answers that are needed for a verdict.
    pub slow_answers: u32,
    /// Share of slow answers that is needed, beyond one and a half times that of the version before.
    pub slow_share: f64,
    /// Pace, against the median of the version before, from which an answer is slow. A version on
    /// trial has read nothing yet, which alone makes it two to three times slower.
    pub slow_ratio: f64,
    /// Time to the first byte below which no answer is slow.
    pub slow_floor: Duration,
}

impl Default for TrialSettings {
    fn default() -> Self {
        Self {
            window: 16,
            own_failures: 3,
            told_failures: 5,
            failure_share: 0.15,
            slow_answers: 5,
            slow_share: 0.3,
            slow_ratio: 3.5,
            slow_floor: Duration::from_millis(150),
        }
    }
}

/// The latest answers of a route.
type LatestAnswers = VecDeque<(AnswerGrade, Arc<str>)>;

/// Returns a time against the predicted one; very short predictions say little.
fn pace(took: Duration, predicted: Duration) -> f64 {
    took.as_secs_f64() / predicted.max(LEAST_PREDICTION).as_secs_f64()
}

/// Evidence about a new version.
#[derive(Clone, Debug, Default)]
pub struct VersionTrial {
    settings: TrialSettings,
    latest: BTreeMap<Arc<str>, LatestAnswers>,
    servers: BTreeSet<Arc<str>>,
    paces: VecDeque<f64>,
    base: GradeCounts,
    own: GradeCounts,
    told: BTreeMap<SocketAddr, GradeCounts>,
}

impl VersionTrial {
    /// Creates a trial without evidence.
    pub fn new(settings: TrialSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Takes in how long an answer of the version before took against what an ordinary server was
    /// predicted to take.
    pub fn record_baseline_pace(&mut self, took: Duration, predicted: Duration) {
        if self.paces.len() >= REMEMBERED_PACES {
            self.paces.pop_front();
        }
        self.paces.push_back(pace(took, predicted));
    }

    /// Grades an answer that is no failure by its time to the first byte.
    pub fn grade(&self, took: Duration, predicted: Duration) -> AnswerGrade {
        let mut paces: Vec<f64> = self.paces.iter().copied().collect();
        if paces.len() < LEAST_PACES || took < self.settings.slow_floor {
            return AnswerGrade::Good;
        }
        paces.sort_by(f64::total_cmp);
        let usual = paces[paces.len() / 2];
        match pace(took, predicted) > usual * self.settings.slow_ratio {
            true => AnswerGrade::Slow,
            false => AnswerGrade::Good,
        }
    }

    /// Takes in an answer of the version before.
    pub fn record_baseline(&mut self, grade: AnswerGrade) {
        self.base.note(grade);
    }

    /// Takes in an answer of the new version.
    pub fn record_candidate(&mut self, route: &Arc<str>, server: &Arc<str>, grade: AnswerGrade) {
        self.own.note(grade);
        self.servers.insert(server.clone());
        let latest = self.latest.entry(route.clone()).or_default();
        latest.push_back((grade, server.clone()));
        if latest.len() > self.settings.window {
            latest.pop_front();
        }
    }

    /// Takes in what another host has counted so far.
    pub fn record_remote(&mut self, host: SocketAddr, counts: GradeCounts) {
        self.told.insert(host, counts);
    }

    /// Returns what this host has counted.
    pub fn own_counts(&self) -> GradeCounts {
        self.own
    }

    /// Returns whether the evidence says that the version is bad.
    pub fn is_bad(&self) -> bool {
        self.latest.values().any(|latest| self.is_route_bad(latest)) || self.is_told_bad()
    }

    /// Returns whether the latest answers of a route are bad.
    fn is_route_bad(&self, latest: &LatestAnswers) -> bool {
        let mut counts = GradeCounts::default();
        latest.iter().for_each(|(grade, _)| counts.note(*grade));
        let failing: BTreeSet<&Arc<str>> = latest
            .iter()
            .filter(|(grade, _)| *grade == AnswerGrade::Failed)
            .map(|(_, server)| server)
            .collect();
        // One failing server of several is a broken server, not a bad version.
        let is_spread = failing.len() > 1 || self.servers.len() == 1;
        let fails = is_spread && self.fails(counts, self.settings.own_failures);
        fails || self.is_slow(counts)
    }

    /// Returns whether what all hosts counted is bad.
    fn is_told_bad(&self) -> bool {
        if self.told.is_empty() {
            return false;
        }
        let mut counts = self.own;
        self.told.values().for_each(|told| counts.add(*told));
        self.fails(counts, self.settings.told_failures) || self.is_slow(counts)
    }

    /// Returns whether counts hold too many failures.
    fn fails(&self, counts: GradeCounts, least: u32) -> bool {
        let bound = self.settings.failure_share + 2.0 * self.base.failure_share();
        counts.failures >= least && counts.failure_share() > bound
    }

    /// Returns whether counts hold too many slow answers.
    fn is_slow(&self, counts: GradeCounts) -> bool {
        let bound = self.settings.slow_share + 1.5 * self.base.slow_share();
        counts.slow >= self.settings.slow_answers && counts.slow_share() > bound
    }

    /// Tells the evidence in a log line.
    pub fn summary(&self) -> String {
        let (own, base) = (self.own, self.base);
        format!(
            "new: {} failed, {} slow of {}; before: {} failed, {} slow of {}; {} other hosts told",
            own.failures,
            own.slow,
            own.answers,
            base.failures,
            base.slow,
            base.answers,
            self.told.len()
        )
    }
}
