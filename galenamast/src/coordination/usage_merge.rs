//! Merges usage batches so that each request is counted once.

use std::collections::BTreeMap;

use crate::coordination::usage_batch::UsageBatch;
use crate::coordination::usage_record::UsageRecord;
use crate::state::RequestId;

/// Records of the batches read so far, one per request.
///
/// Of several records of one request, the one that compares lowest is kept, so the result does not
/// depend on the order of the batches.
///
/// ```
/// use galenamast::coordination::UsageMerge;
///
/// let merge = UsageMerge::default();
/// assert!(merge.into_records().is_empty());
/// ```
#[derive(Clone, Debug, Default)]
pub struct UsageMerge {
    records: BTreeMap<RequestId, UsageRecord>,
    duplicates: u64,
}

impl UsageMerge {
    /// Adds the records of a batch that ended at or after `from_unix_ms` and before
    /// `until_unix_ms`.
    pub fn add_batch(&mut self, batch: UsageBatch, from_unix_ms: u64, until_unix_ms: u64) {
        let period = from_unix_ms..until_unix_ms;
        for record in batch.records {
            if period.contains(&record.ended_unix_ms) {
                self.add(record);
            }
        }
    }

    /// Returns the number of records left out because their request was already counted.
    pub fn duplicates(&self) -> u64 {
        self.duplicates
    }

    /// Returns the records, sorted by request identifier.
    pub fn into_records(self) -> Vec<UsageRecord> {
        self.records.into_values().collect()
    }

    /// Adds a record, or keeps the lower of two records of one request.
    fn add(&mut self, record: UsageRecord) {
        match self.records.get_mut(&record.request_id) {
            None => {
                self.records.insert(record.request_id, record);
            }
            Some(kept) => {
                self.duplicates += 1;
                if record < *kept {
                    *kept = record;
                }
            }
        }
    }
}
