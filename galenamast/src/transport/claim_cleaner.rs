//! Deletes claims whose retention is over, one bounded page at a time.

use crate::coordination::claim_document::CLAIM_KIND;
use crate::coordination::{ClaimRetention, ObjectKey};
use crate::transport::claim_runner::decode_claim;
use crate::transport::object_calls::{ObjectCalls, PageRequest};
use crate::transport::transport_error::TransportError;

/// Deletes claims whose retention is over.
///
/// One host runs it at a time; concurrent runs are harmless.
#[derive(Debug)]
pub struct ClaimCleaner {
    calls: ObjectCalls,
    retention: ClaimRetention,
    after: String,
}

impl ClaimCleaner {
    /// Creates a cleaner that starts at the first claim.
    pub fn new(calls: ObjectCalls, retention: ClaimRetention) -> Self {
        Self {
            calls,
            retention,
            after: String::new(),
        }
    }

    /// Checks the next `limit` claims and returns how many were deleted.
    ///
    /// Takes at most `limit + 1` calls. After the last page it starts over.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform cannot be reached; the next call repeats the same page.
    pub async fn clean_page(
        &mut self,
        limit: usize,
        unix_ms: u64,
    ) -> Result<usize, TransportError> {
        let page = (self.calls.list)(PageRequest {
            kind: CLAIM_KIND,
            after: self.after.clone(),
            limit,
        })
        .await?;
        let last = page.last().map(|record| record.name.clone());
        let full = page.len() == limit;
        let mut deleted = 0;
        for record in page {
            let object = ObjectKey::new(CLAIM_KIND, &record.name);
            let Ok(claim) = decode_claim(record) else {
                continue;
            };
            if self.retention.is_expired(&claim.document, unix_ms) {
                (self.calls.delete)(object, claim.version).await?;
                deleted += 1;
            }
        }
        self.after = last.filter(|_| full).unwrap_or_default();
        Ok(deleted)
    }
}
