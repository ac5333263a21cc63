//! The sequential test of a version against its baseline, or against its own past.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::coordination::betting_test::{BettingTest, EvidenceDigest};
use crate::state::{QualityOrigin, RolloutSpec, TaskName, TimePoint};

/// Kinds of evidence among which the false-alarm rate is divided.
const EVIDENCE_KINDS: f64 = 6.0;
/// Chance that a version that is no worse is ever suspected.
const SUSPICION_RATE: f64 = 0.2;
/// Greatest rise of the error rate that is accepted.
const TOLERATED_ERRORS: f64 = 0.01;
/// Greatest rise of the share of slow answers that is accepted.
const TOLERATED_SLOWNESS: f64 = 0.05;
/// Latency relative to the reference's mean from which an answer is slow.
const SLOW_RATIO: f64 = 2.0;
/// Reference answers of a task that are needed before its answers are judged.
const MIN_REFERENCE: u64 = 5;
/// Standard deviations below the reference's mean from which a rating is low, and very low.
const LOW_DEVIATIONS: [f64; 2] = [1.5, 3.0];
/// Share of low ratings that is accepted: a floor and a multiple of the reference's.
const LOW_RATE_FLOOR: f64 = 0.02;
const LOW_RATE_RATIO: f64 = 1.5;
/// Low ratings that may have been missed by chance among those of the reference.
const MISSED_LOW_RATINGS: f64 = 3.0;
/// Ratings that the recent mean of the reference remembers, and those it needs.
const RECENT_MEMORY: f64 = 100.0;
const MIN_RECENT: u64 = 30;
/// Standard errors by which the recent mean of the reference is taken to be too high.
const RECENT_ERRORS: f64 = 1.0;
/// Reference ratings of a task that are needed to tell which ratings are low.
const MIN_LOW_REFERENCE: u64 = 30;
/// Own answers of a task that are needed as a reference for a version's later ones.
const MIN_HISTORY: u64 = 200;
/// Reference answers that a mean remembers.
const REFERENCE_MEMORY: f64 = 2_000.0;
/// Answers of the subject that wait for a reference at most.
const MAX_WAITING: usize = 64;

/// Side of a comparison that an answer belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TestArm {
    /// The version under test.
    Candidate,
    /// The version that it is compared with.
    Baseline,
}

/// What was seen of one answer; each part may be known or not.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Observation {
    /// Task of the request.
    pub task: TaskName,
    /// Rating from 0 to 1.
    pub rating: Option<f64>,
    /// Whether the attempt failed.
    pub failed: Option<bool>,
    /// Latency of the whole answer.
    pub latency: Option<Duration>,
}

/// What the evidence says of a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TestVerdict {
    /// There is no sufficient evidence against the version.
    Undecided,
    /// Ratings are worse than the reference's.
    WorseRatings,
    /// Low ratings are more frequent than the reference's.
    MoreLowRatings,
    /// Attempts fail more often than the reference's.
    MoreErrors,
    /// Answers are slow more often than the reference's.
    Slower,
}

/// Evidence of one host on the three kinds of harm.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TestDigest {
    /// Evidence on ratings.
    pub ratings: EvidenceDigest,
    /// Evidence on ratings against the recent mean of the reference.
    pub recent_ratings: EvidenceDigest,
    /// Evidence on low ratings, by degree.
    pub low_ratings: [EvidenceDigest; LOW_DEVIATIONS.len()],
    /// Evidence on errors.
    pub errors: EvidenceDigest,
    /// Evidence on latency.
    pub latency: EvidenceDigest,
}

/// Settings of a sequential test.
#[derive(Clone, Debug, PartialEq)]
pub struct TestSettings {
    /// Entry host that observes.
    pub origin: QualityOrigin,
    /// Greatest loss of mean rating that is accepted.
    pub tolerated_loss: f64,
    /// Chance that a version that is no worse is ever found worse.
    pub false_alarm_rate: f64,
    /// Whether a version is compared with its own past instead of a baseline.
    pub against_past: bool,
}

impl Default for TestSettings {
    fn default() -> Self {
        let rollout = RolloutSpec::default();
        Self {
            origin: QualityOrigin::default(),
            tolerated_loss: rollout.tolerated_loss,
            false_alarm_rate: rollout.false_alarm_rate,
            against_past: false,
        }
    }
}

/// Running mean with bounded memory.
#[derive(Clone, Copy, Debug, Default)]
struct RunningMean {
    count: u64,
    mean: f64,
}

impl RunningMean {
    /// Adds a value.
    fn add(&mut self, value: f64) {
        self.count += 1;
        self.mean += (value - self.mean) / (self.count as f64).min(REFERENCE_MEMORY);
    }
}

/// What tells which ratings of a task are low.
#[derive(Clone, Copy, Debug, Default)]
struct LowReference {
    ratings: RunningMean,
    squares: RunningMean,
    low: [RunningMean; LOW_DEVIATIONS.len()],
    recent: f64,
}

impl LowReference {
    /// Adds a rating.
    fn add(&mut self, rating: f64) {
        if self.ratings.count >= MIN_REFERENCE {
            let is_low = self.bounds().map(|bound| rating < bound);
            for (low, is_low) in self.low.iter_mut().zip(is_low) {
                low.add(f64::from(is_low));
            }
        }
        self.ratings.add(rating);
        self.squares.add(rating * rating);
        self.recent += (rating - self.recent) / (self.ratings.count as f64).min(RECENT_MEMORY);
    }

    /// Returns the standard deviation of the ratings.
    fn deviation(&self) -> f64 {
        let mean = self.ratings.mean;
        (self.squares.mean - mean * mean).max(0.0).sqrt()
    }

    /// Returns the ratings below which a rating is low, for each degree.
    fn bounds(&self) -> [f64; LOW_DEVIATIONS.len()] {
        let deviation = self.deviation();
        LOW_DEVIATIONS.map(|times| self.ratings.mean - times * deviation)
    }

    /// Returns the shares of low ratings that are accepted, for each degree.
    fn accepted_rates(&self) -> [f64; LOW_DEVIATIONS.len()] {
        let missed = MISSED_LOW_RATINGS / self.ratings.count.max(1) as f64;
        self.low
            .map(|low| (LOW_RATE_FLOOR + missed + LOW_RATE_RATIO * low.mean).min(0.5))
    }

    /// Returns a cautious estimate of the recent mean.
    fn cautious_mean(&self) -> f64 {
        // A moving average over n values has the variance of a mean over about 2n values.
        let counted = (self.ratings.count as f64).min(2.0 * RECENT_MEMORY);
        self.recent - RECENT_ERRORS * self.deviation() / counted.sqrt()
    }
}

/// Reference of one kind of evidence for one task.
#[derive(Clone, Debug, Default)]
struct Reference {
    /// Mean of the reference.
    mean: RunningMean,
    /// Values since the last comparison.
    fresh: RunningMean,
    /// Values of the subject that wait for a reference.
    waiting: Vec<f64>,
}

/// Sequential test of one version.
#[derive(Clone, Debug)]
pub struct VersionTest {
    settings: TestSettings,
    ratings: BettingTest,
    recent_ratings: BettingTest,
    low_ratings: [BettingTest; LOW_DEVIATIONS.len()],
    errors: BettingTest,
    latency: BettingTest,
    rating_references: BTreeMap<TaskName, Reference>,
    low_references: BTreeMap<TaskName, LowReference>,
    error_reference: Reference,
    latency_means: BTreeMap<TaskName, RunningMean>,
    slow_references: BTreeMap<TaskName, Reference>,
}

impl VersionTest {
    /// Creates a test without evidence.
    pub fn new(settings: TestSettings, now: TimePoint) -> Self {
        let test = |loss| BettingTest::new(settings.origin.clone(), loss, now);
        Self {
            ratings: test(settings.tolerated_loss),
            recent_ratings: test(settings.tolerated_loss),
            low_ratings: LOW_DEVIATIONS.map(|_| test(0.0)),
            errors: test(TOLERATED_ERRORS),
            latency: test(TOLERATED_SLOWNESS),
            rating_references: BTreeMap::new(),
            low_references: BTreeMap::new(),
            error_reference: Reference::default(),
            latency_means: BTreeMap::new(),
            slow_references: BTreeMap::new(),
            settings,
        }
    }

    /// Takes in an answer and returns what the evidence says.
    ///
    /// ```
    /// use galenamast::coordination::{Observation, RolloutTest, TestArm, TestVerdict};
    /// use galenamast::state::TimePoint;
    ///
    /// let mut test = RolloutTest::new(Default::default(), TimePoint::ZERO);
    /// let good = Observation { rating: Some(0.9), ..Default::default() };
    /// let bad = Observation { rating: Some(0.2), ..Default::default() };
    /// let mut verdict = TestVerdict::Undecided;
    /// for _ in 0..100 {
    ///     test.observe(TestArm::Baseline, &good, TimePoint::ZERO);
    ///     verdict = test.observe(TestArm::Candidate, &bad, TimePoint::ZERO);
    /// }
    /// assert_eq!(verdict, TestVerdict::WorseRatings);
    /// ```
    pub fn observe(&mut self, arm: TestArm, seen: &Observation, now: TimePoint) -> TestVerdict {
        let past = self.settings.against_past;
        if let Some(rating) = seen.rating {
            let reference = self.rating_references.entry(seen.task.clone()).or_default();
            compare(&mut self.ratings, reference, arm, rating, past, now);
            self.observe_low(arm, &seen.task, rating, now);
        }
        if let Some(failed) = seen.failed {
            let success = f64::from(!failed);
            let reference = &mut self.error_reference;
            compare(&mut self.errors, reference, arm, success, past, now);
        }
        if let Some(latency) = seen.latency {
            self.observe_latency(arm, &seen.task, latency.as_secs_f64(), now);
        }
        self.verdict()
    }

    /// Takes in whether a rating is low for its task.
    fn observe_low(&mut self, arm: TestArm, task: &TaskName, rating: f64, now: TimePoint) {
        let past = self.settings.against_past;
        let reference = self.low_references.entry(task.clone()).or_default();
        let needed = if past { MIN_HISTORY } else { MIN_LOW_REFERENCE };
        if arm == TestArm::Candidate && reference.ratings.count >= needed {
            let judged = reference
                .bounds()
                .into_iter()
                .zip(reference.accepted_rates());
            for (test, (bound, accepted)) in self.low_ratings.iter_mut().zip(judged) {
                test.observe_event(rating < bound, accepted, now);
            }
        }
        if arm == TestArm::Candidate && !past && reference.ratings.count >= MIN_RECENT {
            let mean = reference.cautious_mean();
            self.recent_ratings.observe_below(rating, mean, now);
        }
        if arm == TestArm::Baseline || past {
            reference.add(rating);
        }
    }

    /// Takes in the latency of an answer.
    fn observe_latency(&mut self, arm: TestArm, task: &TaskName, seconds: f64, now: TimePoint) {
        let past = self.settings.against_past;
        let mean = self.latency_means.entry(task.clone()).or_default();
        let prompt = seconds <= SLOW_RATIO * mean.mean || mean.count < MIN_REFERENCE;
        if arm == TestArm::Baseline || (past && prompt) {
            mean.add(seconds);
        }
        let reference = self.slow_references.entry(task.clone()).or_default();
        let value = f64::from(prompt);
        compare(&mut self.latency, reference, arm, value, past, now);
    }

    /// Returns what the evidence says.
    pub fn verdict(&self) -> TestVerdict {
        self.verdict_at(self.settings.false_alarm_rate)
    }

    /// Returns whether there is some evidence against the version, though it may not suffice.
    pub fn is_suspect(&self) -> bool {
        let rate = SUSPICION_RATE.max(self.settings.false_alarm_rate);
        self.verdict_at(rate) != TestVerdict::Undecided
    }

    /// Returns what the evidence says at a false-alarm rate.
    fn verdict_at(&self, rate: f64) -> TestVerdict {
        let threshold = (EVIDENCE_KINDS / rate).ln();
        let [low, very_low] = &self.low_ratings;
        let kinds = [
            (&self.ratings, TestVerdict::WorseRatings),
            (&self.recent_ratings, TestVerdict::WorseRatings),
            (low, TestVerdict::MoreLowRatings),
            (very_low, TestVerdict::MoreLowRatings),
            (&self.errors, TestVerdict::MoreErrors),
            (&self.latency, TestVerdict::Slower),
        ];
        for (test, verdict) in kinds {
            if test.reaches(threshold) {
                return verdict;
            }
        }
        TestVerdict::Undecided
    }

    /// Returns the number of rated answers of the candidate that were judged.
    pub fn judged_ratings(&self) -> u64 {
        self.ratings.count()
    }

    /// Returns the logarithm of the evidence on ratings.
    pub fn log_evidence(&self) -> f64 {
        self.ratings.log_evidence()
    }

    /// Returns this host's evidence.
    pub fn digest(&self) -> TestDigest {
        TestDigest {
            ratings: self.ratings.digest(),
            recent_ratings: self.recent_ratings.digest(),
            low_ratings: self.low_ratings.each_ref().map(BettingTest::digest),
            errors: self.errors.digest(),
            latency: self.latency.digest(),
        }
    }

    /// Merges another host's evidence; repeats and reordering do no harm.
    pub fn merge(&mut self, digest: &TestDigest, now: TimePoint) -> TestVerdict {
        self.ratings.merge(&digest.ratings, now);
        self.recent_ratings.merge(&digest.recent_ratings, now);
        for (test, digest) in self.low_ratings.iter_mut().zip(&digest.low_ratings) {
            test.merge(digest, now);
        }
        self.errors.merge(&digest.errors, now);
        self.latency.merge(&digest.latency, now);
        self.verdict()
    }
}

/// Compares a value with the reference, or adds it to the reference.
fn compare(
    test: &mut BettingTest,
    reference: &mut Reference,
    arm: TestArm,
    value: f64,
    against_past: bool,
    now: TimePoint,
) {
    if against_past {
        if reference.mean.count >= MIN_HISTORY {
            test.observe(value, reference.mean.mean, now);
        }
        reference.mean.add(value);
        return;
    }
    if arm == TestArm::Baseline {
        // A reference value is used once, so that the comparisons stay independent.
        match reference.waiting.pop() {
            Some(waiting) => test.observe(waiting, value, now),
            None => reference.fresh.add(value),
        }
        return;
    }
    if reference.fresh.count == 0 {
        if reference.waiting.len() < MAX_WAITING {
            reference.waiting.push(value);
        }
        return;
    }
    test.observe(value, reference.fresh.mean, now);
    reference.fresh = RunningMean::default();
}
