//! Counts of a new version's answers by pace.

use serde::{Deserialize, Serialize};

/// Answers of a new version whose pace was compared with that of the version before.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PaceCounts {
    /// Number of answers.
    pub answers: u32,
    /// Answers slower than nearly all of the version before.
    pub slow: u32,
}

impl PaceCounts {
    /// Counts an answer.
    pub fn record(&mut self, is_slow: bool) {
        self.answers = self.answers.saturating_add(1);
        self.slow = self.slow.saturating_add(u32::from(is_slow));
    }

    /// Adds other counts; no more answers can be slow than there are.
    pub fn add(&mut self, other: Self) {
        self.answers = self.answers.saturating_add(other.answers);
        self.slow = self.slow.saturating_add(other.slow.min(other.answers));
    }

    /// Returns the logarithm of how much likelier the counts are if a part `bad` of all answers is slow
    /// than if a part `good` is.
    ///
    /// ```
    /// use galenamast_gateway::state::PaceCounts;
    ///
    /// let counts = PaceCounts { answers: 10, slow: 6 };
    /// assert!(counts.log_likelihood_ratio(0.1, 0.45) > 6.9);
    /// ```
    pub fn log_likelihood_ratio(self, good: f64, bad: f64) -> f64 {
        let slow = f64::from(self.slow);
        let others = f64::from(self.answers.saturating_sub(self.slow));
        slow * (bad / good).ln() + others * ((1.0 - bad) / (1.0 - good)).ln()
    }
}
