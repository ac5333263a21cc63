//! Roll-outs of new versions.

mod rollout_board;
mod session_book;
mod version_groups;
mod version_trial;

pub use rollout_board::{RolloutBoard, RolloutSettings, VersionRule};
pub use session_book::SessionBook;
pub use version_groups::version_groups;
pub use version_trial::{TrialSettings, VersionTrial};
