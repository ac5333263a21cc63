//! The results of scenarios: each expectation and what was observed.

use std::error::Error;
use std::fmt;
use std::time::Duration;

use galenamast::transport::TransportError;

/// Longest wait for an expected condition.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval between checks of the condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// One checked expectation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ScenarioRow {
    /// Workspace whose requests were sent.
    pub workspace: String,
    /// What is expected.
    pub expectation: &'static str,
    /// What was observed.
    pub observed: String,
    /// Whether the observation meets the expectation.
    pub passed: bool,
}

/// The checked expectations of one or more scenarios.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ScenarioReport {
    /// Expectations in the order in which they were checked.
    pub rows: Vec<ScenarioRow>,
}

impl ScenarioReport {
    /// Adds a checked expectation.
    pub fn add(
        &mut self,
        workspace: &str,
        expectation: &'static str,
        observed: String,
        passed: bool,
    ) {
        self.rows.push(ScenarioRow {
            workspace: workspace.to_owned(),
            expectation,
            observed,
            passed,
        });
    }

    /// Returns the expectations that were not met.
    pub fn failures(&self) -> Vec<&ScenarioRow> {
        self.rows.iter().filter(|row| !row.passed).collect()
    }
}

impl fmt::Display for ScenarioReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (left, middle) = ("workspace", "claim");
        writeln!(formatter, "{left:<16} {middle:<48} {:<6} seen", "holds")?;
        for row in &self.rows {
            let passed = if row.passed { "yes" } else { "NO" };
            let (workspace, expectation) = (&row.workspace, row.expectation);
            writeln!(
                formatter,
                "{workspace:<16} {expectation:<48} {passed:<6} {}",
                row.observed
            )?;
        }
        Ok(())
    }
}

/// An error that ends a scenario before all its expectations are checked.
#[derive(Debug)]
pub struct ScenarioError {
    reason: String,
}

impl ScenarioError {
    /// Creates an error with a reason.
    pub fn new(reason: impl Into<String>) -> Self {
        Self {
            reason: reason.into(),
        }
    }
}

impl fmt::Display for ScenarioError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.reason)
    }
}

impl Error for ScenarioError {}

impl From<TransportError> for ScenarioError {
    fn from(error: TransportError) -> Self {
        Self::new(error.to_string())
    }
}

/// Waits until a condition holds; returns false if it does not within `WAIT_TIMEOUT`.
pub async fn wait_for(mut condition: impl FnMut() -> bool) -> bool {
    let waiting = async {
        while !condition() {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    tokio::time::timeout(WAIT_TIMEOUT, waiting).await.is_ok()
}
