//! Settings of the judgement of servers.

use std::time::Duration;

/// Settings of the judgement of servers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LivenessSettings {
    /// Shortest time without activity after which an attempt is unresponsive.
    pub min_patience: Duration,
    /// The same as a multiple of the expected time to the first byte.
    pub patience_factor: f64,
    /// Time within which a live server accepts a probe.
    pub probe_timeout: Duration,
    /// Time until the next probe of a server that accepted one. It doubles with each further one,
    /// until a byte arrives.
    pub probe_pause: Duration,
    /// Longest such time.
    pub max_probe_pause: Duration,
    /// Time from the first probe that timed out to the last before a server is lost, if none succeeded
    /// in between. All probes of an outage that is no longer than this lie within a shorter time.
    pub lost_after: Duration,
    /// Probes in a row that must have timed out by then.
    pub min_timeouts: u32,
    /// Probes in a row that must time out if there is further evidence that the server is gone.
    pub min_timeouts_with_evidence: u32,
    /// Time for which such evidence counts.
    pub evidence_validity: Duration,
    /// Longest time to wait for a connection.
    pub max_connect_timeout: Duration,
    /// The same as a fraction of the time left for the request.
    pub connect_fraction: f64,
    /// Time after which a retry is asked for again if the budget did not grant it.
    pub retry_pause: Duration,
}

impl LivenessSettings {
    /// Returns how long an attempt waits without activity before it is unresponsive.
    ///
    /// ```
    /// use std::time::Duration;
    /// use galenamast_gateway::coordination::liveness::LivenessSettings;
    ///
    /// let settings = LivenessSettings::default();
    /// assert_eq!(settings.patience(Duration::from_secs(1)), Duration::from_secs(2));
    /// assert_eq!(settings.patience(Duration::ZERO), Duration::from_millis(300));
    /// ```
    pub fn patience(&self, expected: Duration) -> Duration {
        let seconds = expected.as_secs_f64() * self.patience_factor;
        let patience = Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX);
        patience.max(self.min_patience)
    }

    /// Returns how long to wait for a connection if `time_left` is left for the request.
    pub fn connect_timeout(&self, time_left: Duration) -> Duration {
        time_left
            .mul_f64(self.connect_fraction)
            .min(self.max_connect_timeout)
    }
}

impl Default for LivenessSettings {
    fn default() -> Self {
        Self {
            min_patience: Duration::from_millis(300),
            patience_factor: 2.0,
            probe_timeout: Duration::from_millis(150),
            probe_pause: Duration::from_secs(1),
            max_probe_pause: Duration::from_secs(4),
            lost_after: Duration::from_secs(1),
            min_timeouts: 4,
            min_timeouts_with_evidence: 2,
            evidence_validity: Duration::from_secs(5),
            max_connect_timeout: Duration::from_millis(400),
            connect_fraction: 0.25,
            retry_pause: Duration::from_millis(250),
        }
    }
}
