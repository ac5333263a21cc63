//! The judgement of a new version from its answers.
//!
//! Answers versions that fail or slow down at once, later, under load or on one route only: each
//! route is judged by its latest answers, compared with those of the version before.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

/// Settings of the judgement.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TrialSettings {
    /// Latest answers of a route that count.
    pub window: usize,
    /// Bad answers that are needed for a verdict; fewer may be chance.
    pub least_bad: usize,
    /// Share of bad answers that is needed, above that of the version before.
    pub least_share: f64,
    /// Time to the first byte, against the usual, from which an answer counts as bad.
    pub slow_ratio: f64,
    /// Time to the first byte below which no answer counts as slow.
    pub slow_floor: Duration,
}

impl Default for TrialSettings {
    fn default() -> Self {
        Self {
            window: 12,
            least_bad: 3,
            least_share: 0.25,
            slow_ratio: 4.0,
            slow_floor: Duration::from_millis(400),
        }
    }
}

/// Evidence about a new version.
#[derive(Clone, Debug, Default)]
pub struct VersionTrial {
    settings: TrialSettings,
    latest: BTreeMap<Arc<str>, VecDeque<bool>>,
    base_answers: u32,
    base_bad: u32,
    answers: u32,
    bad: u32,
}

impl VersionTrial {
    /// Creates a trial without evidence.
    pub fn new(settings: TrialSettings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// Takes in an answer of the version before.
    pub fn note_base(&mut self, is_bad: bool) {
        self.base_answers += 1;
        self.base_bad += u32::from(is_bad);
    }

    /// Takes in an answer of the new version.
    pub fn note_new(&mut self, route: &Arc<str>, is_bad: bool) {
        self.answers += 1;
        self.bad += u32::from(is_bad);
        let latest = self.latest.entry(route.clone()).or_default();
        latest.push_back(is_bad);
        if latest.len() > self.settings.window {
            latest.pop_front();
        }
    }

    /// Returns whether a time to the first byte counts as bad against the usual one.
    pub fn is_slow(&self, took: Duration, usual: Option<Duration>) -> bool {
        usual.is_some_and(|usual| {
            took > self.settings.slow_floor && took > usual.mul_f64(self.settings.slow_ratio)
        })
    }

    /// Returns whether the evidence says that the version is bad.
    pub fn is_bad(&self) -> bool {
        let base_share = f64::from(self.base_bad) / f64::from(self.base_answers.max(1));
        self.latest.values().any(|latest| {
            let bad = latest.iter().filter(|is_bad| **is_bad).count();
            let share = bad as f64 / latest.len().max(1) as f64;
            bad >= self.settings.least_bad && share > base_share * 2.0 + self.settings.least_share
        })
    }

    /// Tells the evidence in a log line.
    pub fn summary(&self) -> String {
        format!(
            "{} bad of {} new, {} bad of {} before",
            self.bad, self.answers, self.base_bad, self.base_answers
        )
    }
}
