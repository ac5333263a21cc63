//! What the blocks of lines of an event stream are.

/// What a block of lines is, up to the blank line that ends it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventForm {
    /// Comments and reconnection times, which readers dispatch nothing for.
    Comment,
    /// An event.
    Event {
        /// Identifier of the event, if it has one.
        id: Option<u64>,
        /// Whether it has data; readers dispatch no event without.
        has_data: bool,
    },
    /// No valid event: its line ends differ, its identifier is no number or stands there twice, a comment
    /// stands among its lines, or a line has no known name. Only the first line may have a name that the
    /// standard does not define.
    Malformed,
}
