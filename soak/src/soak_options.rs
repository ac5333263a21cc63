//! Options of a run.

use std::path::PathBuf;

/// What is played, and where its report goes.
#[derive(Clone, Debug)]
pub(crate) struct SoakOptions {
    /// Seed of all that is drawn.
    pub(crate) seed: u64,
    /// Seconds of faults.
    pub(crate) seconds: u64,
    /// Number of hosts.
    pub(crate) hosts: usize,
    /// Name of the profile.
    pub(crate) profile: String,
    /// File of the report; the hosts' logs are kept beside it.
    pub(crate) report: PathBuf,
    /// The program of the hosts.
    pub(crate) program: PathBuf,
}

impl SoakOptions {
    /// Returns the command that plays the same seed again.
    pub(crate) fn command(&self) -> String {
        format!(
            "cargo run --release -p galenamast-soak -- --seed {} --seconds {} --hosts {} --profile {}",
            self.seed, self.seconds, self.hosts, self.profile
        )
    }

    /// Returns the folder of the hosts' settings and logs.
    pub(crate) fn logs(&self) -> PathBuf {
        self.report.with_extension("logs")
    }
}
