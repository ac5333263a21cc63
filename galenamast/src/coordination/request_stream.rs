//! Checks that the events of a stream are complete, in order and belong to the right request.

/// Result of checking one event of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamVerdict {
    /// The event is the next one and is to be delivered.
    Deliver,
    /// The event was delivered already.
    Repeated,
    /// Events before this one are missing.
    Gap,
    /// The event belongs to another request.
    Crossed,
}

/// Checks the events of one stream by request and index.
#[derive(Clone, Debug)]
pub struct StreamChecker {
    request: String,
    next: u64,
}

impl StreamChecker {
    /// Creates a checker for a request's stream that starts at the event with index `first`.
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

    /// Checks the event that a server sent, and advances if it is the next one.
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

    /// Returns the number of events delivered so far, including those before `first`.
    pub fn delivered(&self) -> u64 {
        self.next
    }
}
