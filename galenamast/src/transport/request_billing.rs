//! Records the usage that a request is billed for.

use log::Level;

use crate::coordination::UsageRecord;
use crate::logging::log_record;
use crate::protocol::{ChatUsage, LogRecord};
use crate::state::VersionKey;
use crate::transport::caller_request::RequestJob;
use crate::transport::host_context::HostContext;

/// Logs the usage of a request and adds it to the ledger; returns when the ledger holds the record.
///
/// A plain service has no version and is billed at price zero.
pub async fn bill_request(
    context: &HostContext,
    job: &RequestJob,
    version: Option<VersionKey>,
    usage: ChatUsage,
) {
    let price = version
        .as_ref()
        .map_or(0, |version| price_of(context, version, usage));
    let record = UsageRecord {
        request_id: job.route.id,
        workspace: job.route.workspace.clone(),
        task: job.route.task.clone(),
        version,
        input_tokens: usage.prompt_tokens,
        output_tokens: usage.completion_tokens,
        price,
        ended_unix_ms: context.timers.unix_millis(),
    };
    log_record(Level::Info, &LogRecord::Usage(record.clone()));
    if let Some(ledger) = &context.ledger {
        ledger.record(record).await;
    }
}

/// Returns the price of an answer in micro-units of currency; zero for an unconfigured version.
fn price_of(context: &HostContext, version: &VersionKey, usage: ChatUsage) -> u64 {
    let image = context.image.load();
    image.version(version).map_or(0, |spec| {
        spec.price_of(usage.prompt_tokens, usage.completion_tokens)
    })
}
