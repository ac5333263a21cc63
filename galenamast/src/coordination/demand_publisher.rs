//! Which changes of demand are told, and when.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::coordination::demand_digest::{DemandDigest, DemandEntry};
use crate::state::{QualityOrigin, TimePoint, WorkspaceName};

/// Bytes per second that demand may cost a host, told by all hosts and passed on by this one.
const DEMAND_RATE: f64 = 1_200.0;
/// Times that each host passes a digest on.
const TRANSMISSIONS: f64 = 5.0;
/// Shortest time between two digests.
const MIN_PERIOD: Duration = Duration::from_secs(1);
/// Demand below which a workspace counts as silent, in requests per second.
const SILENT_RATE: f64 = 0.05;
/// Times that each change is told, in case one is lost.
const REPEATS: u32 = 2;
/// Time after which unchanged demand is told once more, for hosts that started since; they count
/// their own demand only later.
const RETELL_TIME: Duration = Duration::from_secs(4);
/// Least number of digests' times between two tellings of unchanged demand, so that a change in a
/// large fleet seldom waits behind one.
const RETELL_PACES: u32 = 4;
/// Greatest size of the entries of a digest, in bytes.
const MAX_ENTRY_BYTES: usize = 600;
/// Size of a digest around its entries, in bytes.
const ENVELOPE_BYTES: usize = 60;

/// Demand that was told, and how often it is still to be repeated.
#[derive(Clone, Copy, Debug)]
struct ToldDemand {
    rate: f32,
    repeats: u32,
    at: TimePoint,
}

/// Tells changes of demand at a bounded rate.
#[derive(Clone, Debug, Default)]
pub struct DemandPublisher {
    tolerance: f64,
    told: BTreeMap<WorkspaceName, ToldDemand>,
    sequence: u64,
    next: TimePoint,
    pace: Duration,
}

impl DemandPublisher {
    /// Creates a teller that leaves out relative changes up to the tolerance.
    pub fn new(tolerance: f64) -> Self {
        Self {
            tolerance,
            ..Default::default()
        }
    }

    /// Returns the changes to tell now, if any; the more hosts tell, the longer until the next.
    pub fn publish(
        &mut self,
        origin: &QualityOrigin,
        rates: &BTreeMap<WorkspaceName, f64>,
        tellers: usize,
        now: TimePoint,
    ) -> Option<DemandDigest> {
        if now < self.next {
            return None;
        }
        for (workspace, rate) in rates {
            let rate = if *rate < SILENT_RATE { 0.0 } else { *rate };
            let told = self
                .told
                .get(workspace)
                .map_or(0.0, |told| f64::from(told.rate));
            let silent = (rate == 0.0) != (told == 0.0);
            if silent || (rate - told).abs() > self.tolerance * told {
                let rate = rate as f32;
                let repeats = REPEATS;
                let told = ToldDemand {
                    rate,
                    repeats,
                    at: now,
                };
                self.told.insert(workspace.clone(), told);
            }
        }
        let mut bytes = 0;
        let mut entries = Vec::new();
        let retell_time = RETELL_TIME.max(self.pace * RETELL_PACES);
        // Changes go first; what is unchanged takes the room that they leave.
        for is_change in [true, false] {
            for (workspace, told) in &mut self.told {
                let size = workspace.as_str().len() + 6;
                let is_due = if is_change {
                    told.repeats > 0
                } else {
                    told.rate > 0.0 && now.since(told.at) >= retell_time
                };
                if !is_due || bytes + size > MAX_ENTRY_BYTES {
                    continue;
                }
                told.repeats = told.repeats.saturating_sub(1);
                told.at = now;
                bytes += size;
                entries.push(DemandEntry {
                    workspace: workspace.clone(),
                    rate: told.rate,
                });
            }
        }
        if entries.is_empty() {
            return None;
        }
        self.sequence += 1;
        let rate = DEMAND_RATE / (TRANSMISSIONS * tellers.max(1) as f64);
        let pace = Duration::from_secs_f64((bytes + ENVELOPE_BYTES) as f64 / rate);
        self.pace = pace.max(MIN_PERIOD);
        self.next = now + self.pace;
        Some(DemandDigest {
            origin: origin.clone(),
            sequence: self.sequence,
            entries,
        })
    }
}
