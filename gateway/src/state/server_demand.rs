//! What a backend server asks of the hosts that send it requests.

use std::time::Duration;

/// What a backend server asks of the hosts, as stated in the head of one of its answers.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServerDemand {
    /// Requests per second that it takes from all hosts together; `None` if it states no limit.
    pub limit: Option<f64>,
    /// Whether it leaves and takes no new work.
    pub leaving: bool,
    /// Time for which it wants no request of this host; `None` unless it refuses one with a pause.
    pub pause: Option<Duration>,
    /// Requests that it can refuse in a second without falling over; `None` if it is not brittle.
    pub brittle: Option<u32>,
    /// Whether it refuses the request for want of room.
    pub full: bool,
    /// Whether a statement could not be read; it then says nothing about the end of a demand.
    pub malformed: bool,
}
