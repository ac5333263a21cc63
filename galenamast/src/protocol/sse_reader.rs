//! Incremental reader of server-sent events.

use crate::protocol::protocol_error::ProtocolError;

/// Maximum size of one event, in bytes.
const MAX_EVENT_BYTES: usize = 1_024 * 1_024;

/// Splits a byte stream into the data of its events.
#[derive(Debug, Default)]
pub struct SseReader {
    buffer: Vec<u8>,
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
        while let Some((length, separator_length)) = find_end(&self.buffer) {
            let rest = self.buffer.split_off(length + separator_length);
            let block = std::mem::replace(&mut self.buffer, rest);
            let text = std::str::from_utf8(&block[..length])
                .map_err(|_| invalid("an event is not UTF-8"))?;
            if let Some(data) = event_data(text) {
                events.push(data);
            }
        }
        if self.buffer.len() > MAX_EVENT_BYTES {
            return Err(invalid("an event is too large"));
        }
        Ok(events)
    }
}

/// Finds the blank line that ends the first event, and returns its position and length.
fn find_end(buffer: &[u8]) -> Option<(usize, usize)> {
    let lf = buffer.windows(2).position(|pair| pair == b"\n\n");
    let crlf = buffer.windows(4).position(|four| four == b"\r\n\r\n");
    match (lf, crlf) {
        (Some(lf), Some(crlf)) if crlf < lf => Some((crlf, 4)),
        (Some(lf), _) => Some((lf, 2)),
        (None, Some(crlf)) => Some((crlf, 4)),
        (None, None) => None,
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
