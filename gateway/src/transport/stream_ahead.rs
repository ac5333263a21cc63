//! Holds the events of a stream that were read from the server and not taken by the caller yet.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use tokio::sync::Notify;

use crate::coordination::memory::{HeldBytes, may_read_on};
use crate::transport::gateway_context::GatewayContext;
use crate::transport::host_memory::{MemoryKind, MemoryShare};
use crate::transport::response_body::TruncatedResponse;

/// Memory of an entry of the queue besides its events, in bytes.
const ENTRY_BYTES: usize = 128;

/// Queued events, and how the response ended.
#[derive(Debug)]
struct QueueState {
    // The events of one read each.
    entries: VecDeque<Bytes>,
    share: MemoryShare,
    // Set when nothing more is queued.
    end: Option<Result<(), TruncatedResponse>>,
}

/// Events that the caller has not taken. They count against the memory for bodies until then.
#[derive(Debug)]
pub(crate) struct EventQueue {
    context: Arc<GatewayContext>,
    state: Mutex<QueueState>,
    // Notified when the caller took an event.
    taken: Notify,
    // Notified when an event or the end was queued.
    queued: Notify,
}

impl EventQueue {
    /// Creates an empty queue.
    pub(crate) fn new(context: &Arc<GatewayContext>) -> Self {
        Self {
            context: context.clone(),
            state: Mutex::new(QueueState {
                entries: VecDeque::new(),
                share: MemoryShare::new(&context.memory, MemoryKind::Streams),
                end: None,
            }),
            taken: Notify::new(),
            queued: Notify::new(),
        }
    }

    /// Queues events, unless there are none.
    pub(crate) fn push(&self, events: Bytes) {
        if events.is_empty() {
            return;
        }
        let mut state = self.lock();
        let bytes = state.share.bytes() + events.len() + ENTRY_BYTES;
        state.share.set(bytes);
        state.entries.push_back(events);
        drop(state);
        self.queued.notify_one();
    }

    /// Queues the end of the response.
    pub(crate) fn close(&self, end: Result<(), TruncatedResponse>) {
        self.lock().end = Some(end);
        self.queued.notify_one();
    }

    /// Waits until the response may be read on; returns whether it had to wait.
    pub(crate) async fn wait_for_room(&self) -> bool {
        let mut has_waited = false;
        while !self.has_room() {
            has_waited = true;
            self.taken.notified().await;
        }
        has_waited
    }

    /// Waits until the caller has taken all events.
    pub(crate) async fn drained(&self) {
        while !self.lock().entries.is_empty() {
            self.taken.notified().await;
        }
    }

    /// Takes the next events; `None` after the last ones of a complete response.
    pub(crate) async fn next(&self) -> Option<Result<Bytes, TruncatedResponse>> {
        loop {
            {
                let mut state = self.lock();
                if let Some(events) = state.entries.pop_front() {
                    let bytes = state.share.bytes() - events.len() - ENTRY_BYTES;
                    state.share.set(bytes);
                    drop(state);
                    self.taken.notify_one();
                    return Some(Ok(events));
                }
                match state.end.take() {
                    Some(Ok(())) => return None,
                    Some(Err(error)) => return Some(Err(error)),
                    None => {}
                }
            }
            self.queued.notified().await;
        }
    }

    /// Returns whether the response may be read on.
    fn has_room(&self) -> bool {
        let memory = &self.context.memory;
        let held = HeldBytes {
            stream: self.lock().share.bytes(),
            all_streams: memory.held(MemoryKind::Streams),
            all_bodies: memory.total(),
        };
        may_read_on(held, memory.limit(), &self.context.settings.read_ahead)
    }

    /// Locks the state; one whose holder panicked is used as it is.
    fn lock(&self) -> MutexGuard<'_, QueueState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
