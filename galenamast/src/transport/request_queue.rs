//! Queues requests until a server may be free and wakes them in fair order.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::oneshot;

use crate::coordination::{AdmissionQueue, PoolTiming, QueueEntry, QueueTicket, QueueVerdict};
use crate::state::{PoolName, TimePoint};

/// Outcome of a wait in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitOutcome {
    /// A server may have a free slot.
    Released,
    /// The request was shed: the queue was full or its wait took too long.
    Shed,
}

/// Requests that wait for a free server, with the timing of each pool's answers.
///
/// The number of waiting requests is kept apart from the lock, so that the checks on the request
/// path need no lock while nothing waits.
#[derive(Debug)]
pub struct RequestQueue {
    waiting: AtomicUsize,
    state: Mutex<QueueState>,
    timings: Mutex<BTreeMap<PoolName, PoolTiming>>,
}

/// The queue, with the channel that wakes each request in it.
#[derive(Debug)]
struct QueueState {
    queue: AdmissionQueue,
    wakers: BTreeMap<QueueTicket, oneshot::Sender<WaitOutcome>>,
    last_ticket: u64,
}

impl RequestQueue {
    /// Creates a queue for up to `max_queued` requests.
    pub fn new(max_queued: usize) -> Self {
        let state = QueueState {
            queue: AdmissionQueue::new(max_queued),
            wakers: BTreeMap::new(),
            last_ticket: 0,
        };
        Self {
            waiting: AtomicUsize::new(0),
            state: Mutex::new(state),
            timings: Mutex::default(),
        }
    }

    /// Returns how many requests wait.
    pub fn waiting(&self) -> usize {
        self.waiting.load(Ordering::Relaxed)
    }

    /// Changes the maximum number of waiting requests; requests that already wait are not shed.
    pub fn set_limit(&self, max_queued: usize) {
        self.lock().queue.set_limit(max_queued);
    }

    /// Adds a request and returns its ticket and the channel that receives the outcome.
    ///
    /// In a full queue, either this request or a less entitled one is shed at once.
    pub fn join(&self, entry: QueueEntry) -> (QueueTicket, oneshot::Receiver<WaitOutcome>) {
        let (sender, receiver) = oneshot::channel();
        let mut state = self.lock();
        state.last_ticket += 1;
        let ticket = QueueTicket(state.last_ticket);
        let verdict = state.queue.push(QueueEntry { ticket, ..entry });
        match verdict {
            QueueVerdict::Queued => {
                state.wakers.insert(ticket, sender);
            }
            QueueVerdict::Displaced(shed) => {
                state.wakers.insert(ticket, sender);
                if let Some(waker) = state.wakers.remove(&shed) {
                    let _ = waker.send(WaitOutcome::Shed);
                }
            }
            QueueVerdict::Rejected => {
                let _ = sender.send(WaitOutcome::Shed);
            }
        }
        self.waiting.store(state.wakers.len(), Ordering::Relaxed);
        (ticket, receiver)
    }

    /// Adds a request again that was released but found no server.
    ///
    /// Its workspace is not charged for the release.
    pub fn rejoin(&self, entry: QueueEntry) -> (QueueTicket, oneshot::Receiver<WaitOutcome>) {
        self.lock().queue.refund(&entry);
        self.join(entry)
    }

    /// Records the service time of a pool's answer.
    pub fn observe(&self, pool: &PoolName, service: Duration, now: TimePoint) {
        let mut timings = self.lock_timings();
        if let Some(timing) = timings.get_mut(pool) {
            return timing.observe(service, now);
        }
        let timing = timings.entry(pool.clone()).or_default();
        timing.observe(service, now);
    }

    /// Returns the time until which a request may wait and still be answered before its deadline.
    ///
    /// It is at most `longest` from now.
    pub fn wait_deadline(
        &self,
        pool: &PoolName,
        now: TimePoint,
        deadline: TimePoint,
        longest: Duration,
    ) -> TimePoint {
        let timings = self.lock_timings();
        let default_timing = PoolTiming::default();
        let timing = timings.get(pool).unwrap_or(&default_timing);
        timing.wait_deadline(now, deadline, longest)
    }

    /// Returns the expected wait of a further request for a pool; `None` if its rate of answers is
    /// not known yet.
    pub fn expected_wait(&self, pool: &PoolName) -> Option<Duration> {
        let waiting = self.lock().queue.waiting(pool);
        self.lock_timings().get(pool)?.time_to_serve(waiting + 1)
    }

    /// Removes a request from the queue.
    pub fn leave(&self, ticket: QueueTicket) {
        let mut state = self.lock();
        state.queue.remove(ticket);
        state.wakers.remove(&ticket);
        self.waiting.store(state.wakers.len(), Ordering::Relaxed);
    }

    /// Releases up to `count` requests that wait for a pool; those that have left are not counted.
    pub fn release(&self, pool: &PoolName, count: usize, now: TimePoint) {
        if self.waiting.load(Ordering::Relaxed) == 0 {
            return;
        }
        let mut state = self.lock();
        let mut woken = 0;
        while woken < count {
            let Some(entry) = state.queue.pop(pool, now) else {
                break;
            };
            let waker = state.wakers.remove(&entry.ticket);
            if waker.is_some_and(|waker| waker.send(WaitOutcome::Released).is_ok()) {
                woken += 1;
            }
        }
        self.waiting.store(state.wakers.len(), Ordering::Relaxed);
    }

    /// Returns whether requests wait for a pool.
    pub fn has_waiters(&self, pool: &PoolName) -> bool {
        self.waiting.load(Ordering::Relaxed) > 0 && self.lock().queue.waiting(pool) > 0
    }

    /// Returns the pools that requests wait for.
    pub fn pools(&self) -> Vec<PoolName> {
        if self.waiting.load(Ordering::Relaxed) == 0 {
            return Vec::new();
        }
        self.lock().queue.pools()
    }

    /// Locks the timings of the pools; a poisoned lock is used as it is.
    fn lock_timings(&self) -> MutexGuard<'_, BTreeMap<PoolName, PoolTiming>> {
        self.timings.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the queue; a poisoned lock is used as it is.
    fn lock(&self) -> MutexGuard<'_, QueueState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
