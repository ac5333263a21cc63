//! Sequential test of a version against its baseline, or against its own past.
//!
//! The false-alarm rate is divided evenly among six kinds of evidence, each of which is a
//! [`BettingTest`] of its own.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::coordination::betting_test::{BettingTest, EvidenceDigest};
use crate::state::{QualityOrigin, RolloutSpec, TaskName, TimePoint};

/// Number of kinds of evidence among which the false-alarm rate is divided.
const EVIDENCE_KINDS: f64 = 6.0;
/// Probability that a version that is no worse is ever suspected; at least the false-alarm rate.
const SUSPICION_RATE: f64 = 0.2;
/// Largest accepted rise of the error rate, as a fraction of attempts.
const TOLERATED_ERRORS: f64 = 0.01;
/// Largest accepted rise of the share of slow answers, as a fraction of answers.
const TOLERATED_SLOWNESS: f64 = 0.05;
/// Ratio of an answer's latency to the reference's mean above which the answer is slow.
const SLOW_RATIO: f64 = 2.0;
/// Reference answers of a task needed before its answers are classified as slow or low-rated.
const MIN_REFERENCE: u64 = 5;
/// Standard deviations below the reference's mean beyond which a rating is low, and very low.
const LOW_DEVIATIONS: [f64; 2] = [1.5, 3.0];
/// Accepted share of low ratings where the reference has none, as a fraction.
const LOW_RATE_FLOOR: f64 = 0.02;
/// Accepted share of low ratings on top of the floor, as a multiple of the reference's share.
const LOW_RATE_RATIO: f64 = 1.5;
/// Low ratings that the reference may lack by chance; the accepted share allows for them.
const MISSED_LOW_RATINGS: f64 = 3.0;
/// Number of ratings over which the recent mean of the reference averages.
const RECENT_MEMORY: f64 = 100.0;
/// Reference ratings of a task needed before ratings are compared with the recent mean.
const MIN_RECENT: u64 = 30;
/// Standard errors subtracted from the recent mean of the reference, as a safety margin.
const RECENT_ERRORS: f64 = 1.0;
/// Reference ratings of a task needed to tell which ratings are low.
const MIN_LOW_REFERENCE: u64 = 30;
/// Earlier answers needed as a reference when a version is compared with its own past.
const MIN_HISTORY: u64 = 200;
/// Number of reference answers over which a running mean averages.
const REFERENCE_MEMORY: f64 = 2_000.0;
/// Most candidate answers of one kind that wait for a reference answer; further ones are dropped.
const MAX_WAITING: usize = 64;

/// Side of the comparison that an answer belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TestArm {
    /// The version under test.
    Candidate,
    /// The version that the candidate is compared with.
    Baseline,
}

/// What is known of one answer. Parts that are not known yet are `None`.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Observation {
    /// Task of the request.
    pub task: TaskName,
    /// Rating, from 0 to 1.
    pub rating: Option<f64>,
    /// Whether the attempt failed.
    pub failed: Option<bool>,
    /// Time until the whole answer was delivered.
    pub latency: Option<Duration>,
}

/// Conclusion of the test on a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TestVerdict {
    /// The evidence against the version is not sufficient.
    Undecided,
    /// Ratings are lower than the reference's.
    WorseRatings,
    /// Low ratings are more frequent than the reference's.
    MoreLowRatings,
    /// Attempts fail more often than the reference's.
    MoreErrors,
    /// Answers are slow more often than the reference's.
    Slower,
}

/// Evidence of one host on a version, for all kinds of evidence.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TestDigest {
    /// Ratings, compared with single ratings of the reference.
    pub ratings: EvidenceDigest,
    /// Ratings, compared with the recent mean of the reference.
    pub recent_ratings: EvidenceDigest,
    /// Frequency of low and of very low ratings.
    pub low_ratings: [EvidenceDigest; LOW_DEVIATIONS.len()],
    /// Frequency of failed attempts.
    pub errors: EvidenceDigest,
    /// Frequency of slow answers.
    pub latency: EvidenceDigest,
}

/// Settings of a sequential test.
#[derive(Clone, Debug, PartialEq)]
pub struct TestSettings {
    /// Entry host that gathers the evidence.
    pub origin: QualityOrigin,
    /// Largest accepted loss of mean rating.
    pub tolerated_loss: f64,
    /// Probability that a version that is no worse is ever found worse.
    pub false_alarm_rate: f64,
    /// Whether the version is compared with its own past instead of a baseline.
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

/// Running mean that becomes an exponential moving average over [`REFERENCE_MEMORY`] values.
#[derive(Clone, Copy, Debug, Default)]
struct RunningMean {
    count: u64,
    mean: f64,
}

impl RunningMean {
    fn add(&mut self, value: f64) {
        self.count += 1;
        self.mean += (value - self.mean) / (self.count as f64).min(REFERENCE_MEMORY);
    }
}

/// Statistics of a task's reference ratings, by which low ratings are recognised.
#[derive(Clone, Copy, Debug, Default)]
struct LowReference {
    ratings: RunningMean,
    squares: RunningMean,
    low: [RunningMean; LOW_DEVIATIONS.len()],
    recent: f64,
}

impl LowReference {
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

    fn deviation(&self) -> f64 {
        let mean = self.ratings.mean;
        (self.squares.mean - mean * mean).max(0.0).sqrt()
    }

    /// Returns the bounds below which a rating is low, and very low.
    fn bounds(&self) -> [f64; LOW_DEVIATIONS.len()] {
        let deviation = self.deviation();
        LOW_DEVIATIONS.map(|times| self.ratings.mean - times * deviation)
    }

    /// Returns the accepted shares of low and of very low ratings.
    fn accepted_rates(&self) -> [f64; LOW_DEVIATIONS.len()] {
        let missed = MISSED_LOW_RATINGS / self.ratings.count.max(1) as f64;
        self.low
            .map(|low| (LOW_RATE_FLOOR + missed + LOW_RATE_RATIO * low.mean).min(0.5))
    }

    /// Returns a low estimate of the recent mean.
    fn cautious_mean(&self) -> f64 {
        // A moving average over n values has the variance of a mean over about 2n values.
        let counted = (self.ratings.count as f64).min(2.0 * RECENT_MEMORY);
        self.recent - RECENT_ERRORS * self.deviation() / counted.sqrt()
    }
}

/// Reference values of one kind of evidence.
#[derive(Clone, Debug, Default)]
struct Reference {
    /// Mean of all reference values; used when a version is compared with its own past.
    mean: RunningMean,
    /// Mean of the reference values since the last comparison.
    fresh: RunningMean,
    /// Candidate values that wait for a reference value.
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

    /// Adds an answer to the evidence and returns the conclusion.
    ///
    /// ```
    /// use galenamast::coordination::{Observation, TestArm, TestVerdict, VersionTest};
    /// use galenamast::state::TimePoint;
    ///
    /// let mut test = VersionTest::new(Default::default(), TimePoint::ZERO);
    /// let good = Observation { rating: Some(0.9), ..Default::default() };
    /// let bad = Observation { rating: Some(0.2), ..Default::default() };
    /// let mut verdict = TestVerdict::Undecided;
    /// for _ in 0..100 {
    ///     test.observe(TestArm::Baseline, &good, TimePoint::ZERO);
    ///     verdict = test.observe(TestArm::Candidate, &bad, TimePoint::ZERO);
    /// }
    /// assert_eq!(verdict, TestVerdict::WorseRatings);
    /// ```
    pub fn observe(
        &mut self,
        arm: TestArm,
        observation: &Observation,
        now: TimePoint,
    ) -> TestVerdict {
        let past = self.settings.against_past;
        if let Some(rating) = observation.rating {
            let reference = self
                .rating_references
                .entry(observation.task.clone())
                .or_default();
            add_value(&mut self.ratings, reference, arm, rating, past, now);
            self.observe_low(arm, &observation.task, rating, now);
        }
        if let Some(failed) = observation.failed {
            let success = f64::from(!failed);
            let reference = &mut self.error_reference;
            add_value(&mut self.errors, reference, arm, success, past, now);
        }
        if let Some(latency) = observation.latency {
            self.observe_latency(arm, &observation.task, latency.as_secs_f64(), now);
        }
        self.verdict()
    }

    /// Adds a rating to the tests on low ratings and on the recent mean.
    fn observe_low(&mut self, arm: TestArm, task: &TaskName, rating: f64, now: TimePoint) {
        let past = self.settings.against_past;
        let reference = self.low_references.entry(task.clone()).or_default();
        let needed = if past { MIN_HISTORY } else { MIN_LOW_REFERENCE };
        if arm == TestArm::Candidate && reference.ratings.count >= needed {
            let levels = reference
                .bounds()
                .into_iter()
                .zip(reference.accepted_rates());
            for (test, (bound, accepted)) in self.low_ratings.iter_mut().zip(levels) {
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

    /// Adds a latency to the test on slow answers.
    fn observe_latency(&mut self, arm: TestArm, task: &TaskName, seconds: f64, now: TimePoint) {
        let past = self.settings.against_past;
        let mean = self.latency_means.entry(task.clone()).or_default();
        let is_fast = seconds <= SLOW_RATIO * mean.mean || mean.count < MIN_REFERENCE;
        if arm == TestArm::Baseline || (past && is_fast) {
            mean.add(seconds);
        }
        let reference = self.slow_references.entry(task.clone()).or_default();
        let value = f64::from(is_fast);
        add_value(&mut self.latency, reference, arm, value, past, now);
    }

    /// Returns the conclusion at the configured false-alarm rate.
    pub fn verdict(&self) -> TestVerdict {
        self.verdict_at(self.settings.false_alarm_rate)
    }

    /// Returns whether there is evidence against the version, even if it is not sufficient.
    pub fn is_suspect(&self) -> bool {
        let rate = SUSPICION_RATE.max(self.settings.false_alarm_rate);
        self.verdict_at(rate) != TestVerdict::Undecided
    }

    /// Returns the conclusion at a given false-alarm rate.
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

    /// Returns the number of candidate ratings that were compared with the reference.
    pub fn compared_ratings(&self) -> u64 {
        self.ratings.count()
    }

    /// Returns the natural logarithm of the evidence on ratings.
    pub fn log_evidence(&self) -> f64 {
        self.ratings.log_evidence()
    }

    /// Returns the evidence gathered by this host, to send to other hosts.
    pub fn digest(&self) -> TestDigest {
        TestDigest {
            ratings: self.ratings.digest(),
            recent_ratings: self.recent_ratings.digest(),
            low_ratings: self.low_ratings.each_ref().map(BettingTest::digest),
            errors: self.errors.digest(),
            latency: self.latency.digest(),
        }
    }

    /// Merges another host's evidence and returns the conclusion.
    ///
    /// Digests may arrive repeatedly and in any order.
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

/// Adds a value to a test.
///
/// A candidate value is compared with the reference, and a baseline value becomes part of it. If a
/// version is compared with its own past, each value is compared with the mean of the earlier ones
/// and then becomes part of that mean.
fn add_value(
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
        // Each reference value is used only once, which keeps the comparisons independent.
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
