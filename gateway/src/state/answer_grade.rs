//! How good the answers of a version are.

use serde::{Deserialize, Serialize};

/// How good an answer was.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerGrade {
    /// As usual.
    Good,
    /// Far slower than usual.
    Slow,
    /// A failure.
    Failed,
}

/// Counts of answers by grade.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GradeCounts {
    /// All answers.
    pub answers: u32,
    /// Failures.
    pub failures: u32,
    /// Slow answers.
    pub slow: u32,
}

impl GradeCounts {
    /// Counts an answer.
    pub fn record(&mut self, grade: AnswerGrade) {
        self.answers += 1;
        self.failures += u32::from(grade == AnswerGrade::Failed);
        self.slow += u32::from(grade == AnswerGrade::Slow);
    }

    /// Adds other counts.
    pub fn add(&mut self, other: Self) {
        self.answers += other.answers;
        self.failures += other.failures;
        self.slow += other.slow;
    }

    /// Returns the share of failures.
    pub fn failure_share(self) -> f64 {
        f64::from(self.failures) / f64::from(self.answers.max(1))
    }

    /// Returns the share of slow answers.
    pub fn slow_share(self) -> f64 {
        f64::from(self.slow) / f64::from(self.answers.max(1))
    }
}
