//! A scenario of the usage export.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use galenamast::transport::{ExportRange, HttpClient, ObjectCalls, ObjectClient, export_usage};

use crate::scenario_context::ScenarioContext;
use crate::scenario_report::{ScenarioError, ScenarioReport};

/// Timeout of a call to the object API.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Stops the hosts and checks that the export bills each answered request once.
///
/// # Errors
///
/// Returns an error if the usage cannot be read.
pub async fn check_usage(
    mut context: ScenarioContext,
    report: &mut ScenarioReport,
) -> Result<(), ScenarioError> {
    for (_, host) in std::mem::take(&mut context.deployment.hosts) {
        host.stop().await;
    }
    let address = context.deployment.objects.address();
    let client = ObjectClient::new(HttpClient::new(), address, CALL_TIMEOUT);
    let export = export_usage(&ObjectCalls::from_client(&client), ExportRange::default()).await?;
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    for record in &export.records {
        *counts.entry(record.request_id.to_string()).or_default() += 1;
    }
    let billed: BTreeSet<String> = counts.keys().cloned().collect();
    let billed_once = counts.values().all(|count| *count == 1);
    let price: u64 = export.records.iter().map(|record| record.price).sum();
    let (answered, lines) = (context.answered.len(), export.records.len());
    let observed = format!("{answered} answered, {lines} lines, {price} micro-units");
    let passed = billed_once && billed == context.answered && answered > 0;
    let expectation = "the usage export bills each request once";
    report.add(&context.workspace, expectation, observed, passed);
    Ok(())
}
