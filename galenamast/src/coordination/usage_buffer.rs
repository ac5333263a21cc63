//! Usage records that are not yet on the platform: a host's own, and copies for its peers.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::coordination::usage_batch::{UsageBatch, UsageCopy, UsageOrigin};
use crate::coordination::usage_record::UsageRecord;
use crate::state::{HostName, TimePoint};

/// Bytes that are set aside for the record of a request in flight.
const RESERVED_BYTES: usize = 1_024;
/// Greatest length of a record as JSON text besides its names, in bytes.
const FIXED_BYTES: usize = 320;

/// Bounds of a usage buffer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BufferLimits {
    /// Greatest size of all records and reservations, in bytes.
    pub max_bytes: usize,
    /// Greatest number of records in one batch.
    pub batch_records: usize,
    /// Greatest size of one batch of several records, in bytes.
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

/// A record that waits to be written.
#[derive(Clone, Debug)]
struct HeldRecord {
    record: UsageRecord,
    since: TimePoint,
}

/// Records that are not yet on the platform.
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
    /// Creates an empty buffer of one life of a host.
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

    /// Sets room aside for the record of a request; without room the request has to be refused.
    pub fn reserve(&mut self) -> bool {
        if self.used_bytes() + RESERVED_BYTES > self.limits.max_bytes {
            return false;
        }
        self.reserved += RESERVED_BYTES;
        true
    }

    /// Gives back the room of a request that ended.
    pub fn unreserve(&mut self) {
        self.reserved = self.reserved.saturating_sub(RESERVED_BYTES);
    }

    /// Takes in a record of this host and returns the copy for a peer.
    pub fn push(&mut self, record: UsageRecord, now: TimePoint) -> UsageCopy {
        let sequence = self.next_record;
        self.next_record += 1;
        self.bytes += size_of_record(&record);
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

    /// Takes in a copy for a peer; returns whether there was room for it.
    ///
    /// Copies of an earlier life of the peer become records of this host.
    pub fn store_copy(&mut self, copy: UsageCopy, now: TimePoint) -> bool {
        self.drop_durable(&copy.origin, copy.durable_before);
        self.adopt_earlier_lives(&copy.origin);
        let size = size_of_record(&copy.record);
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

    /// Makes the copies of a host that is gone records of this host.
    pub fn adopt_host(&mut self, host: &HostName) {
        let origins = self.copies.keys().filter(|origin| origin.host == *host);
        let origins: Vec<UsageOrigin> = origins.cloned().collect();
        for origin in origins {
            self.adopt(&origin);
        }
    }

    /// Makes copies that have waited too long records of this host.
    ///
    /// Their origin may have chosen another peer since, and would never say that they are durable.
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

    /// Returns the batch to be written next, the same one until it is written.
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

    /// Gives a batch another name, because another batch was found under its own.
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

    /// Notes that a batch is on the platform.
    pub fn batch_written(&mut self, sequence: u64) {
        let Some(batch) = self.batch.take_if(|batch| batch.sequence == sequence) else {
            return;
        };
        let written: usize = batch.records.iter().map(size_of_record).sum();
        self.bytes -= written;
    }

    /// Returns the number of the first own record that is not yet on the platform.
    pub fn durable_before(&self) -> u64 {
        let waiting = self.pending.len() + self.batch.as_ref().map_or(0, |b| b.records.len());
        self.next_record - waiting as u64
    }

    /// Returns whether a full batch waits.
    pub fn has_full_batch(&self) -> bool {
        self.pending.len() >= self.limits.batch_records
    }

    /// Returns whether every own record is on the platform.
    pub fn is_written(&self) -> bool {
        self.pending.is_empty() && self.batch.is_none()
    }

    /// Returns the size of all records and reservations, in bytes.
    pub fn used_bytes(&self) -> usize {
        self.bytes + self.reserved
    }

    /// Returns how long the oldest own record has waited.
    pub fn oldest_age(&self, now: TimePoint) -> Duration {
        let first = self.pending.front().map(|held| held.since);
        let oldest = self.batch.as_ref().map(|_| self.batch_since).or(first);
        oldest.map_or(Duration::ZERO, |since| now.since(since))
    }

    /// Returns how many records the next batch holds.
    fn next_batch_len(&self) -> usize {
        let mut bytes = 0;
        let fits = self.pending.iter().take_while(|held| {
            bytes += size_of_record(&held.record);
            bytes <= self.limits.batch_bytes
        });
        fits.take(self.limits.batch_records).count().max(1)
    }

    /// Drops the copies of an origin whose records are on the platform.
    fn drop_durable(&mut self, origin: &UsageOrigin, durable_before: u64) {
        let Some(copies) = self.copies.get_mut(origin) else {
            return;
        };
        let kept = copies.split_off(&durable_before);
        let dropped = std::mem::replace(copies, kept);
        let freed: usize = dropped
            .values()
            .map(|held| size_of_record(&held.record))
            .sum();
        self.bytes -= freed;
    }

    /// Makes the copies of other lives of an origin's host records of this host.
    fn adopt_earlier_lives(&mut self, origin: &UsageOrigin) {
        let others = self
            .copies
            .keys()
            .filter(|other| other.host == origin.host && other.incarnation != origin.incarnation);
        let others: Vec<UsageOrigin> = others.cloned().collect();
        for other in others {
            self.adopt(&other);
        }
    }

    /// Makes the copies of an origin records of this host.
    fn adopt(&mut self, origin: &UsageOrigin) {
        for held in self.copies.remove(origin).unwrap_or_default().into_values() {
            self.next_record += 1;
            self.pending.push_back(held);
        }
    }
}

/// Returns the size that a record is counted with, in bytes.
fn size_of_record(record: &UsageRecord) -> usize {
    let version = record.version.as_ref();
    let version = version.map_or(0, |key| {
        key.model.as_str().len() + key.version.as_str().len()
    });
    FIXED_BYTES + record.workspace.as_str().len() + record.task.as_str().len() + version
}
