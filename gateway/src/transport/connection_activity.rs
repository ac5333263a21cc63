//! What is in progress on a connection of a caller.

use std::sync::atomic::{AtomicBool, AtomicU8, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};
use std::task::Waker;
use std::time::Duration;

use galenamast::state::TimePoint;
use tokio_util::sync::CancellationToken;

use crate::coordination::callers::{ConnectionProgress, ConnectionStage, WaitStage};

/// Bytes of a request by which its head may be longer than is known, in bytes.
const MAX_UNKNOWN_BYTES: u64 = 1_024;

/// Interval at which a connection that is to give way is looked at.
const CUT_INTERVAL: Duration = Duration::from_millis(10);

/// The body that arrives on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BodyPhase {
    /// None, or it has arrived.
    Absent,
    /// That of an admitted request.
    Reading,
    /// That of a refused request.
    Discarding,
}

/// What is in progress on a connection.
#[derive(Debug, Default)]
pub(crate) struct ConnectionActivity {
    // Number of reads that returned bytes.
    reads: AtomicUsize,
    // The same when the response to the last request was begun.
    answered_reads: AtomicUsize,
    // Number of requests whose response is not complete.
    serving: AtomicUsize,
    // Whether bytes of a response wait until the caller reads.
    is_blocked: AtomicBool,
    // Wakes the connection when the last response is complete, as hyper may not read again by itself then.
    reader: Mutex<Option<Waker>>,
    // `BodyPhase` of the request in progress.
    body_phase: AtomicU8,
    // Whether the caller sends on while its request is in progress.
    is_ahead: AtomicBool,
    // Number of admitted requests that have arrived whole.
    arrived: AtomicUsize,
    // When the connection began to wait, its request to arrive or its caller to read nothing, in
    // microseconds; and the bytes that arrived since.
    since: AtomicU64,
    bytes: AtomicU64,
    // When bytes last arrived, in microseconds.
    read_at: AtomicU64,
    // Memory of the connection and of the body that arrives on it, in bytes.
    connection_bytes: AtomicUsize,
    body_bytes: AtomicUsize,
    /// Cancelled when the connection is to give way to others.
    pub(crate) evicted: CancellationToken,
}

/// Loads a counter.
fn load(count: &AtomicUsize) -> usize {
    count.load(Ordering::SeqCst)
}

impl ConnectionActivity {
    /// Creates the activity of a connection that is opened now.
    pub(crate) fn new(now: TimePoint) -> Self {
        Self {
            since: AtomicU64::new(now.as_micros()),
            ..Self::default()
        }
    }

    /// Begins a span of waiting, of arrival or without a read.
    fn restart(&self, now: TimePoint) {
        self.since.store(now.as_micros(), Ordering::SeqCst);
        self.bytes.store(0, Ordering::SeqCst);
    }

    /// Records that bytes arrived; returns how many did since the request began.
    pub(crate) fn note_read(&self, length: usize, now: TimePoint) -> u64 {
        if self.stage() == Some(WaitStage::Idle) {
            self.restart(now);
        }
        let is_in_progress = load(&self.serving) > 0 && self.phase() == BodyPhase::Absent;
        if is_in_progress {
            self.note_ahead(now);
        }
        self.read_at.store(now.as_micros(), Ordering::SeqCst);
        self.reads.fetch_add(1, Ordering::SeqCst);
        let length = length as u64;
        self.bytes.fetch_add(length, Ordering::SeqCst) + length
    }

    /// Records that the caller sends on while its request is in progress.
    fn note_ahead(&self, now: TimePoint) {
        if !self.is_ahead.swap(true, Ordering::SeqCst) {
            self.restart(now);
        }
    }

    /// Records whether bytes wait until the caller reads; returns whether that changed.
    pub(crate) fn note_blocked(&self, is_blocked: bool, now: TimePoint) -> bool {
        let has_changed = self.is_blocked.swap(is_blocked, Ordering::SeqCst) != is_blocked;
        if has_changed {
            self.restart(now);
            if !is_blocked {
                self.wake();
            }
        }
        has_changed
    }

    /// Returns what body arrives.
    fn phase(&self) -> BodyPhase {
        match self.body_phase.load(Ordering::SeqCst) {
            phase if phase == BodyPhase::Reading as u8 => BodyPhase::Reading,
            phase if phase == BodyPhase::Discarding as u8 => BodyPhase::Discarding,
            _ => BodyPhase::Absent,
        }
    }

    /// Records what body arrives.
    pub(crate) fn set_body_phase(&self, phase: BodyPhase) {
        self.body_phase.store(phase as u8, Ordering::SeqCst);
        self.body_bytes.store(0, Ordering::SeqCst);
    }

    /// Records that an admitted request has arrived whole, of which `length` bytes are known if it has a
    /// length.
    pub(crate) fn note_arrived(&self, length: Option<u64>, now: TimePoint) {
        self.set_body_phase(BodyPhase::Absent);
        self.arrived.fetch_add(1, Ordering::SeqCst);
        let allowed = length.map(|length| length.saturating_add(MAX_UNKNOWN_BYTES));
        if allowed.is_some_and(|allowed| self.bytes.load(Ordering::SeqCst) > allowed) {
            self.note_ahead(now);
        }
    }

    /// Records the memory of the connection.
    pub(crate) fn set_connection_bytes(&self, bytes: usize) {
        self.connection_bytes.store(bytes, Ordering::SeqCst);
    }

    /// Records the memory of the body that arrives.
    pub(crate) fn set_body_bytes(&self, bytes: usize) {
        self.body_bytes.store(bytes, Ordering::SeqCst);
    }

    /// Counts a request as being served.
    pub(crate) fn begin_serving(&self) {
        self.serving.fetch_add(1, Ordering::SeqCst);
    }

    /// Records that the response is begun. The request was read whole.
    pub(crate) fn note_answered(&self) {
        self.answered_reads
            .store(load(&self.reads), Ordering::SeqCst);
    }

    /// Ends what `begin_serving` began.
    pub(crate) fn end_serving(&self, now: TimePoint) {
        self.restart(now);
        self.is_ahead.store(false, Ordering::SeqCst);
        self.serving.fetch_sub(1, Ordering::SeqCst);
        self.wake();
    }

    /// Has the connection woken when the last response is complete.
    pub(crate) fn wake_when_served(&self, waker: &Waker) {
        let mut reader = self.reader.lock().unwrap_or_else(PoisonError::into_inner);
        reader
            .get_or_insert_with(|| waker.clone())
            .clone_from(waker);
    }

    /// Wakes the connection, which may wait for the next request now.
    fn wake(&self) {
        let mut reader = self.reader.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(waker) = reader.take() {
            waker.wake();
        }
    }

    /// Returns what the connection waits for; `None` while a request is being served.
    pub(crate) fn stage(&self) -> Option<WaitStage> {
        if load(&self.serving) > 0 || self.is_blocked.load(Ordering::SeqCst) {
            return None;
        }
        let is_idle = load(&self.reads) == load(&self.answered_reads);
        Some(if is_idle {
            WaitStage::Idle
        } else {
            WaitStage::Head
        })
    }

    /// Returns what the connection does; `None` while its caller waits for a response.
    fn connection_stage(&self) -> Option<ConnectionStage> {
        if self.is_blocked.load(Ordering::SeqCst) {
            return Some(ConnectionStage::Unread);
        }
        match self.phase() {
            BodyPhase::Reading => return Some(ConnectionStage::Body),
            BodyPhase::Discarding => return Some(ConnectionStage::Refused),
            BodyPhase::Absent => {}
        }
        match self.stage() {
            Some(WaitStage::Head) => Some(ConnectionStage::Head),
            Some(WaitStage::Idle) if load(&self.arrived) > 0 => Some(ConnectionStage::Kept),
            Some(WaitStage::Idle) => Some(ConnectionStage::Unused),
            None if self.is_ahead.load(Ordering::SeqCst) => Some(ConnectionStage::Ahead),
            None => None,
        }
    }

    /// Waits until the connection is to give way and may be cut. One whose request is to be refused is
    /// closed with the refusal, and an idle one by its socket, unless a request arrives.
    pub(crate) async fn cut(&self) {
        self.evicted.cancelled().await;
        while !self.may_be_cut() {
            tokio::time::sleep(CUT_INTERVAL).await;
        }
    }

    /// Returns whether the connection may be closed in the middle of what it does.
    fn may_be_cut(&self) -> bool {
        use ConnectionStage::{Ahead, Head, Refused, Unread};
        matches!(
            self.connection_stage(),
            Some(Head | Refused | Unread | Ahead)
        )
    }

    /// Returns what the connection has brought in its stage; `None` while its caller waits for a response.
    pub(crate) fn progress(&self, id: u64, now: TimePoint) -> Option<ConnectionProgress> {
        let stage = self.connection_stage()?;
        let since = self.since.load(Ordering::SeqCst);
        let read_at = self.read_at.load(Ordering::SeqCst).max(since);
        let until_now = |at| Duration::from_micros(now.as_micros().saturating_sub(at));
        Some(ConnectionProgress {
            id,
            stage,
            age: until_now(since),
            stalled: until_now(read_at),
            bytes: self.bytes.load(Ordering::SeqCst),
            held: load(&self.connection_bytes) + load(&self.body_bytes),
        })
    }
}
