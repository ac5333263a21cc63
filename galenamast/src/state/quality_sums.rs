//! Sums of ratings and latencies, exact within a time bucket and weighted by age across buckets.

use serde::{Deserialize, Serialize};

/// Fixed-point scale of ratings, which keeps sums exact.
pub const RATING_SCALE: f64 = 1_000_000.0;

/// Sums over the answers of one time bucket.
///
/// Each sum only grows, so of two readings the greater one is the later.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QualitySums {
    /// Number of rated answers.
    pub rated: u64,
    /// Sum of ratings, in millionths.
    pub rating_sum: u64,
    /// Sum of squared ratings, in millionths.
    pub square_sum: u64,
    /// Number of answers whose latency was measured.
    pub timed: u64,
    /// Sum of latencies, in microseconds.
    pub latency_sum: u64,
}

impl QualitySums {
    /// Adds a rating from 0 to 1.
    pub fn add_rating(&mut self, rating: f64) {
        let rating = rating.clamp(0.0, 1.0);
        self.rated += 1;
        self.rating_sum += (rating * RATING_SCALE) as u64;
        self.square_sum += (rating * rating * RATING_SCALE) as u64;
    }

    /// Adds the latency of an answer.
    pub fn add_latency(&mut self, micros: u64) {
        self.timed += 1;
        self.latency_sum += micros;
    }

    /// Raises each sum to that of `other` if the latter is greater.
    ///
    /// ```
    /// use galenamast::state::QualitySums;
    ///
    /// let mut sums = QualitySums::default();
    /// sums.add_rating(0.5);
    /// let copy = sums;
    /// sums.merge(&copy);
    /// assert_eq!(sums, copy);
    /// ```
    pub fn merge(&mut self, other: &Self) {
        self.rated = self.rated.max(other.rated);
        self.rating_sum = self.rating_sum.max(other.rating_sum);
        self.square_sum = self.square_sum.max(other.square_sum);
        self.timed = self.timed.max(other.timed);
        self.latency_sum = self.latency_sum.max(other.latency_sum);
    }
}

/// Sums over answers, weighted by their age.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WeightedSums {
    /// Weighted number of ratings.
    pub rated: f64,
    /// Weighted sum of ratings.
    pub rating_sum: f64,
    /// Weighted sum of squared ratings.
    pub square_sum: f64,
    /// Weighted number of timed answers.
    pub timed: f64,
    /// Weighted sum of latencies, in microseconds.
    pub latency_sum: f64,
}

impl WeightedSums {
    /// Adds the growth from one reading of a time bucket to a later one.
    pub(crate) fn add_growth(&mut self, before: &QualitySums, after: &QualitySums, weight: f64) {
        self.rated += weight * (after.rated - before.rated) as f64;
        self.rating_sum += weight * (after.rating_sum - before.rating_sum) as f64 / RATING_SCALE;
        self.square_sum += weight * (after.square_sum - before.square_sum) as f64 / RATING_SCALE;
        self.timed += weight * (after.timed - before.timed) as f64;
        self.latency_sum += weight * (after.latency_sum - before.latency_sum) as f64;
    }

    /// Multiplies every sum by a factor.
    pub(crate) fn scale(&mut self, factor: f64) {
        self.rated *= factor;
        self.rating_sum *= factor;
        self.square_sum *= factor;
        self.timed *= factor;
        self.latency_sum *= factor;
    }

    /// Adds other sums.
    pub(crate) fn add(&mut self, other: &Self) {
        self.rated += other.rated;
        self.rating_sum += other.rating_sum;
        self.square_sum += other.square_sum;
        self.timed += other.timed;
        self.latency_sum += other.latency_sum;
    }
}
