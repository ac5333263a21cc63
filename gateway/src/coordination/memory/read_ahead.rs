//! Decides whether a host goes on reading a streamed response that its caller has not taken yet.
//!
//! Load pattern: callers that read slowly, or not at all, before servers that cut off a response that
//! remains unread for some seconds. The host reads ahead for them, bounded for each stream and for all
//! streams together; a stream without unread events is always read, so that none waits for another.

/// Settings of reading ahead.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReadAheadSettings {
    /// Greatest number of bytes that are held for one stream.
    pub max_stream_bytes: usize,
    /// Greatest number of bytes that one read returns.
    pub max_read_bytes: usize,
    /// Part of the memory for bodies that all streams may hold together.
    pub streams_part: f64,
}

impl Default for ReadAheadSettings {
    fn default() -> Self {
        Self {
            max_stream_bytes: 256 * 1_024,
            max_read_bytes: 128 * 1_024,
            streams_part: 0.5,
        }
    }
}

/// Numbers of bytes that are held.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HeldBytes {
    /// Bytes of this stream.
    pub stream: usize,
    /// Bytes of all streams, this one included.
    pub all_streams: usize,
    /// Bytes of all bodies, streams included.
    pub all_bodies: usize,
}

/// Returns whether a stream is read on, given the memory for bodies in bytes.
///
/// ```
/// use galenamast_gateway::coordination::memory::{HeldBytes, ReadAheadSettings, may_read_on};
///
/// let settings = ReadAheadSettings::default();
/// let held = HeldBytes { stream: 100_000, all_streams: 100_000, all_bodies: 100_000 };
/// assert!(may_read_on(held, 22_000_000, &settings));
/// assert!(!may_read_on(HeldBytes { stream: 200_000, ..held }, 22_000_000, &settings));
/// assert!(!may_read_on(held, 150_000, &settings));
/// ```
pub fn may_read_on(held: HeldBytes, memory: usize, settings: &ReadAheadSettings) -> bool {
    let all_streams_limit = (memory as f64 * settings.streams_part) as usize;
    let has_room =
        |held: usize, limit: usize| held.saturating_add(settings.max_read_bytes) <= limit;
    held.stream == 0
        || (has_room(held.stream, settings.max_stream_bytes)
            && has_room(held.all_streams, all_streams_limit)
            && has_room(held.all_bodies, memory))
}
