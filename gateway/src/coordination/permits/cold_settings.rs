//! Settings of the protection of cold servers.

/// Bound on the requests that a cold server may get in any second, of all hosts together: the rate that
/// its service states times a factor, plus a slack.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdSettings {
    /// Factor of the rate that a cold server tolerates.
    pub rate_factor: f64,
    /// Requests in addition to the rate.
    pub slack: f64,
}
