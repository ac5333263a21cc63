//! A scenario of the usage export.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use galenamast::transport::{ExportRange, HttpClient, ObjectCalls, ObjectClient, export_usage};

use crate::scenario_context::ScenarioContext;
use crate::scenario_report::{ScenarioError, ScenarioReport};

/// Longest time of a call of the object API.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Stops the hosts and checks that the export bills each answered request once.
///
/// # Errors
///
/// Returns an error if the usage cannot be read.
pub async fn check_usage(
    mut scene: ScenarioContext,
    report: &mut ScenarioReport,
) -> Result<(), ScenarioError> {
    for (_, host) in std::mem::take(&mut scene.deployment.hosts) {
        host.stop().await;
    }
    let address = scene.deployment.objects.address();
    let client = ObjectClient::new(HttpClient::new(), address, CALL_TIMEOUT);
    let export = export_usage(&ObjectCalls::from_client(&client), ExportRange::default()).await?;
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    for record in &export.records {
        *counts.entry(record.request_id.to_string()).or_default() += 1;
    }
    let billed: BTreeSet<String> = counts.keys().cloned().collect();
    let once = counts.values().all(|count| *count == 1);
    let price: u64 = export.records.iter().map(|record| record.price).sum();
    let (answered, lines) = (scene.answered.len(), export.records.len());
    let seen = format!("{answered} answered, {lines} lines, {price} micro-units");
    let holds = once && billed == scene.answered && answered > 0;
    let claim = "the usage export bills each request once";
    report.add(&scene.workspace, claim, seen, holds);
    Ok(())
}
