//! Holds the events of a stream that were read from the server and not taken by the caller yet.

use std::collections::VecDeque;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use tokio::sync::Notify;

use crate::coordination::memory::{HeldBytes, may_read_on};
use crate::transport::gateway_context::GatewayContext;
use crate::transport::response_body::TruncatedResponse;

/// Queued events, and how the response ended.
#[derive(Debug, Default)]
struct QueueState {
    events: VecDeque<Bytes>,
    bytes: usize,
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
            state: Mutex::default(),
            taken: Notify::new(),
            queued: Notify::new(),
        }
    }

    /// Queues events.
    pub(crate) fn push(&self, events: impl Iterator<Item = Bytes>) {
        let mut events = events.peekable();
        if events.peek().is_none() {
            return;
        }
        let mut state = self.lock();
        for event in events {
            self.count(event.len());
            state.bytes += event.len();
            state.events.push_back(event);
        }
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
        while !self.lock().events.is_empty() {
            self.taken.notified().await;
        }
    }

    /// Takes the next event; `None` after the last one of a complete response.
    pub(crate) async fn next(&self) -> Option<Result<Bytes, TruncatedResponse>> {
        loop {
            {
                let mut state = self.lock();
                if let Some(event) = state.events.pop_front() {
                    state.bytes -= event.len();
                    self.discount(event.len());
                    drop(state);
                    self.taken.notify_one();
                    return Some(Ok(event));
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
        let held = HeldBytes {
            stream: self.lock().bytes,
            all_streams: self.context.buffered_stream_bytes.load(Ordering::Relaxed),
            all_bodies: self.context.buffered_body_bytes.load(Ordering::Relaxed),
        };
        let settings = &self.context.settings;
        may_read_on(held, settings.max_buffered_bytes, &settings.read_ahead)
    }

    /// Counts bytes that are held.
    fn count(&self, bytes: usize) {
        let context = &self.context;
        context
            .buffered_body_bytes
            .fetch_add(bytes, Ordering::Relaxed);
        context
            .buffered_stream_bytes
            .fetch_add(bytes, Ordering::Relaxed);
    }

    /// Discounts bytes that are no longer held.
    fn discount(&self, bytes: usize) {
        let context = &self.context;
        context
            .buffered_body_bytes
            .fetch_sub(bytes, Ordering::Relaxed);
        context
            .buffered_stream_bytes
            .fetch_sub(bytes, Ordering::Relaxed);
    }

    /// Locks the state; one whose holder panicked is used as it is.
    fn lock(&self) -> MutexGuard<'_, QueueState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for EventQueue {
    fn drop(&mut self) {
        let bytes = self.lock().bytes;
        self.discount(bytes);
    }
}
