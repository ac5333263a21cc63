//! Decides which changes of demand are published, and when.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::coordination::demand_digest::{DemandDigest, DemandEntry};
use crate::state::{QualityOrigin, TimePoint, WorkspaceName};

/// Bytes per second that a host may spend on forwarding the demand published by all hosts.
const DEMAND_BYTES_PER_SECOND: f64 = 1_200.0;
/// Number of times that each host forwards a digest.
const TRANSMISSIONS: f64 = 5.0;
/// Minimum time between two digests.
const MIN_INTERVAL: Duration = Duration::from_secs(1);
/// Demand in requests per second below which a workspace counts as idle.
const IDLE_RATE: f64 = 0.05;
/// Number of times that each change is published, in case a digest is lost.
const PUBLICATIONS: u32 = 2;
/// Time after which unchanged demand is published again, for hosts that started in the meantime.
/// Such hosts do not count their own demand before that time has passed.
const REFRESH_TIME: Duration = Duration::from_secs(4);
/// Minimum number of digest intervals between two publications of unchanged demand, so that a
/// change in a large fleet rarely waits behind unchanged demand.
const REFRESH_INTERVALS: u32 = 4;
/// Maximum size of the entries of a digest, in bytes.
const MAX_ENTRY_BYTES: usize = 600;
/// Size of a digest without its entries, in bytes.
const ENVELOPE_BYTES: usize = 60;

/// Demand of a workspace that is due to be published or was published last.
#[derive(Clone, Copy, Debug)]
struct PublishedDemand {
    rate: f32,
    /// Number of publications that are left.
    remaining: u32,
    at: TimePoint,
}

/// Publishes changes of demand at a bounded rate.
#[derive(Clone, Debug, Default)]
pub struct DemandPublisher {
    tolerance: f64,
    published: BTreeMap<WorkspaceName, PublishedDemand>,
    sequence: u64,
    next_digest_at: TimePoint,
    interval: Duration,
}

impl DemandPublisher {
    /// Creates a publisher that omits relative changes up to `tolerance`.
    pub fn new(tolerance: f64) -> Self {
        Self {
            tolerance,
            ..Default::default()
        }
    }

    /// Returns the digest to publish now, if any. The interval to the next one grows with the
    /// number of publishers and the size of this digest.
    pub fn publish(
        &mut self,
        origin: &QualityOrigin,
        rates: &BTreeMap<WorkspaceName, f64>,
        publishers: usize,
        now: TimePoint,
    ) -> Option<DemandDigest> {
        if now < self.next_digest_at {
            return None;
        }
        for (workspace, rate) in rates {
            let rate = if *rate < IDLE_RATE { 0.0 } else { *rate };
            let known = self
                .published
                .get(workspace)
                .map_or(0.0, |demand| f64::from(demand.rate));
            let idle_changed = (rate == 0.0) != (known == 0.0);
            if idle_changed || (rate - known).abs() > self.tolerance * known {
                let rate = rate as f32;
                let remaining = PUBLICATIONS;
                let demand = PublishedDemand {
                    rate,
                    remaining,
                    at: now,
                };
                self.published.insert(workspace.clone(), demand);
            }
        }
        let mut bytes = 0;
        let mut entries = Vec::new();
        let refresh_time = REFRESH_TIME.max(self.interval * REFRESH_INTERVALS);
        // Changed demand goes first; unchanged demand fills the remaining space.
        for is_change in [true, false] {
            for (workspace, demand) in &mut self.published {
                let size = workspace.as_str().len() + 6;
                let is_due = if is_change {
                    demand.remaining > 0
                } else {
                    demand.rate > 0.0 && now.since(demand.at) >= refresh_time
                };
                if !is_due || bytes + size > MAX_ENTRY_BYTES {
                    continue;
                }
                demand.remaining = demand.remaining.saturating_sub(1);
                demand.at = now;
                bytes += size;
                entries.push(DemandEntry {
                    workspace: workspace.clone(),
                    rate: demand.rate,
                });
            }
        }
        if entries.is_empty() {
            return None;
        }
        self.sequence += 1;
        let rate = DEMAND_BYTES_PER_SECOND / (TRANSMISSIONS * publishers.max(1) as f64);
        let interval = Duration::from_secs_f64((bytes + ENVELOPE_BYTES) as f64 / rate);
        self.interval = interval.max(MIN_INTERVAL);
        self.next_digest_at = now + self.interval;
        Some(DemandDigest {
            origin: origin.clone(),
            sequence: self.sequence,
            entries,
        })
    }
}
