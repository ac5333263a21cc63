//! Incremental reader of server-sent events.

use bytes::BytesMut;

use crate::protocol::protocol_error::ProtocolError;

/// Maximum size of one event, in bytes.
const MAX_EVENT_BYTES: usize = 1_024 * 1_024;

/// Splits a byte stream into the data of its events.
#[derive(Debug, Default)]
pub struct SseReader {
    buffer: BytesMut,
    // Start of the last line, which is not complete.
    line_start: usize,
    // Number of bytes that are known to hold no further end of a line.
    searched: usize,
}

impl SseReader {
    /// Appends bytes and returns the data of the events that are now complete.
    ///
    /// # Errors
    ///
    /// Returns an error if an event is not UTF-8, or if an incomplete one is too large.
    ///
    /// ```
    /// use galenamast::protocol::SseReader;
    ///
    /// let mut reader = SseReader::default();
    /// assert!(reader.push(b"id: 1\ndata: {\"a\"").unwrap().is_empty());
    /// assert_eq!(reader.push(b":1}\n\n").unwrap(), ["{\"a\":1}"]);
    /// ```
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<String>, ProtocolError> {
        self.buffer.extend_from_slice(bytes);
        let mut events = Vec::new();
        while let Some(block) = self.next_block() {
            let text = std::str::from_utf8(&block).map_err(|_| invalid("an event is not UTF-8"))?;
            events.extend(event_data(text));
        }
        if self.buffer.len() > MAX_EVENT_BYTES {
            return Err(invalid("an event is too large"));
        }
        Ok(events)
    }

    /// Takes the first event with the blank line that ends it; leaves out blank lines before it.
    fn next_block(&mut self) -> Option<BytesMut> {
        let mut from = self.searched.max(self.line_start);
        while let Some(offset) = self.buffer[from..].iter().position(|byte| *byte == b'\n') {
            let line = &self.buffer[self.line_start..from + offset];
            let next = from + offset + 1;
            if !line.is_empty() && line != b"\r" {
                (self.line_start, from) = (next, next);
                continue;
            }
            let block = self.buffer.split_to(next);
            let is_event = self.line_start > 0;
            (self.line_start, self.searched, from) = (0, 0, 0);
            if is_event {
                return Some(block);
            }
        }
        self.searched = self.buffer.len();
        None
    }
}

/// Joins the data lines of an event; `None` if it has none.
fn event_data(text: &str) -> Option<String> {
    let lines: Vec<&str> = text
        .lines()
        .filter_map(|line| line.strip_prefix("data:"))
        .map(|line| line.strip_prefix(' ').unwrap_or(line))
        .collect();
    (!lines.is_empty()).then(|| lines.join("\n"))
}

/// Builds the error for a malformed stream.
fn invalid(reason: &str) -> ProtocolError {
    ProtocolError::Invalid {
        what: "event stream",
        reason: reason.into(),
    }
}
