//! Estimates of a version's quality and latency from configured priors and observations.

use crate::state::model_spec::VersionSpec;
use crate::state::names::TaskName;
use crate::state::quality_digest::LengthBucket;
use crate::state::quality_sums::WeightedSums;
use crate::state::quality_table::QualityTable;
use crate::state::time_point::TimePoint;
use crate::state::version_key::VersionKey;

/// Weight of the configured prior, in ratings.
const PRIOR_RATINGS: f64 = 10.0;
/// Maximum weight of the mean over all prompt lengths in the estimate for one length, in ratings.
const POOLED_RATINGS: f64 = 30.0;
/// Standard deviation of ratings assumed by the prior.
const PRIOR_DEVIATION: f64 = 0.15;
/// Latency assumed before any is measured, in microseconds.
const PRIOR_LATENCY_MICROS: f64 = 1_000_000.0;
/// Weight of the assumed latency, in timed answers.
const PRIOR_LATENCY_COUNT: f64 = 1.0;

/// Estimated quality and latency of a version for one task and prompt length.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QualityEstimate {
    /// Mean rating, from 0 to 1.
    pub mean: f64,
    /// Standard error of the mean.
    pub error: f64,
    /// Standard deviation of single ratings.
    pub deviation: f64,
    /// Mean latency of an answer, in microseconds.
    pub latency_micros: f64,
    /// Number of ratings for this task and prompt length, weighted by age.
    pub ratings: f64,
}

impl QualityEstimate {
    /// Returns the lower confidence bound that lies `z` standard errors below the mean.
    ///
    /// ```
    /// use galenamast::state::{QualityEstimate, QualityTable, TimePoint, VersionKey, VersionSpec};
    ///
    /// let table = QualityTable::default();
    /// let spec = VersionSpec { prior_quality: 0.8, ..Default::default() };
    /// let key = VersionKey::new("fit", "v1");
    /// let estimate = QualityEstimate::of(
    ///     &table, &key, &spec, &"advice".into(), Default::default(), TimePoint::ZERO,
    /// );
    /// assert!(estimate.lower_bound(1.0) < 0.8);
    /// ```
    pub fn lower_bound(&self, z: f64) -> f64 {
        (self.mean - z * self.error).max(0.0)
    }

    /// Estimates the quality and latency of a version for a task and prompt length.
    pub fn of(
        table: &QualityTable,
        key: &VersionKey,
        spec: &VersionSpec,
        task: &TaskName,
        length: LengthBucket,
        now: TimePoint,
    ) -> Self {
        let prior = spec.task_priors.get(task).copied();
        let prior = prior.unwrap_or(spec.prior_quality);
        let mut pooled = WeightedSums::default();
        let mut length_sums = WeightedSums::default();
        if let Some((lengths, weight)) = table.task_sums(key, task, now) {
            for sums in lengths.values() {
                pooled.add(sums);
            }
            length_sums = lengths.get(&length).copied().unwrap_or_default();
            pooled.scale(weight);
            length_sums.scale(weight);
        }
        Self::from_sums(prior, &pooled, &length_sums)
    }

    /// Combines the prior, the sums over all prompt lengths and the sums of one length.
    fn from_sums(prior: f64, pooled: &WeightedSums, length_sums: &WeightedSums) -> Self {
        let pooled_count = PRIOR_RATINGS + pooled.rated;
        let pooled_mean = (PRIOR_RATINGS * prior + pooled.rating_sum) / pooled_count;
        let pooled_weight = POOLED_RATINGS.min(pooled_count);
        let count = pooled_weight + length_sums.rated;
        let mean = (pooled_weight * pooled_mean + length_sums.rating_sum) / count;
        let observed = variance(pooled);
        let prior_variance = PRIOR_DEVIATION * PRIOR_DEVIATION;
        let variance = (PRIOR_RATINGS * prior_variance + pooled.rated * observed) / pooled_count;
        let latency = PRIOR_LATENCY_COUNT * PRIOR_LATENCY_MICROS + pooled.latency_sum;
        Self {
            mean,
            error: (variance / count).sqrt(),
            deviation: variance.sqrt(),
            latency_micros: latency / (PRIOR_LATENCY_COUNT + pooled.timed),
            ratings: length_sums.rated,
        }
    }
}

/// Returns the variance of the ratings, or zero if there are none.
fn variance(sums: &WeightedSums) -> f64 {
    if sums.rated <= 0.0 {
        return 0.0;
    }
    let mean = sums.rating_sum / sums.rated;
    (sums.square_sum / sums.rated - mean * mean).max(0.0)
}
