//! Reads the usage of a period from the platform.

use crate::coordination::usage_batch::USAGE_KIND;
use crate::coordination::{UsageBatch, UsageMerge, UsageRecord};
use crate::protocol::ProtocolError;
use crate::transport::object_calls::{ObjectCalls, PageRequest};
use crate::transport::transport_error::TransportError;

/// Selects the records of an export and the page size of its reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExportRange {
    /// Start of the period, inclusive, in milliseconds since the Unix epoch.
    pub from_unix_ms: u64,
    /// End of the period, exclusive, in milliseconds since the Unix epoch.
    pub until_unix_ms: u64,
    /// Maximum number of batches that one call reads.
    pub page_batches: usize,
}

impl Default for ExportRange {
    fn default() -> Self {
        Self {
            from_unix_ms: 0,
            until_unix_ms: u64::MAX,
            page_batches: 4,
        }
    }
}

/// Usage records of requests that ended in a period.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct UsageExport {
    /// One record per request, in the order of their identifiers.
    pub records: Vec<UsageRecord>,
    /// Number of records omitted because their request already had a record.
    pub duplicates: u64,
    /// Number of batches that were read.
    pub batches: u64,
}

/// Reads the usage records of a period, one per request.
///
/// # Errors
///
/// Returns an error if the platform cannot be read or a batch is malformed; nothing is skipped.
pub async fn export_usage(
    calls: &ObjectCalls,
    range: ExportRange,
) -> Result<UsageExport, TransportError> {
    let mut merge = UsageMerge::default();
    let mut batches = 0;
    let mut after = String::new();
    loop {
        let page = (calls.list)(PageRequest {
            kind: USAGE_KIND,
            after: after.clone(),
            limit: range.page_batches,
        })
        .await?;
        let Some(last) = page.last() else {
            break;
        };
        after.clone_from(&last.name);
        for record in page {
            let what = "usage batch";
            let batch: UsageBatch = serde_json::from_value(record.value)
                .map_err(|source| ProtocolError::Json { what, source })?;
            merge.add_batch(batch, range.from_unix_ms, range.until_unix_ms);
            batches += 1;
        }
    }
    Ok(UsageExport {
        duplicates: merge.duplicates(),
        records: merge.into_records(),
        batches,
    })
}
