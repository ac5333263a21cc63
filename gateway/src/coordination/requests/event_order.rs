//! Decides which events of a stream are passed on to the caller.
//!
//! Covers servers that spoil, repeat or leave out events, or put other text among them, and servers that
//! continue a stream at another event than the next one.

use crate::state::EventForm;

/// What to do with an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventVerdict {
    /// Pass it on.
    Deliver,
    /// Pass it on with the next one, or at the end of the response. It has no data, which may be missing.
    Hold,
    /// Leave it out, since the caller has it.
    Skip,
    /// Give up the response, which does not hold the stream.
    Reject,
}

/// The order of the events of a stream, in one response or in several that continue each other.
///
/// ```
/// use galenamast_gateway::coordination::requests::{EventOrder, EventVerdict};
/// use galenamast_gateway::state::EventForm;
///
/// let mut order = EventOrder::new(Some(4), true);
/// let event = |id| EventForm::Event { id, has_data: true };
/// assert_eq!(order.judge(event(Some(4))), EventVerdict::Skip);
/// assert_eq!(order.judge(event(Some(5))), EventVerdict::Deliver);
/// assert_eq!(order.judge(event(Some(7))), EventVerdict::Reject);
/// assert_eq!(order.last_id(), Some(5));
/// ```
#[derive(Clone, Debug)]
pub struct EventOrder {
    needs_ids: bool,
    last_id: Option<u64>,
    // Identifier of the latest event of the response that is read.
    previous: Option<u64>,
    // Whether the latest event is held; one at most is.
    is_holding: bool,
    // Whether events without identifiers were passed on.
    is_unnumbered: bool,
    // Whether `last_id` is known to be right: a first event may have a spoilt one.
    is_position_known: bool,
}

impl EventOrder {
    /// Identifier of the first event of most streams.
    const FIRST_ID: u64 = 1;

    /// Creates the order of a stream of which the caller has the events up to `last_id`. All events need
    /// identifiers if the stream may be resumed.
    pub fn new(last_id: Option<u64>, is_resumable: bool) -> Self {
        Self {
            needs_ids: is_resumable,
            last_id,
            previous: None,
            is_holding: false,
            is_unnumbered: false,
            is_position_known: true,
        }
    }

    /// Returns the last event that the caller has.
    pub const fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns whether it is known which event the caller needs next.
    pub const fn is_position_known(&self) -> bool {
        self.is_position_known && !self.is_unnumbered
    }

    /// Records that another response continues the stream.
    pub fn begin_response(&mut self) {
        (self.previous, self.is_holding) = (None, false);
    }

    /// Decides on the next event of the response.
    pub fn judge(&mut self, form: EventForm) -> EventVerdict {
        match form {
            EventForm::Comment => EventVerdict::Deliver,
            EventForm::Malformed => EventVerdict::Reject,
            EventForm::Event {
                id: Some(id),
                has_data,
            } => self.judge_id(id, has_data),
            EventForm::Event { id: None, .. } if self.needs_ids || self.last_id.is_some() => {
                EventVerdict::Reject
            }
            EventForm::Event { id: None, .. } => {
                self.is_unnumbered = true;
                EventVerdict::Deliver
            }
        }
    }

    /// Decides on the next event of the response, which has an identifier.
    fn judge_id(&mut self, id: u64, has_data: bool) -> EventVerdict {
        let is_next = match (self.previous, self.last_id) {
            _ if self.is_unnumbered => false,
            (Some(previous), _) => previous.checked_add(1) == Some(id),
            (None, Some(last)) => id <= last.saturating_add(1),
            (None, None) => true,
        };
        if !is_next {
            return EventVerdict::Reject;
        }
        let is_first = self.previous.is_none() && self.last_id.is_none();
        self.previous = Some(id);
        if self.last_id.is_some_and(|last| id <= last) {
            return EventVerdict::Skip;
        }
        let was_held = std::mem::replace(&mut self.is_holding, !has_data);
        match (has_data, was_held) {
            (true, _) => {}
            (false, false) => return EventVerdict::Hold,
            (false, true) => return EventVerdict::Reject,
        }
        self.is_position_known = !is_first || id == Self::FIRST_ID;
        self.last_id = Some(id);
        EventVerdict::Deliver
    }
}
