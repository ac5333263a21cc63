//! Splits the byte stream of an answer into server-sent events.

use bytes::{Bytes, BytesMut};
use thiserror::Error;

use crate::protocol::read_event_form;
use crate::state::EventForm;

/// Greatest size of one event in bytes; model engines send none that are longer.
const MAX_EVENT_BYTES: usize = 1_024 * 1_024;
/// Greatest size of the blank lines before an event in bytes.
const MAX_BLANK_BYTES: usize = 64 * 1_024;

/// The bytes are not a valid event stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum SplitError {
    /// An event exceeds `MAX_EVENT_BYTES`.
    #[error("an event is longer than {MAX_EVENT_BYTES} bytes")]
    TooLong,
    /// The blank lines before an event exceed `MAX_BLANK_BYTES`.
    #[error("more than {MAX_BLANK_BYTES} bytes of blank lines precede an event")]
    TooBlank,
}

/// A complete event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamEvent {
    /// What the lines of the event are.
    pub form: EventForm,
    /// The event as received, including the blank lines before it and the one that ends it.
    pub bytes: Bytes,
}

/// Buffers bytes until they form complete events.
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    // Size of the blank lines that the buffer begins with.
    blank_bytes: usize,
    // Start of the last line, which is not complete.
    line_start: usize,
    // Number of bytes that are known to hold no further end of a line.
    searched: usize,
}

impl EventSplitter {
    /// Appends bytes and returns the events that they complete.
    ///
    /// ```
    /// use galenamast_gateway::protocol::EventSplitter;
    /// use galenamast_gateway::state::EventForm;
    ///
    /// let mut splitter = EventSplitter::default();
    /// assert!(splitter.push(b"id: 1\ndata: a").unwrap().is_empty());
    /// let events = splitter.push(b"\n\nid: 2\n").unwrap();
    /// assert_eq!(events[0].form, EventForm::Event { id: Some(1), has_data: true });
    /// assert!(splitter.has_partial());
    /// ```
    ///
    /// # Errors
    ///
    /// Returns an error if an event, or the blank lines before one, exceed the greatest size.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<StreamEvent>, SplitError> {
        self.buffer.extend_from_slice(bytes);
        let mut events = Vec::new();
        while let Some(end) = self.find_end() {
            let bytes = self.buffer.split_to(end).freeze();
            (self.blank_bytes, self.line_start, self.searched) = (0, 0, 0);
            let form = read_event_form(&bytes);
            events.push(StreamEvent { form, bytes });
        }
        if self.blank_bytes > MAX_BLANK_BYTES {
            return Err(SplitError::TooBlank);
        }
        if self.buffer.len() > MAX_EVENT_BYTES {
            return Err(SplitError::TooLong);
        }
        Ok(events)
    }

    /// Returns the number of bytes that are allocated for an event that is not complete.
    pub fn held_bytes(&self) -> usize {
        self.buffer.capacity()
    }

    /// Returns whether the buffer holds the beginning of an event.
    pub fn has_partial(&self) -> bool {
        let after_blank = &self.buffer[self.blank_bytes..];
        after_blank.iter().any(|byte| !byte.is_ascii_whitespace())
    }

    /// Takes the bytes that complete no event.
    pub fn take_rest(&mut self) -> Bytes {
        std::mem::take(self).buffer.freeze()
    }

    /// Returns the end of the first event in the buffer; remembers where to search on.
    fn find_end(&mut self) -> Option<usize> {
        let mut line_start = self.line_start;
        let mut from = self.searched.max(line_start);
        while let Some(offset) = self.buffer[from..].iter().position(|byte| *byte == b'\n') {
            let line = &self.buffer[line_start..from + offset];
            let next = from + offset + 1;
            let is_blank = line.is_empty() || line == b"\r";
            if is_blank && line_start > self.blank_bytes {
                return Some(next);
            }
            if is_blank {
                self.blank_bytes = next;
            }
            (line_start, from) = (next, next);
        }
        (self.line_start, self.searched) = (line_start, self.buffer.len());
        None
    }
}
