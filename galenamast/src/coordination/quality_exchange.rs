//! Updates on quality, evidence and counts that an entry host sends to the others at a bounded
//! rate.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::coordination::evidence_update::{EvidenceUpdate, SentEvidence};
use crate::coordination::rating_counter::{RatingCount, RatingCounter, RatingUpdate};
use crate::coordination::version_monitor::VersionMonitor;
use crate::state::{
    ConfigGeneration, QualityCell, QualityDigest, QualityEntry, QualitySums, QualityTable,
    TimePoint, VersionKey,
};

/// Bytes per second that a host may spend on forwarding the quality updates of all hosts.
const QUALITY_BYTES_PER_SECOND: f64 = 2_500.0;
/// Number of times that each host forwards a message.
const TRANSMISSIONS: f64 = 5.0;
/// Least time between two rounds.
const MIN_PERIOD: Duration = Duration::from_secs(1);
/// Largest total size of the cells in one round, in bytes.
const MAX_CELL_BYTES: usize = 400;
/// Largest number of versions whose evidence is sent in one round.
const MAX_EVIDENCE_VERSIONS: usize = 2;
/// Largest number of versions whose counts are sent in one round.
const MAX_COUNTS: usize = 8;
/// Size of a message without its payload, in bytes.
const ENVELOPE_BYTES: usize = 50;
/// Size of a cell without names, in bytes; also counted for each rating count.
const CELL_BYTES: usize = 40;
/// Size of a version's evidence without names, in bytes.
const EVIDENCE_BYTES: usize = 390;

/// An update for the other hosts.
#[derive(Clone, Debug, PartialEq)]
pub enum QualityUpdate {
    /// Sums of quality cells.
    Cells(QualityDigest),
    /// Evidence on a version.
    Evidence(EvidenceUpdate),
    /// Counts of rated answers.
    Counts(RatingUpdate),
}

/// Remembers what was sent, so that only changes are sent.
#[derive(Clone, Debug, Default)]
pub struct QualityExchange {
    cells: BTreeMap<(u64, QualityCell), QualitySums>,
    evidence: SentEvidence,
    turns: VecDeque<(VersionKey, Option<VersionKey>)>,
    counts: BTreeMap<VersionKey, u64>,
    next_round: TimePoint,
}

impl QualityExchange {
    /// Returns the changes since the last round; empty before the next round is due.
    ///
    /// The time to the next round grows with the size of this one and with the number of hosts, so
    /// the updates of all hosts together stay within one rate.
    pub fn round(
        &mut self,
        table: &QualityTable,
        monitor: &VersionMonitor,
        counter: &RatingCounter,
        generation: ConfigGeneration,
        hosts: usize,
        now: TimePoint,
    ) -> Vec<QualityUpdate> {
        if now < self.next_round || hosts < 2 {
            return Vec::new();
        }
        let mut updates = Vec::new();
        let mut bytes = 0;
        for evidence in self.changed_evidence(monitor, generation) {
            bytes += ENVELOPE_BYTES + EVIDENCE_BYTES + 2 * evidence.version.model.as_str().len();
            updates.push(QualityUpdate::Evidence(evidence));
        }
        let digest = table.digest(now);
        let counts = self.changed_counts(counter);
        if !counts.is_empty() {
            bytes += ENVELOPE_BYTES + counts.len() * CELL_BYTES;
            let origin = digest.origin.clone();
            updates.push(QualityUpdate::Counts(RatingUpdate { origin, counts }));
        }
        let entries = self.changed_cells(digest.entries);
        if !entries.is_empty() {
            bytes += ENVELOPE_BYTES + entries.iter().map(cell_bytes).sum::<usize>();
            let origin = digest.origin;
            updates.push(QualityUpdate::Cells(QualityDigest { origin, entries }));
        }
        if !updates.is_empty() {
            let rate = QUALITY_BYTES_PER_SECOND / (TRANSMISSIONS * hosts as f64);
            let period = Duration::from_secs_f64(bytes as f64 / rate);
            self.next_round = now + period.max(MIN_PERIOD);
        }
        updates
    }

    /// Returns the evidence that changed, starting with the versions that have waited longest.
    fn changed_evidence(
        &mut self,
        monitor: &VersionMonitor,
        generation: ConfigGeneration,
    ) -> Vec<EvidenceUpdate> {
        let evidence = monitor.evidence();
        let mut changed: BTreeMap<_, EvidenceUpdate> = BTreeMap::new();
        for known in &evidence {
            let update = EvidenceUpdate::pack(known, generation);
            let key = (known.version.clone(), known.baseline.clone());
            if !self.turns.contains(&key) {
                self.turns.push_back(key.clone());
            }
            let last_sent = self.evidence.get(&key).copied().unwrap_or_default();
            if update.observations() != last_sent {
                changed.insert(key, update);
            }
        }
        self.turns.retain(|(version, baseline)| {
            let mut known = evidence.iter();
            known.any(|known| known.version == *version && known.baseline == *baseline)
        });
        let turns = self.turns.iter().filter(|key| changed.contains_key(key));
        let chosen: Vec<_> = turns.take(MAX_EVIDENCE_VERSIONS).cloned().collect();
        let mut updates = Vec::new();
        for key in chosen {
            self.turns.retain(|turn| *turn != key);
            self.turns.push_back(key.clone());
            if let Some(update) = changed.remove(&key) {
                self.evidence.insert(key, update.observations());
                updates.push(update);
            }
        }
        updates
    }

    /// Returns counts that changed, at most [`MAX_COUNTS`].
    fn changed_counts(&mut self, counter: &RatingCounter) -> Vec<RatingCount> {
        let sent = &mut self.counts;
        let counts = counter.own_counts().into_iter();
        let changed = counts.filter(|known| sent.get(&known.version) != Some(&known.count));
        let changed: Vec<RatingCount> = changed.take(MAX_COUNTS).collect();
        for known in &changed {
            sent.insert(known.version.clone(), known.count);
        }
        changed
    }

    /// Returns cells that changed, up to [`MAX_CELL_BYTES`], starting with the oldest time buckets.
    fn changed_cells(&mut self, entries: Vec<QualityEntry>) -> Vec<QualityEntry> {
        let oldest = entries.iter().map(|entry| entry.bucket).min();
        self.cells.retain(|(bucket, _), _| Some(*bucket) >= oldest);
        let mut bytes = 0;
        let mut changed = Vec::new();
        for entry in entries {
            let key = (entry.bucket, entry.cell.clone());
            bytes += cell_bytes(&entry);
            if self.cells.get(&key) == Some(&entry.sums) {
                bytes -= cell_bytes(&entry);
                continue;
            }
            if bytes > MAX_CELL_BYTES {
                break;
            }
            self.cells.insert(key, entry.sums);
            changed.push(entry);
        }
        changed
    }
}

/// Returns an upper bound of the encoded size of a cell, in bytes.
fn cell_bytes(entry: &QualityEntry) -> usize {
    let version = &entry.cell.version;
    let names = version.model.as_str().len() + version.version.as_str().len();
    names + entry.cell.task.as_str().len() + CELL_BYTES
}
