//! Buffer of usage records that are not yet on the platform: the host's own, and copies kept for
//! peers.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::coordination::usage_batch::{UsageBatch, UsageCopy, UsageOrigin};
use crate::coordination::usage_record::UsageRecord;
use crate::state::{HostName, TimePoint};

/// Bytes reserved for the record of a request in flight.
const RESERVED_BYTES: usize = 1_024;
/// Largest length of a record as JSON text without its names, in bytes.
const FIXED_RECORD_BYTES: usize = 320;

/// Limits of a usage buffer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BufferLimits {
    /// Largest total size of all records and reservations, in bytes.
    pub max_bytes: usize,
    /// Largest number of records in one batch.
    pub batch_records: usize,
    /// Largest size of a batch, in bytes. A single record that is larger forms a batch of its own.
    pub batch_bytes: usize,
}

impl Default for BufferLimits {
    fn default() -> Self {
        Self {
            max_bytes: 64 * 1_024 * 1_024,
            batch_records: 512,
            batch_bytes: 256 * 1_024,
        }
    }
}

/// A record that waits to be written, or a copy of one.
#[derive(Clone, Debug)]
struct HeldRecord {
    record: UsageRecord,
    since: TimePoint,
}

/// Usage records that are not yet on the platform.
#[derive(Debug)]
pub struct UsageBuffer {
    origin: UsageOrigin,
    limits: BufferLimits,
    pending: VecDeque<HeldRecord>,
    batch: Option<UsageBatch>,
    batch_since: TimePoint,
    copies: BTreeMap<UsageOrigin, BTreeMap<u64, HeldRecord>>,
    next_record: u64,
    next_batch: u64,
    bytes: usize,
    reserved: usize,
}

impl UsageBuffer {
    /// Creates an empty buffer for one run of a host.
    ///
    /// ```
    /// use galenamast::coordination::{BufferLimits, UsageBuffer, UsageOrigin};
    ///
    /// let limits = BufferLimits { max_bytes: 2_000, ..Default::default() };
    /// let mut buffer = UsageBuffer::new(UsageOrigin::default(), limits);
    /// assert!(buffer.reserve());
    /// assert!(!buffer.reserve());
    /// ```
    pub fn new(origin: UsageOrigin, limits: BufferLimits) -> Self {
        Self {
            origin,
            limits,
            pending: VecDeque::new(),
            batch: None,
            batch_since: TimePoint::ZERO,
            copies: BTreeMap::new(),
            next_record: 0,
            next_batch: 0,
            bytes: 0,
            reserved: 0,
        }
    }

    /// Reserves space for the record of a request. If it returns `false`, the request must be
    /// refused.
    pub fn reserve(&mut self) -> bool {
        if self.used_bytes() + RESERVED_BYTES > self.limits.max_bytes {
            return false;
        }
        self.reserved += RESERVED_BYTES;
        true
    }

    /// Returns the space reserved for a request that ended.
    pub fn unreserve(&mut self) {
        self.reserved = self.reserved.saturating_sub(RESERVED_BYTES);
    }

    /// Adds a record of this host and returns a copy to send to a peer.
    pub fn push(&mut self, record: UsageRecord, now: TimePoint) -> UsageCopy {
        let sequence = self.next_record;
        self.next_record += 1;
        self.bytes += record_bytes(&record);
        self.pending.push_back(HeldRecord {
            record: record.clone(),
            since: now,
        });
        UsageCopy {
            origin: self.origin.clone(),
            sequence,
            durable_before: self.durable_before(),
            record,
        }
    }

    /// Stores a copy for a peer; returns whether there was space for it.
    ///
    /// Copies kept for other runs of the same peer become records of this host.
    pub fn store_copy(&mut self, copy: UsageCopy, now: TimePoint) -> bool {
        self.drop_durable(&copy.origin, copy.durable_before);
        self.adopt_other_runs(&copy.origin);
        let size = record_bytes(&copy.record);
        if self.used_bytes() + size > self.limits.max_bytes {
            return false;
        }
        let held = HeldRecord {
            record: copy.record,
            since: now,
        };
        let replaced = self
            .copies
            .entry(copy.origin)
            .or_default()
            .insert(copy.sequence, held);
        if replaced.is_none() {
            self.bytes += size;
        }
        true
    }

    /// Turns the copies of a host that is gone into records of this host.
    pub fn adopt_host(&mut self, host: &HostName) {
        let origins = self.copies.keys().filter(|origin| origin.host == *host);
        let origins: Vec<UsageOrigin> = origins.cloned().collect();
        for origin in origins {
            self.adopt(&origin);
        }
    }

    /// Turns copies older than `max_age` into records of this host, all those of an origin at once.
    ///
    /// Their origin may have chosen another peer since, and would then never report them as
    /// durable.
    pub fn adopt_stale(&mut self, now: TimePoint, max_age: Duration) {
        let stale = self.copies.iter().filter(|(_, copies)| {
            let oldest = copies.values().map(|held| held.since).min();
            oldest.is_some_and(|since| now.since(since) > max_age)
        });
        let stale: Vec<UsageOrigin> = stale.map(|(origin, _)| origin.clone()).collect();
        for origin in stale {
            self.adopt(&origin);
        }
    }

    /// Returns the batch to write next. It stays the same until it is written.
    pub fn next_batch(&mut self) -> Option<UsageBatch> {
        if self.batch.is_none() && !self.pending.is_empty() {
            let count = self.next_batch_len();
            self.batch_since = self.pending[0].since;
            self.batch = Some(UsageBatch {
                origin: self.origin.clone(),
                sequence: self.next_batch,
                records: self
                    .pending
                    .drain(..count)
                    .map(|held| held.record)
                    .collect(),
            });
            self.next_batch += 1;
        }
        self.batch.clone()
    }

    /// Gives the current batch a new number, because another batch exists under its name.
    pub fn rename_batch(&mut self, sequence: u64) {
        if let Some(batch) = self
            .batch
            .as_mut()
            .filter(|batch| batch.sequence == sequence)
        {
            batch.sequence = self.next_batch;
            self.next_batch += 1;
        }
    }

    /// Records that a batch is on the platform, and drops it.
    pub fn batch_written(&mut self, sequence: u64) {
        let Some(batch) = self.batch.take_if(|batch| batch.sequence == sequence) else {
            return;
        };
        let written: usize = batch.records.iter().map(record_bytes).sum();
        self.bytes -= written;
    }

    /// Returns the number of this host's first record that is not yet on the platform.
    pub fn durable_before(&self) -> u64 {
        let waiting =
            self.pending.len() + self.batch.as_ref().map_or(0, |batch| batch.records.len());
        self.next_record - waiting as u64
    }

    /// Returns whether enough records wait to fill a batch.
    pub fn has_full_batch(&self) -> bool {
        self.pending.len() >= self.limits.batch_records
    }

    /// Returns whether all records of this host are on the platform.
    pub fn is_written(&self) -> bool {
        self.pending.is_empty() && self.batch.is_none()
    }

    /// Returns the size of all records and reservations, in bytes.
    pub fn used_bytes(&self) -> usize {
        self.bytes + self.reserved
    }

    /// Returns how long the oldest record of this host has waited; zero if none waits.
    pub fn oldest_age(&self, now: TimePoint) -> Duration {
        let first = self.pending.front().map(|held| held.since);
        let oldest = self.batch.as_ref().map(|_| self.batch_since).or(first);
        oldest.map_or(Duration::ZERO, |since| now.since(since))
    }

    /// Returns the number of records in the next batch, at least one.
    fn next_batch_len(&self) -> usize {
        let mut bytes = 0;
        let fits = self.pending.iter().take_while(|held| {
            bytes += record_bytes(&held.record);
            bytes <= self.limits.batch_bytes
        });
        fits.take(self.limits.batch_records).count().max(1)
    }

    /// Drops the copies of an origin's records that are on the platform.
    fn drop_durable(&mut self, origin: &UsageOrigin, durable_before: u64) {
        let Some(copies) = self.copies.get_mut(origin) else {
            return;
        };
        let kept = copies.split_off(&durable_before);
        let dropped = std::mem::replace(copies, kept);
        let freed: usize = dropped
            .values()
            .map(|held| record_bytes(&held.record))
            .sum();
        self.bytes -= freed;
    }

    /// Turns copies of other runs of an origin's host into records of this host.
    fn adopt_other_runs(&mut self, origin: &UsageOrigin) {
        let others = self
            .copies
            .keys()
            .filter(|other| other.host == origin.host && other.incarnation != origin.incarnation);
        let others: Vec<UsageOrigin> = others.cloned().collect();
        for other in others {
            self.adopt(&other);
        }
    }

    /// Turns the copies of an origin into records of this host.
    fn adopt(&mut self, origin: &UsageOrigin) {
        for held in self.copies.remove(origin).unwrap_or_default().into_values() {
            self.next_record += 1;
            self.pending.push_back(held);
        }
    }
}

/// Returns an upper bound of a record's size as JSON text, in bytes.
fn record_bytes(record: &UsageRecord) -> usize {
    let version = record.version.as_ref();
    let version = version.map_or(0, |key| {
        key.model.as_str().len() + key.version.as_str().len()
    });
    FIXED_RECORD_BYTES + record.workspace.as_str().len() + record.task.as_str().len() + version
}
