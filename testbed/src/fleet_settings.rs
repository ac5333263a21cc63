//! Settings of hosts that share one machine with a whole fleet.

use std::time::Duration;

use galenamast::config::Settings;

/// Greatest rate of control messages, at which a fleet of a few hosts is never throttled.
const PEER_BYTES_PER_SECOND: u32 = 1_000_000;
/// Greatest rate of platform calls of one host, which a test's traffic does not use up.
const CALLS_PER_SECOND: u32 = 1_000;

/// Time for which a host that stops still accepts calls.
const BALANCER_LAG: Duration = Duration::from_millis(200);

/// Makes the hosts of a test notice each other's loss within a few seconds.
pub(crate) fn tune_settings(settings: &mut Settings) {
    settings.peers.probe_period = Duration::from_millis(200);
    settings.peers.suspicion_time = Duration::from_millis(1_500);
    settings.peers.bytes_per_second = PEER_BYTES_PER_SECOND;
    settings.platform.calls_per_second = CALLS_PER_SECOND;
    settings.shutdown.balancer_lag = BALANCER_LAG;
}
