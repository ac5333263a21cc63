//! Bounds at which a response without end is given up.

/// A bound that a response has exceeded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseBound {
    /// Bytes that are no data, as interim heads and the framing of chunks.
    Framing,
    /// The size of a response that is not streamed.
    Size,
    /// Bytes before the first event of a stream.
    FirstEvent,
    /// The size of one event.
    Event,
    /// Blank lines and comments between two events.
    Filler,
}

impl ResponseBound {
    /// Returns the name of the bound in logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Framing => "framing",
            Self::Size => "size",
            Self::FirstEvent => "first_event",
            Self::Event => "event",
            Self::Filler => "filler",
        }
    }
}
