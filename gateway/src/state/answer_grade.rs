//! Grades of a version's answers and counts of them.

use serde::{Deserialize, Serialize};

/// Grade of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerGrade {
    /// Successful, and not much slower than usual.
    Good,
    /// Successful, but much slower than usual.
    Slow,
    /// Failed.
    Failed,
}

/// Counts of answers by grade.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GradeCounts {
    /// All answers, including failed and slow ones.
    pub answers: u32,
    /// Failed answers.
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
        // Saturates, because the counts of other hosts may be malformed.
        self.answers = self.answers.saturating_add(other.answers);
        self.failures = self.failures.saturating_add(other.failures);
        self.slow = self.slow.saturating_add(other.slow);
    }

    /// Returns the share of failed answers, from 0 to 1; 0 if there are no answers.
    pub fn failure_share(self) -> f64 {
        f64::from(self.failures) / f64::from(self.answers.max(1))
    }

    /// Returns the share of slow answers, from 0 to 1; 0 if there are no answers.
    pub fn slow_share(self) -> f64 {
        f64::from(self.slow) / f64::from(self.answers.max(1))
    }
}
