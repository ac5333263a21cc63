//! Splits a streamed response into events, and keeps those that the caller does not have yet.

use std::collections::VecDeque;

use bytes::Bytes;

use crate::coordination::requests::{EventOrder, EventVerdict};
use crate::protocol::{EventSplitter, StreamEvent};
use crate::state::EventForm;

/// What some bytes of a response completed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct TakenEvents {
    /// Number of events and comments.
    pub(crate) blocks: usize,
    /// Number of events.
    pub(crate) events: usize,
    /// Whether the bytes do not go on with the stream, so that the response must be given up.
    pub(crate) is_garbled: bool,
}

/// The events of a stream, in one response or in several that continue each other.
#[derive(Clone, Debug)]
pub(crate) struct EventIntake {
    splitter: EventSplitter,
    order: EventOrder,
    pending: VecDeque<Bytes>,
    // Events without data, which are queued with the next one.
    held: Vec<Bytes>,
    // Whether the response holds an event for the caller.
    has_event: bool,
    delivered: u64,
}

impl EventIntake {
    /// Creates the intake of a stream of which the caller has the events up to `last_id`.
    pub(crate) fn new(last_id: Option<u64>, is_resumable: bool) -> Self {
        Self {
            splitter: EventSplitter::default(),
            order: EventOrder::new(last_id, is_resumable),
            pending: VecDeque::new(),
            held: Vec::new(),
            has_event: false,
            delivered: 0,
        }
    }

    /// Returns the order of the events.
    pub(crate) fn order(&self) -> &EventOrder {
        &self.order
    }

    /// Returns the number of events that were kept for the caller.
    pub(crate) fn delivered(&self) -> u64 {
        self.delivered
    }

    /// Returns whether the response holds an event that the caller did not have.
    pub(crate) fn has_event(&self) -> bool {
        self.has_event
    }

    /// Returns whether nothing of the bytes taken so far is kept.
    pub(crate) fn is_clear(&self) -> bool {
        self.pending.is_empty() && self.held.is_empty() && !self.splitter.has_partial()
    }

    /// Begins with a response that continues the stream.
    pub(crate) fn begin_response(&mut self) {
        self.splitter = EventSplitter::default();
        self.has_event = false;
        self.order.begin_response();
        self.held.clear();
    }

    /// Takes bytes of the response.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> TakenEvents {
        let mut taken = TakenEvents::default();
        let Ok(events) = self.splitter.push(bytes) else {
            taken.is_garbled = true;
            return taken;
        };
        taken.blocks = events.len();
        for event in events {
            let is_comment = event.form == EventForm::Comment;
            if !self.accept(event) {
                taken.is_garbled = true;
                break;
            }
            taken.events += usize::from(!is_comment);
        }
        taken
    }

    /// Ends the response; returns false if it ends inside an event.
    pub(crate) fn finish(&mut self) -> bool {
        if self.splitter.has_partial() {
            return false;
        }
        self.pending.extend(self.held.drain(..));
        true
    }

    /// Takes the events for the caller.
    pub(crate) fn drain(&mut self) -> impl Iterator<Item = Bytes> {
        self.pending.drain(..)
    }

    /// Keeps an event that the caller does not have yet; returns false if it is not one of the stream in
    /// its order.
    fn accept(&mut self, event: StreamEvent) -> bool {
        match self.order.judge(event.form) {
            EventVerdict::Deliver => {
                self.delivered += 1;
                // A comment does not show that an event before it is right.
                if event.form != EventForm::Comment {
                    self.has_event = true;
                    self.pending.extend(self.held.drain(..));
                }
                self.pending.push_back(event.bytes);
            }
            EventVerdict::Hold => self.held.push(event.bytes),
            EventVerdict::Skip => {}
            EventVerdict::Reject => return false,
        }
        true
    }
}
