//! Buffers usage records on this host and a peer until they are written to the platform.

use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use serde_json::Value;
use tokio::sync::{Notify, watch};

use crate::coordination::{
    BufferLimits, UsageBatch, UsageBuffer, UsageCopy, UsageOrigin, UsageRecord, WriteCondition,
    WriteOutcome,
};
use crate::logging::log_fault;
use crate::state::HostName;
use crate::transport::object_calls::{CallFuture, ObjectCalls};
use crate::transport::timer_service::TimerService;

/// Copies a record to a peer of the same failure domain; returns whether the peer stored it.
pub type CopyCall = Arc<dyn Fn(UsageCopy) -> CallFuture<bool> + Send + Sync>;

/// Limits and times of a [`UsageLedger`].
#[derive(Clone, Debug)]
pub struct LedgerSettings {
    /// Host and run that this ledger's records come from.
    pub origin: UsageOrigin,
    /// Limits of the buffer.
    pub limits: BufferLimits,
    /// Longest time before a batch that is not full is written.
    pub flush_period: Duration,
    /// Delay before a failed write is retried.
    pub retry_wait: Duration,
    /// Age after which this host writes a peer's copy to the platform itself.
    pub max_copy_age: Duration,
    /// Time limit for copying a record, and again for writing it if the copy fails.
    pub durability_timeout: Duration,
}

impl Default for LedgerSettings {
    fn default() -> Self {
        Self {
            origin: UsageOrigin::default(),
            limits: BufferLimits::default(),
            flush_period: Duration::from_secs(10),
            retry_wait: Duration::from_millis(500),
            max_copy_age: Duration::from_secs(300),
            durability_timeout: Duration::from_secs(1),
        }
    }
}

/// Where a record is stored when the answer to its request ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UsageDurability {
    /// On this host and a peer.
    Copied,
    /// On the platform.
    Durable,
    /// On this host alone, because neither a peer nor the platform could be reached.
    Local,
}

/// Fill level of a ledger, as reported to operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LedgerStatus {
    /// Size of all buffered records, in bytes.
    pub held_bytes: usize,
    /// Age of the oldest record that is not on the platform yet.
    pub oldest_age: Duration,
}

/// Buffers usage records until they are on the platform; clones share one state.
#[derive(Clone)]
pub struct UsageLedger {
    shared: Arc<LedgerState>,
}

/// State that the clones of a ledger share.
struct LedgerState {
    buffer: Mutex<UsageBuffer>,
    calls: ObjectCalls,
    copy_to_peer: CopyCall,
    timers: TimerService,
    settings: LedgerSettings,
    flush: Notify,
    durable: watch::Sender<u64>,
}

impl fmt::Debug for UsageLedger {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("UsageLedger(..)")
    }
}

/// Buffer space reserved for the record of one request; released when dropped.
#[derive(Debug)]
pub struct UsageReservation {
    ledger: UsageLedger,
}

impl Drop for UsageReservation {
    fn drop(&mut self) {
        self.ledger.buffer().unreserve();
    }
}

impl UsageLedger {
    /// Creates a ledger; records are written only while [`run`](Self::run) is running.
    pub fn new(
        calls: ObjectCalls,
        copy_to_peer: CopyCall,
        timers: TimerService,
        settings: LedgerSettings,
    ) -> Self {
        let buffer = UsageBuffer::new(settings.origin.clone(), settings.limits);
        let shared = LedgerState {
            buffer: Mutex::new(buffer),
            calls,
            copy_to_peer,
            timers,
            settings,
            flush: Notify::new(),
            durable: watch::Sender::new(0),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Reserves buffer space for the record of a request.
    ///
    /// `None` means that the buffer is full; the request must be refused without being run.
    pub fn reserve(&self) -> Option<UsageReservation> {
        let reserved = self.buffer().reserve();
        reserved.then(|| UsageReservation {
            ledger: self.clone(),
        })
    }

    /// Stores a record; must be awaited before the last byte of the answer is sent.
    pub async fn record(&self, record: UsageRecord) -> UsageDurability {
        let now = self.shared.timers.now();
        let (copy, full) = {
            let mut buffer = self.buffer();
            let copy = buffer.push(record, now);
            (copy, buffer.has_full_batch())
        };
        if full {
            self.shared.flush.notify_one();
        }
        let sequence = copy.sequence;
        let timeout = self.shared.settings.durability_timeout;
        let copying = (self.shared.copy_to_peer)(copy);
        let copied = tokio::select! {
            copied = copying => copied.unwrap_or(false),
            () = self.shared.timers.sleep(timeout) => false,
        };
        if copied {
            return UsageDurability::Copied;
        }
        self.write_through(sequence).await
    }

    /// Stores a copy from a peer of the same failure domain; returns whether it is stored.
    pub fn accept_copy(&self, copy: UsageCopy) -> bool {
        let now = self.shared.timers.now();
        self.buffer().store_copy(copy, now)
    }

    /// Takes over the copies of a peer that is gone and writes them to the platform.
    ///
    /// Harmless if the peer is still running.
    pub fn adopt_host(&self, host: &HostName) {
        self.buffer().adopt_host(host);
        self.shared.flush.notify_one();
    }

    /// Returns the fill level of the ledger.
    pub fn status(&self) -> LedgerStatus {
        let now = self.shared.timers.now();
        let buffer = self.buffer();
        LedgerStatus {
            held_bytes: buffer.used_bytes(),
            oldest_age: buffer.oldest_age(now),
        }
    }

    /// Writes batches after each flush signal or flush period, until the task is aborted.
    pub async fn run(self) {
        let shared = &self.shared;
        loop {
            tokio::select! {
                () = shared.flush.notified() => {}
                () = shared.timers.sleep(shared.settings.flush_period) => {}
            }
            let now = shared.timers.now();
            self.buffer().adopt_stale(now, shared.settings.max_copy_age);
            self.write_batches().await;
        }
    }

    /// Waits until every record is on the platform, for a graceful shutdown.
    ///
    /// Returns `false` if some are not after `timeout`.
    pub async fn drain(&self, timeout: Duration) -> bool {
        let deadline = self.shared.timers.now() + timeout;
        let mut durable = self.shared.durable.subscribe();
        self.shared.flush.notify_one();
        loop {
            if self.buffer().is_written() {
                return true;
            }
            tokio::select! {
                changed = durable.changed() => if changed.is_err() { return false },
                () = self.shared.timers.sleep_until(deadline) => return false,
            }
        }
    }

    /// Writes batches until none is left; failed writes are retried.
    async fn write_batches(&self) {
        let shared = &self.shared;
        loop {
            let Some(batch) = self.buffer().next_batch() else {
                return;
            };
            if self.write_batch(&batch).await {
                let durable = {
                    let mut buffer = self.buffer();
                    buffer.batch_written(batch.sequence);
                    buffer.durable_before()
                };
                shared.durable.send_replace(durable);
            } else {
                shared.timers.sleep(shared.settings.retry_wait).await;
            }
        }
    }

    /// Writes a batch and returns whether it is on the platform.
    async fn write_batch(&self, batch: &UsageBatch) -> bool {
        let value = match serde_json::to_value(batch) {
            Ok(value) => value,
            Err(error) => {
                log_fault("usage", &error);
                return false;
            }
        };
        let calls = &self.shared.calls;
        let written = (calls.write)(batch.object(), WriteCondition::Absent, value.clone());
        match written.await {
            Ok(WriteOutcome::Applied(_)) => true,
            Ok(WriteOutcome::Conflict) => self.is_same_batch(batch, &value).await,
            Ok(WriteOutcome::Rejected | WriteOutcome::Indeterminate) => false,
            Err(error) => {
                log_fault("usage", &error);
                false
            }
        }
    }

    /// Returns whether the existing object of a batch's name stems from an earlier write of it.
    ///
    /// If the object is another batch, as can happen after the clock was set back, this batch is
    /// renamed.
    async fn is_same_batch(&self, batch: &UsageBatch, value: &Value) -> bool {
        match (self.shared.calls.read)(batch.object()).await {
            Ok(Some(record)) if record.value == *value => true,
            Ok(Some(_)) => {
                self.buffer().rename_batch(batch.sequence);
                log_fault(
                    "usage",
                    &format!("object {} is another batch", batch.object()),
                );
                false
            }
            Ok(None) | Err(_) => false,
        }
    }

    /// Requests a flush and waits until a record is on the platform or the time limit passes.
    async fn write_through(&self, sequence: u64) -> UsageDurability {
        let mut durable = self.shared.durable.subscribe();
        self.shared.flush.notify_one();
        let timeout = self.shared.settings.durability_timeout;
        tokio::select! {
            written = durable.wait_for(|before| *before > sequence) => match written {
                Ok(_) => UsageDurability::Durable,
                Err(_) => UsageDurability::Local,
            },
            () = self.shared.timers.sleep(timeout) => UsageDurability::Local,
        }
    }

    /// Locks the buffer.
    fn buffer(&self) -> MutexGuard<'_, UsageBuffer> {
        self.shared
            .buffer
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
