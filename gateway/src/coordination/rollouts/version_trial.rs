//! Judges a new version by its answers.
//!
//! Covers versions that fail or become slow at once, later, under load or on one route only. Each
//! route is judged by its latest answers, compared with those of the previous version. A single
//! host sees few answers of a version on trial, so hosts report their counts to one another.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::coordination::rollouts::{ComparedAnswers, PaceSettings};
use crate::state::{AnswerGrade, GradeCounts, PaceCounts};

/// Greatest number of paces of the previous version that are remembered.
const MAX_BASELINE_PACES: usize = 64;
/// Number of paces of the previous version that are needed to grade an answer as slow.
const MIN_BASELINE_PACES: usize = 8;
/// Shortest predicted time that a pace is computed with.
const MIN_PREDICTION: Duration = Duration::from_millis(20);

/// Settings of the judgement.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TrialSettings {
    /// Number of a route's latest answers that count.
    pub window: usize,
    /// Failures that one host needs for a verdict; fewer may be chance.
    pub min_local_failures: u32,
    /// Failures that all hosts together need for a verdict.
    pub min_total_failures: u32,
    /// Share of failures that is needed for a verdict, in addition to twice that of the previous
    /// version.
    pub failure_share: f64,
    /// Slow answers that are needed for a verdict.
    pub min_slow_answers: u32,
    /// Share of slow answers that is needed for a verdict, in addition to one and a half times that
    /// of the previous version.
    pub slow_share: f64,
    /// Ratio of an answer's pace to the median pace of the previous version from which it is slow.
    /// A version on trial has cold caches, which alone makes it two to three times slower.
    pub slow_ratio: f64,
    /// Time to the first byte below which no answer is slow.
    pub slow_floor: Duration,
    /// Comparison of paces.
    pub pace: PaceSettings,
}

impl Default for TrialSettings {
    fn default() -> Self {
        Self {
            window: 16,
            min_local_failures: 3,
            min_total_failures: 5,
            failure_share: 0.15,
            min_slow_answers: 5,
            slow_share: 0.3,
            slow_ratio: 3.5,
            slow_floor: Duration::from_millis(150),
            pace: PaceSettings::default(),
        }
    }
}

/// The latest answers of a route, each with its server.
type LatestAnswers = VecDeque<(AnswerGrade, Arc<str>)>;

/// Returns the ratio of an answer's time to the predicted time. Very short predictions are raised
/// to `MIN_PREDICTION`, as they say too little to compare with.
fn pace(took: Duration, predicted: Duration) -> f64 {
    took.as_secs_f64() / predicted.max(MIN_PREDICTION).as_secs_f64()
}

/// Evidence on a new version.
#[derive(Clone, Debug, Default)]
pub struct VersionTrial {
    settings: TrialSettings,
    latest: BTreeMap<Arc<str>, LatestAnswers>,
    servers: BTreeSet<Arc<str>>,
    baseline_paces: VecDeque<f64>,
    baseline: GradeCounts,
    local: GradeCounts,
    remote: BTreeMap<SocketAddr, GradeCounts>,
    compared: ComparedAnswers,
    remote_paces: BTreeMap<SocketAddr, PaceCounts>,
}

impl VersionTrial {
    /// Creates a trial without evidence.
    pub fn new(settings: TrialSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Records how long an answer of the previous version took, against the time predicted for a
    /// typical server.
    pub fn record_baseline_pace(&mut self, took: Duration, predicted: Duration) {
        if self.baseline_paces.len() >= MAX_BASELINE_PACES {
            self.baseline_paces.pop_front();
        }
        self.baseline_paces.push_back(pace(took, predicted));
    }

    /// Grades an answer that is not a failure by its time to the first byte.
    pub fn grade(&self, took: Duration, predicted: Duration) -> AnswerGrade {
        let mut baseline_paces: Vec<f64> = self.baseline_paces.iter().copied().collect();
        if baseline_paces.len() < MIN_BASELINE_PACES || took < self.settings.slow_floor {
            return AnswerGrade::Good;
        }
        baseline_paces.sort_by(f64::total_cmp);
        let median = baseline_paces[baseline_paces.len() / 2];
        match pace(took, predicted) > median * self.settings.slow_ratio {
            true => AnswerGrade::Slow,
            false => AnswerGrade::Good,
        }
    }

    /// Records an answer of the previous version.
    pub fn record_baseline(&mut self, grade: AnswerGrade) {
        self.baseline.record(grade);
    }

    /// Records an answer of the new version.
    pub fn record_candidate(&mut self, route: &Arc<str>, server: &Arc<str>, grade: AnswerGrade) {
        self.local.record(grade);
        self.servers.insert(server.clone());
        let latest = self.latest.entry(route.clone()).or_default();
        latest.push_back((grade, server.clone()));
        if latest.len() > self.settings.window {
            latest.pop_front();
        }
    }

    /// Replaces the counts that another host reported.
    pub fn record_remote(&mut self, host: SocketAddr, counts: GradeCounts) {
        self.remote.insert(host, counts);
    }

    /// Records whether an answer of the new version was slow for its load.
    pub fn record_pace(&mut self, server: &Arc<str>, is_slow: bool) {
        let max_compared = self.settings.pace.max_compared;
        self.compared.record(server, is_slow, max_compared);
    }

    /// Replaces the counts by pace that another host reported.
    pub fn record_remote_paces(&mut self, host: SocketAddr, paces: PaceCounts) {
        self.remote_paces.insert(host, paces);
    }

    /// Returns the counts by pace of this host.
    pub fn local_paces(&self) -> PaceCounts {
        self.compared.counts()
    }

    /// Returns the counts by pace of all hosts.
    pub fn all_paces(&self) -> PaceCounts {
        let mut counts = self.local_paces();
        self.remote_paces
            .values()
            .for_each(|remote| counts.add(*remote));
        counts
    }

    /// Returns the counts of this host.
    pub fn local_counts(&self) -> GradeCounts {
        self.local
    }

    /// Returns whether the evidence shows that the version is bad.
    pub fn is_bad(&self) -> bool {
        self.latest.values().any(|latest| self.is_route_bad(latest))
            || self.is_bad_overall()
            || self.settings.pace.is_slow(self.all_paces())
    }

    /// Returns whether the latest answers of a route are bad.
    fn is_route_bad(&self, latest: &LatestAnswers) -> bool {
        let mut counts = GradeCounts::default();
        latest.iter().for_each(|(grade, _)| counts.record(*grade));
        let failing_servers: BTreeSet<&Arc<str>> = latest
            .iter()
            .filter(|(grade, _)| *grade == AnswerGrade::Failed)
            .map(|(_, server)| server)
            .collect();
        // If only one of several servers fails, the server is broken and not the version.
        let is_version_wide = failing_servers.len() > 1 || self.servers.len() == 1;
        let is_failing =
            is_version_wide && self.has_too_many_failures(counts, self.settings.min_local_failures);
        is_failing || self.has_too_many_slow(counts)
    }

    /// Returns whether the counts of all hosts together are bad.
    fn is_bad_overall(&self) -> bool {
        if self.remote.is_empty() {
            return false;
        }
        let mut counts = self.local;
        self.remote.values().for_each(|remote| counts.add(*remote));
        self.has_too_many_failures(counts, self.settings.min_total_failures)
            || self.has_too_many_slow(counts)
    }

    /// Returns whether there are too many failures, and at least `min_failures` of them.
    fn has_too_many_failures(&self, counts: GradeCounts, min_failures: u32) -> bool {
        let bound = self.settings.failure_share + 2.0 * self.baseline.failure_share();
        counts.failures >= min_failures && counts.failure_share() > bound
    }

    /// Returns whether there are too many slow answers.
    fn has_too_many_slow(&self, counts: GradeCounts) -> bool {
        let bound = self.settings.slow_share + 1.5 * self.baseline.slow_share();
        counts.slow >= self.settings.min_slow_answers && counts.slow_share() > bound
    }

    /// Summarizes the evidence for a log record.
    pub fn summary(&self) -> String {
        let (local, baseline, paces) = (self.local, self.baseline, self.all_paces());
        let settings = self.settings.pace;
        let ratio = paces.log_likelihood_ratio(settings.good_part, settings.bad_part);
        format!(
            "new: {} failed, {} slow of {}; before: {} failed, {} slow of {}; {} other hosts told; \
             paces: {} slow of {}, log likelihood ratio {:.1}, {} other hosts told",
            local.failures,
            local.slow,
            local.answers,
            baseline.failures,
            baseline.slow,
            baseline.answers,
            self.remote.len(),
            paces.slow,
            paces.answers,
            ratio,
            self.remote_paces.len()
        )
    }
}
