//! Checks that the events of a stream are whole, in order and of the right request.

/// What is done with an event of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamVerdict {
    /// The event is the next one.
    Deliver,
    /// The event was delivered before.
    Repeated,
    /// Events before this one are missing.
    Gap,
    /// The event belongs to another request.
    Crossed,
}

/// Checks the events of one stream.
#[derive(Clone, Debug)]
pub struct StreamChecker {
    request: String,
    next: u64,
}

impl StreamChecker {
    /// Creates a checker that expects the event of an index first.
    ///
    /// ```
    /// use galenamast::coordination::{StreamChecker, StreamVerdict};
    ///
    /// let mut checker = StreamChecker::new("r1", 0);
    /// assert_eq!(checker.check("r1", 0), StreamVerdict::Deliver);
    /// assert_eq!(checker.check("r1", 0), StreamVerdict::Repeated);
    /// assert_eq!(checker.check("r1", 2), StreamVerdict::Gap);
    /// assert_eq!(checker.check("r2", 1), StreamVerdict::Crossed);
    /// ```
    pub fn new(request: &str, first: u64) -> Self {
        Self {
            request: request.to_owned(),
            next: first,
        }
    }

    /// Judges an event.
    pub fn check(&mut self, request: &str, index: u64) -> StreamVerdict {
        if request != self.request {
            return StreamVerdict::Crossed;
        }
        if index < self.next {
            return StreamVerdict::Repeated;
        }
        if index > self.next {
            return StreamVerdict::Gap;
        }
        self.next += 1;
        StreamVerdict::Deliver
    }

    /// Returns the number of events that were delivered, with those before the first.
    pub fn delivered(&self) -> u64 {
        self.next
    }
}
