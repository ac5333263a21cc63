//! What one entry host tells the others of quality, evidence and counts, at a bounded rate.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::coordination::evidence_update::{EvidenceUpdate, SentEvidence};
use crate::coordination::rating_counter::{RatingCount, RatingCounter, RatingUpdate};
use crate::coordination::version_monitor::VersionMonitor;
use crate::state::{
    ConfigGeneration, QualityCell, QualityDigest, QualityEntry, QualitySums, QualityTable,
    TimePoint, VersionKey,
};

/// Bytes per second that quality may cost a host, told by all hosts and passed on by this one.
const QUALITY_RATE: f64 = 2_500.0;
/// Times that each host passes a message on.
const TRANSMISSIONS: f64 = 5.0;
/// Shortest time between two rounds.
const MIN_PERIOD: Duration = Duration::from_secs(1);
/// Greatest size of the cells in one round, in bytes.
const MAX_CELL_BYTES: usize = 400;
/// Versions whose evidence is told in one round.
const MAX_EVIDENCE: usize = 2;
/// Versions whose counts are told in one round.
const MAX_COUNTS: usize = 8;
/// Size of a message around its payload, in bytes.
const ENVELOPE_BYTES: usize = 50;
/// Size of a cell's numbers, in bytes.
const CELL_BYTES: usize = 40;
/// Size of a version's evidence without names, in bytes.
const EVIDENCE_BYTES: usize = 390;

/// One piece of news for the other hosts.
#[derive(Clone, Debug, PartialEq)]
pub enum QualityUpdate {
    /// Sums of cells.
    Cells(QualityDigest),
    /// Evidence on a version.
    Evidence(EvidenceUpdate),
    /// Counts of rated answers.
    Counts(RatingUpdate),
}

/// Remembers what was told, so that only changes go out.
#[derive(Clone, Debug, Default)]
pub struct QualityExchange {
    cells: BTreeMap<(u64, QualityCell), QualitySums>,
    evidence: SentEvidence,
    turns: VecDeque<(VersionKey, Option<VersionKey>)>,
    counts: BTreeMap<VersionKey, u64>,
    next_round: TimePoint,
}

impl QualityExchange {
    /// Returns the changes since the last round, or nothing before the next one is due.
    ///
    /// The time to the next round grows with the size of this one and with the number of hosts, so
    /// that what all hosts tell stays within one rate.
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
        let mut news = Vec::new();
        let mut bytes = 0;
        for evidence in self.changed_evidence(monitor, generation) {
            bytes += ENVELOPE_BYTES + EVIDENCE_BYTES + 2 * evidence.version.model.as_str().len();
            news.push(QualityUpdate::Evidence(evidence));
        }
        let digest = table.digest(now);
        let counts = self.changed_counts(counter);
        if !counts.is_empty() {
            bytes += ENVELOPE_BYTES + counts.len() * CELL_BYTES;
            let origin = digest.origin.clone();
            news.push(QualityUpdate::Counts(RatingUpdate { origin, counts }));
        }
        let entries = self.changed_cells(digest.entries);
        if !entries.is_empty() {
            bytes += ENVELOPE_BYTES + entries.iter().map(size_of).sum::<usize>();
            let origin = digest.origin;
            news.push(QualityUpdate::Cells(QualityDigest { origin, entries }));
        }
        if !news.is_empty() {
            let rate = QUALITY_RATE / (TRANSMISSIONS * hosts as f64);
            let pace = Duration::from_secs_f64(bytes as f64 / rate);
            self.next_round = now + pace.max(MIN_PERIOD);
        }
        news
    }

    /// Returns the evidence that changed, those versions first that have waited longest.
    fn changed_evidence(
        &mut self,
        monitor: &VersionMonitor,
        generation: ConfigGeneration,
    ) -> Vec<EvidenceUpdate> {
        let evidence = monitor.evidence();
        let mut changed: BTreeMap<_, EvidenceUpdate> = BTreeMap::new();
        for known in &evidence {
            let news = EvidenceUpdate::pack(known, generation);
            let key = (known.version.clone(), known.baseline.clone());
            if !self.turns.contains(&key) {
                self.turns.push_back(key.clone());
            }
            let told = self.evidence.get(&key).copied().unwrap_or_default();
            if news.observations() != told {
                changed.insert(key, news);
            }
        }
        self.turns.retain(|(version, baseline)| {
            let mut known = evidence.iter();
            known.any(|known| known.version == *version && known.baseline == *baseline)
        });
        let turns = self.turns.iter().filter(|key| changed.contains_key(key));
        let chosen: Vec<_> = turns.take(MAX_EVIDENCE).cloned().collect();
        let mut told = Vec::new();
        for key in chosen {
            self.turns.retain(|turn| *turn != key);
            self.turns.push_back(key.clone());
            if let Some(news) = changed.remove(&key) {
                self.evidence.insert(key, news.observations());
                told.push(news);
            }
        }
        told
    }

    /// Returns the counts that changed.
    fn changed_counts(&mut self, counter: &RatingCounter) -> Vec<RatingCount> {
        let told = &mut self.counts;
        let counts = counter.own_counts().into_iter();
        let changed = counts.filter(|known| told.get(&known.version) != Some(&known.count));
        let changed: Vec<RatingCount> = changed.take(MAX_COUNTS).collect();
        for known in &changed {
            told.insert(known.version.clone(), known.count);
        }
        changed
    }

    /// Returns the cells that changed, the oldest time buckets first.
    fn changed_cells(&mut self, entries: Vec<QualityEntry>) -> Vec<QualityEntry> {
        let oldest = entries.iter().map(|entry| entry.bucket).min();
        self.cells.retain(|(bucket, _), _| Some(*bucket) >= oldest);
        let mut bytes = 0;
        let mut changed = Vec::new();
        for entry in entries {
            let key = (entry.bucket, entry.cell.clone());
            bytes += size_of(&entry);
            if self.cells.get(&key) == Some(&entry.sums) {
                bytes -= size_of(&entry);
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
fn size_of(entry: &QualityEntry) -> usize {
    let version = &entry.cell.version;
    let names = version.model.as_str().len() + version.version.as_str().len();
    names + entry.cell.task.as_str().len() + CELL_BYTES
}
