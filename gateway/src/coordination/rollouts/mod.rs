//! Decisions about roll-outs of new versions.

mod pace_comparison;
mod rollout_tracker;
mod session_tracker;
mod version_groups;
mod version_trial;

pub use pace_comparison::{AnswerPace, ComparedAnswers, PaceBaseline, PaceSettings, StreamPace};
pub use rollout_tracker::{RolloutSettings, RolloutTracker, VersionRule};
pub use session_tracker::SessionTracker;
pub use version_groups::version_groups;
pub use version_trial::{TrialSettings, VersionTrial};
