//! Configuration and progress of the roll-out of a version.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::state::names::{ModelName, RolloutName, VersionName};

/// Configuration and recorded progress of a roll-out.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct RolloutSpec {
    /// Name of the roll-out.
    pub name: RolloutName,
    /// Model whose version is rolled out.
    pub model: ModelName,
    /// Version that is rolled out.
    pub candidate: VersionName,
    /// Version that the candidate is compared with.
    pub baseline: VersionName,
    /// Shares of new sessions at each step, in thousandths.
    pub step_shares: Vec<u32>,
    /// Index of the current step, from zero.
    pub step: u32,
    /// Phase of the roll-out.
    pub phase: RolloutPhase,
    /// Minimum number of rated answers at a step before the next one.
    pub min_ratings: u32,
    /// Minimum duration of a step.
    pub min_step_time: Duration,
    /// Maximum tolerated loss of mean rating against the baseline, from 0 to 1.
    pub tolerated_loss: f64,
    /// Earlier roll-out of the same model that this one replaces.
    pub supersedes: Option<RolloutName>,
    /// Probability that a candidate as good as its baseline is braked.
    pub false_alarm_rate: f64,
}

impl Default for RolloutSpec {
    fn default() -> Self {
        Self {
            name: RolloutName::default(),
            model: ModelName::default(),
            candidate: VersionName::default(),
            baseline: VersionName::default(),
            step_shares: vec![10, 50, 200, 500, 1_000],
            step: 0,
            phase: RolloutPhase::Running,
            min_ratings: 100,
            min_step_time: Duration::from_secs(600),
            tolerated_loss: 0.02,
            supersedes: None,
            false_alarm_rate: 0.001,
        }
    }
}

impl RolloutSpec {
    /// Returns the share of new sessions that the candidate takes now, in thousandths.
    ///
    /// ```
    /// use galenamast::state::{RolloutPhase, RolloutSpec};
    ///
    /// let mut rollout = RolloutSpec { step: 1, ..Default::default() };
    /// assert_eq!(rollout.current_share(), 50);
    /// rollout.phase = RolloutPhase::Aborted;
    /// assert_eq!(rollout.current_share(), 0);
    /// ```
    pub fn current_share(&self) -> u32 {
        match self.phase {
            RolloutPhase::Running | RolloutPhase::Paused => self
                .step_shares
                .get(self.step as usize)
                .copied()
                .unwrap_or(0),
            RolloutPhase::Completed => 1_000,
            RolloutPhase::Braked | RolloutPhase::Aborted => 0,
        }
    }
}

/// Phase of a roll-out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RolloutPhase {
    /// The roll-out advances as the evidence allows.
    #[default]
    Running,
    /// The current share is kept until an operator resumes the roll-out.
    Paused,
    /// Evidence against the candidate stopped the roll-out; the candidate takes no new work.
    Braked,
    /// An operator aborted the roll-out; the candidate takes no new work.
    Aborted,
    /// The candidate became an established version.
    Completed,
}
