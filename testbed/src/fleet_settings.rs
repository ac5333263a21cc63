//! Settings of the entry hosts of a fleet, which share one machine.

use std::time::Duration;

use galenamast::config::Settings;

/// Limit of one host's control messages, at which a fleet of a few hosts is never throttled.
const PEER_BYTES_PER_SECOND: u32 = 1_000_000;
/// Limit of one host's platform calls, high enough that the traffic of a test does not reach it.
const CALLS_PER_SECOND: u32 = 1_000;
/// Time for which a stopping host still accepts calls.
const BALANCER_LAG: Duration = Duration::from_millis(200);

/// Sets limits for tests, and probe times at which hosts detect a lost peer within a few seconds.
pub(crate) fn tune_settings(settings: &mut Settings) {
    settings.peers.probe_period = Duration::from_millis(200);
    settings.peers.suspicion_time = Duration::from_millis(1_500);
    settings.peers.bytes_per_second = PEER_BYTES_PER_SECOND;
    settings.platform.calls_per_second = CALLS_PER_SECOND;
    settings.shutdown.balancer_lag = BALANCER_LAG;
}
