//! Analysis of a roll-out at fixed intervals, as a baseline for the sequential tests.

/// Time between analyses, in milliseconds.
pub(crate) const ANALYSIS_PERIOD_MS: u64 = 600_000;
/// Loss above which the candidate is reported as worse, in standard errors. The value gives one
/// false alarm in 1,000 roll-outs of six analyses each.
const ALARM_Z: f64 = 3.6;
/// Minimum number of ratings that an analysis needs of the candidate and of the baseline.
const MIN_RATINGS: f64 = 5.0;

/// Count, sum and sum of squares of ratings.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RatingSums {
    count: f64,
    sum: f64,
    squares: f64,
}

impl RatingSums {
    pub(crate) fn add(&mut self, rating: f64) {
        self.count += 1.0;
        self.sum += rating;
        self.squares += rating * rating;
    }

    /// Returns the mean and its squared standard error.
    fn mean_and_error(&self) -> (f64, f64) {
        let mean = self.sum / self.count;
        let variance = (self.squares / self.count - mean * mean).max(1e-4);
        (mean, variance / self.count)
    }
}

/// Ratings since the last analysis.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct IntervalAnalysis {
    pub(crate) candidate: RatingSums,
    pub(crate) baseline: RatingSums,
}

impl IntervalAnalysis {
    /// Returns whether the candidate is worse than the baseline by more than `tolerated_loss`, and
    /// clears the ratings.
    pub(crate) fn analyse(&mut self, tolerated_loss: f64) -> bool {
        let Self {
            candidate,
            baseline,
        } = std::mem::take(self);
        if candidate.count < MIN_RATINGS || baseline.count < MIN_RATINGS {
            return false;
        }
        let (candidate_mean, candidate_error) = candidate.mean_and_error();
        let (baseline_mean, baseline_error) = baseline.mean_and_error();
        let loss = baseline_mean - tolerated_loss - candidate_mean;
        loss > ALARM_Z * (candidate_error + baseline_error).sqrt()
    }
}
