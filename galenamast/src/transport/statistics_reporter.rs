//! Periodically logs the state of a host and the volume of its control traffic.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use log::Level;

use crate::logging::log_record;
use crate::protocol::{HostStatistics, LogRecord};
use crate::transport::host_context::HostContext;

/// Time between log records of statistics.
const STATISTICS_PERIOD: Duration = Duration::from_secs(5);

/// Logs the statistics of a host periodically until the task is aborted.
pub async fn report_statistics(context: Arc<HostContext>) {
    let mut ticks = context.timers.subscribe(STATISTICS_PERIOD);
    loop {
        ticks.tick().await;
        let statistics = host_statistics(&context);
        log_record(Level::Info, &LogRecord::HostStatistics(statistics));
    }
}

/// Collects the statistics of a host.
pub fn host_statistics(context: &HostContext) -> HostStatistics {
    let mesh = context.peers.get();
    let counts = mesh.map(|mesh| mesh.counts()).unwrap_or_default();
    let calls = context.objects.as_ref().map(|objects| objects.counts());
    let age = context.config.get().map_or(Duration::ZERO, |runner| {
        // With generation zero the age is not known and is reported as zero.
        if runner.generation().0 == 0 {
            return Duration::ZERO;
        }
        runner.age()
    });
    HostStatistics {
        members: mesh.map_or(0, |mesh| mesh.members().live_known() as u64),
        peer_bytes_sent: counts.bytes_sent,
        peer_bytes_received: counts.bytes_received,
        platform_calls: calls.unwrap_or_default().sent(),
        load_polls: context.load_polls.load(Ordering::Relaxed),
        generation: context.image.load().generation,
        config_age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
    }
}
