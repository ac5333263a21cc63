//! Splits a streamed response into events, and keeps those that the caller does not have yet.

use bytes::{Bytes, BytesMut};

use crate::coordination::memory::ResponseBound;
use crate::coordination::requests::{EventOrder, EventVerdict};
use crate::protocol::{EventSplitter, StreamEvent};
use crate::state::EventForm;
use crate::transport::response_fault::ResponseFault;

/// Greatest size of the comments between two events in bytes.
const MAX_COMMENT_BYTES: usize = 64 * 1_024;

/// What some bytes of a response completed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct TakenEvents {
    /// Number of events.
    pub(crate) events: usize,
    /// Why the response must be given up, if it must.
    pub(crate) fault: Option<ResponseFault>,
}

/// The events of a stream, in one response or in several that continue each other.
#[derive(Clone, Debug)]
pub(crate) struct EventIntake {
    splitter: EventSplitter,
    order: EventOrder,
    // Events for the caller, one after the other.
    pending: BytesMut,
    // An event without data, which is queued with the next one.
    held: BytesMut,
    // Size of the comments since the last event.
    comment_bytes: usize,
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
            pending: BytesMut::new(),
            held: BytesMut::new(),
            comment_bytes: 0,
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

    /// Returns the number of bytes that are held and not for the caller yet.
    pub(crate) fn partial_bytes(&self) -> usize {
        self.held.len() + self.splitter.held_bytes()
    }

    /// Begins with a response that continues the stream.
    pub(crate) fn begin_response(&mut self) {
        self.splitter = EventSplitter::default();
        self.has_event = false;
        self.comment_bytes = 0;
        self.order.begin_response();
        self.held.clear();
    }

    /// Takes bytes of the response.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> TakenEvents {
        let mut taken = TakenEvents::default();
        let events = match self.splitter.push(bytes) {
            Ok(events) => events,
            Err(error) => {
                taken.fault = Some(error.into());
                return taken;
            }
        };
        for event in events {
            let is_comment = event.form == EventForm::Comment;
            if let Err(fault) = self.accept(&event) {
                taken.fault = Some(fault);
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
        self.release_held();
        let rest = self.splitter.take_rest();
        self.pending.extend_from_slice(&rest);
        true
    }

    /// Takes the events for the caller, one after the other; empty if there are none.
    pub(crate) fn take_pending(&mut self) -> Bytes {
        self.pending.split().freeze()
    }

    /// Keeps an event that the caller does not have yet.
    ///
    /// # Errors
    ///
    /// Returns an error if it is not one of the stream in its order, or one comment too many.
    fn accept(&mut self, event: &StreamEvent) -> Result<(), ResponseFault> {
        let verdict = self.order.judge(event.form);
        if event.form == EventForm::Comment {
            self.comment_bytes += event.bytes.len();
        } else {
            self.comment_bytes = 0;
        }
        if self.comment_bytes > MAX_COMMENT_BYTES {
            return Err(ResponseFault::Bounded(ResponseBound::Filler));
        }
        match verdict {
            EventVerdict::Deliver => {
                self.delivered += 1;
                // A comment does not show that an event before it is right.
                if event.form != EventForm::Comment {
                    self.has_event = true;
                    self.release_held();
                }
                self.pending.extend_from_slice(&event.bytes);
            }
            EventVerdict::Hold => self.held.extend_from_slice(&event.bytes),
            EventVerdict::Skip => {}
            EventVerdict::Reject => return Err(ResponseFault::Garbled),
        }
        Ok(())
    }

    /// Queues the event that was held.
    fn release_held(&mut self) {
        let held = self.held.split();
        self.pending.extend_from_slice(&held);
    }
}
