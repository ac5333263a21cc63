//! What a scenario claimed and what was seen.

use std::error::Error;
use std::fmt;
use std::time::Duration;

use galenamast::transport::TransportError;

/// Time in which something that must happen has to be seen.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
/// Time between looks at whether it happened.
const WAIT_PERIOD: Duration = Duration::from_millis(20);

/// One claim with what was seen of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ScenarioRow {
    /// Workspace whose requests were sent.
    pub workspace: String,
    /// What is claimed.
    pub claim: &'static str,
    /// What was seen.
    pub seen: String,
    /// Whether what was seen bears the claim out.
    pub holds: bool,
}

/// The claims of scenarios.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ScenarioReport {
    /// Claims in the order in which they were checked.
    pub rows: Vec<ScenarioRow>,
}

impl ScenarioReport {
    /// Adds a checked claim.
    pub fn add(&mut self, workspace: &str, claim: &'static str, seen: String, holds: bool) {
        self.rows.push(ScenarioRow {
            workspace: workspace.to_owned(),
            claim,
            seen,
            holds,
        });
    }

    /// Returns the claims that did not hold.
    pub fn failures(&self) -> Vec<&ScenarioRow> {
        self.rows.iter().filter(|row| !row.holds).collect()
    }
}

impl fmt::Display for ScenarioReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (left, middle) = ("workspace", "claim");
        writeln!(formatter, "{left:<16} {middle:<48} {:<6} seen", "holds")?;
        for row in &self.rows {
            let holds = if row.holds { "yes" } else { "NO" };
            let (workspace, claim) = (&row.workspace, row.claim);
            writeln!(
                formatter,
                "{workspace:<16} {claim:<48} {holds:<6} {}",
                row.seen
            )?;
        }
        Ok(())
    }
}

/// Why a scenario could not be carried through.
#[derive(Debug)]
pub struct ScenarioError {
    reason: String,
}

impl ScenarioError {
    /// Creates an error.
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

/// Waits until something holds; returns whether it did in time.
pub async fn wait_for(mut holds: impl FnMut() -> bool) -> bool {
    let waiting = async {
        while !holds() {
            tokio::time::sleep(WAIT_PERIOD).await;
        }
    };
    tokio::time::timeout(WAIT_TIMEOUT, waiting).await.is_ok()
}
