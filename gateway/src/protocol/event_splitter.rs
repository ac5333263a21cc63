//! Splits the bytes of a streamed answer into whole events.

use bytes::{Bytes, BytesMut};
use thiserror::Error;

/// Greatest size of one event in bytes; a longer one is no event of a model engine.
const MAX_EVENT_BYTES: usize = 1_024 * 1_024;

/// The bytes are no series of events.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum SplitError {
    /// An event is longer than any engine sends.
    #[error("an event is longer than {MAX_EVENT_BYTES} bytes")]
    TooLong,
}

/// A whole event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamEvent {
    /// Identifier, if the event has one that is a number.
    pub id: Option<u64>,
    /// The event as it came, with its closing blank line.
    pub bytes: Bytes,
}

/// Gathers bytes until events are whole.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    searched: usize,
}

impl EventSplitter {
    /// Takes in bytes and returns the events that they complete.
    ///
    /// ```
    /// use galenamast_gateway::protocol::EventSplitter;
    ///
    /// let mut splitter = EventSplitter::default();
    /// assert!(splitter.push(b"id: 1\ndata: a").unwrap().is_empty());
    /// let events = splitter.push(b"\n\nid: 2\n").unwrap();
    /// assert_eq!(events[0].id, Some(1));
    /// assert!(splitter.has_partial());
    /// ```
    ///
    /// # Errors
    ///
    /// Returns an error if an event is too long to be one.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<StreamEvent>, SplitError> {
        self.buffer.extend_from_slice(bytes);
        let mut events = Vec::new();
        while let Some(end) = self.find_end() {
            let bytes = self.buffer.split_to(end).freeze();
            self.searched = 0;
            let id = event_id(&bytes);
            events.push(StreamEvent { id, bytes });
        }
        if self.buffer.len() > MAX_EVENT_BYTES {
            return Err(SplitError::TooLong);
        }
        Ok(events)
    }

    /// Returns whether an event has begun and is not whole.
    pub fn has_partial(&self) -> bool {
        self.buffer.iter().any(|byte| !byte.is_ascii_whitespace())
    }

    /// Finds the end of the first event.
    fn find_end(&mut self) -> Option<usize> {
        let mut line_start = self.searched;
        while let Some(offset) = self.buffer[line_start..]
            .iter()
            .position(|byte| *byte == b'\n')
        {
            let line = &self.buffer[line_start..line_start + offset];
            let next = line_start + offset + 1;
            let is_blank = line.is_empty() || line == b"\r";
            if is_blank && line_start > 0 {
                return Some(next);
            }
            line_start = next;
        }
        self.searched = line_start;
        None
    }
}

/// Reads the identifier of an event.
fn event_id(event: &[u8]) -> Option<u64> {
    event.split(|byte| *byte == b'\n').find_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    })
}
