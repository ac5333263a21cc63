//! Decides which requests are refused because they crash the backend servers that answer them.
//!
//! Covers a request that is sent again through other hosts, a prompt part that many requests share, no
//! two of them alike, and servers that are lost for other reasons, as when a failure domain is cut off.

mod crash_log;
mod crash_quarantine;
mod crash_settings;
mod partition_probe;

pub use crash_log::{CrashLog, SuspectKey};
pub use crash_quarantine::{CrashQuarantine, CrashRefusal, CrashVerdict};
pub use crash_settings::CrashSettings;
pub use partition_probe::pick_probe_targets;
