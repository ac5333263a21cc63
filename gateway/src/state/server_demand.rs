//! What a backend server asks of the hosts that send it requests.

/// What a backend server asks of the hosts, as stated in the head of one of its answers.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServerDemand {
    /// Requests per second that it takes from all hosts together; `None` if it states no limit.
    pub limit: Option<f64>,
    /// Whether it leaves and takes no new work.
    pub leaving: bool,
    /// Whether a statement could not be read; it then says nothing about the end of a demand.
    pub malformed: bool,
}
