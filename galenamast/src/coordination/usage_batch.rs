//! Batches of usage records stored on the platform, and copies of records sent to a peer.

use std::fmt::Write;

use serde::{Deserialize, Serialize};

use crate::coordination::object_record::ObjectKey;
use crate::coordination::usage_record::UsageRecord;
use crate::state::HostName;

/// Kind of the usage batches on the platform.
pub const USAGE_KIND: &str = "usage";

/// One run of an entry host, as a source of usage records.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct UsageOrigin {
    /// Name of the host.
    pub host: HostName,
    /// Number that is unique among the runs of the host.
    pub incarnation: u64,
}

/// A batch of records. It must not change once it may have been written.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UsageBatch {
    /// Run of the host that writes the batch.
    pub origin: UsageOrigin,
    /// Number of the batch at its origin, from zero.
    pub sequence: u64,
    /// Records of the batch, in the order in which they were added.
    pub records: Vec<UsageRecord>,
}

impl UsageBatch {
    /// Returns the object that holds the batch.
    ///
    /// ```
    /// use galenamast::coordination::{UsageBatch, UsageOrigin};
    ///
    /// let origin = UsageOrigin { host: "entry-1".into(), incarnation: 7 };
    /// let batch = UsageBatch { origin, sequence: 3, records: Vec::new() };
    /// assert_eq!(batch.object().name, "entry-1.0000000000000007.000000000003");
    /// ```
    pub fn object(&self) -> ObjectKey {
        let UsageOrigin { host, incarnation } = &self.origin;
        let host = plain_name(host.as_str());
        let name = format!("{host}.{incarnation:016x}.{:012}", self.sequence);
        ObjectKey::new(USAGE_KIND, &name)
    }
}

/// Replaces characters that object names must not contain by their hexadecimal codes.
fn plain_name(text: &str) -> String {
    let mut plain = String::with_capacity(text.len());
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() || byte == b'-' {
            plain.push(char::from(byte));
        } else {
            // Writing to a `String` cannot fail.
            let _ = write!(plain, "_{byte:02x}");
        }
    }
    plain
}

/// A copy of a record, sent to the peer that keeps it until the record is on the platform.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UsageCopy {
    /// Run of the host that served the request.
    pub origin: UsageOrigin,
    /// Number of the record at its origin, from zero.
    pub sequence: u64,
    /// Records with lower numbers are on the platform, so their copies are no longer needed.
    pub durable_before: u64,
    /// The record.
    pub record: UsageRecord,
}
