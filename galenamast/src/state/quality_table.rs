//! Observed quality and latency of versions, merged across entry hosts.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::state::names::TaskName;
use crate::state::quality_digest::{
    LengthBucket, QualityCell, QualityDigest, QualityEntry, QualityOrigin,
};
use crate::state::quality_sums::{QualitySums, WeightedSums};
use crate::state::time_point::TimePoint;
use crate::state::version_key::VersionKey;

/// Duration of a time bucket.
pub const BUCKET_WIDTH: Duration = Duration::from_secs(60);
/// Time after which the weight of an observation has halved.
pub const HALF_LIFE: Duration = Duration::from_secs(3_600);
/// Number of time buckets per origin that are kept for merging and sent in digests.
const KEPT_BUCKETS: u64 = 3;
/// Number of half-lives after which weights are rebased, which keeps them finite.
const REBASE_HALF_LIVES: f64 = 64.0;

/// Sums of one origin by time bucket and cell.
type BucketSums = BTreeMap<u64, BTreeMap<QualityCell, QualitySums>>;
/// Sums of a version by task and prompt length.
type TaskSums = BTreeMap<TaskName, BTreeMap<LengthBucket, WeightedSums>>;

/// Exact sums per origin and time bucket, and their totals weighted by age.
#[derive(Clone, Debug, Default)]
pub struct QualityTable {
    /// This entry host.
    origin: QualityOrigin,
    /// Recent sums of every origin.
    origins: BTreeMap<QualityOrigin, BucketSums>,
    /// Totals over all origins and times, weighted relative to `epoch`.
    totals: BTreeMap<VersionKey, TaskSums>,
    /// Time at which an observation has the weight 1.
    epoch: TimePoint,
}

/// An answer that was rated or timed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct QualityObservation {
    /// Cell that the answer belongs to.
    pub cell: QualityCell,
    /// Rating from 0 to 1, if the answer was rated.
    pub rating: Option<f64>,
    /// Latency of the complete answer, if it was measured.
    pub latency: Option<Duration>,
}

impl QualityTable {
    /// Creates an empty table for an entry host.
    pub fn new(origin: QualityOrigin) -> Self {
        Self {
            origin,
            ..Default::default()
        }
    }

    /// Records an answer that this entry host served.
    ///
    /// ```
    /// use galenamast::state::{QualityObservation, QualityTable, TimePoint};
    ///
    /// let mut table = QualityTable::default();
    /// let observation = QualityObservation { rating: Some(0.9), ..Default::default() };
    /// table.observe(&observation, TimePoint::ZERO);
    /// assert_eq!(table.digest(TimePoint::ZERO).entries.len(), 1);
    /// ```
    pub fn observe(&mut self, observation: &QualityObservation, now: TimePoint) {
        let bucket = bucket_of(now);
        let mut sums = self.bucket_sums(&self.origin, bucket, &observation.cell);
        if let Some(rating) = observation.rating {
            sums.add_rating(rating);
        }
        if let Some(latency) = observation.latency {
            sums.add_latency(u64::try_from(latency.as_micros()).unwrap_or(u64::MAX));
        }
        let origin = self.origin.clone();
        self.raise_sums(&origin, bucket, &observation.cell, &sums, now);
    }

    /// Merges the digest of another entry host; duplicates and reordering are harmless.
    pub fn merge(&mut self, digest: &QualityDigest, now: TimePoint) {
        for entry in &digest.entries {
            let started_at = now - entry.age;
            self.raise_sums(
                &digest.origin,
                entry.bucket,
                &entry.cell,
                &entry.sums,
                started_at,
            );
        }
    }

    /// Returns the recent sums of this entry host.
    pub fn digest(&self, now: TimePoint) -> QualityDigest {
        let width = BUCKET_WIDTH.as_micros() as u64;
        let mut entries = Vec::new();
        for (bucket, cells) in self.origins.get(&self.origin).into_iter().flatten() {
            for (cell, sums) in cells {
                entries.push(QualityEntry {
                    cell: cell.clone(),
                    bucket: *bucket,
                    age: now.since(TimePoint::from_micros(bucket * width)),
                    sums: *sums,
                });
            }
        }
        QualityDigest {
            origin: self.origin.clone(),
            entries,
        }
    }

    /// Returns a copy that gives the same estimates and keeps recent sums of this entry host only.
    pub fn snapshot(&self) -> Self {
        let local = self.origins.get_key_value(&self.origin);
        let local = local.map(|(origin, buckets)| (origin.clone(), buckets.clone()));
        Self {
            origin: self.origin.clone(),
            origins: local.into_iter().collect(),
            totals: self.totals.clone(),
            epoch: self.epoch,
        }
    }

    /// Returns the sums of a version and task by prompt length, and the factor that scales them to
    /// the weights at `now`.
    pub fn task_sums(
        &self,
        version: &VersionKey,
        task: &TaskName,
        now: TimePoint,
    ) -> Option<(&BTreeMap<LengthBucket, WeightedSums>, f64)> {
        let sums = self.totals.get(version)?.get(task)?;
        Some((sums, 1.0 / weight_at(self.epoch, now)))
    }

    /// Returns the exact sums of one origin, bucket and cell.
    pub fn bucket_sums(
        &self,
        origin: &QualityOrigin,
        bucket: u64,
        cell: &QualityCell,
    ) -> QualitySums {
        let cells = self
            .origins
            .get(origin)
            .and_then(|known| known.get(&bucket));
        cells
            .and_then(|cells| cells.get(cell))
            .copied()
            .unwrap_or_default()
    }

    /// Raises the sums of a cell to the given ones and adds the growth to the totals.
    fn raise_sums(
        &mut self,
        origin: &QualityOrigin,
        bucket: u64,
        cell: &QualityCell,
        sums: &QualitySums,
        at: TimePoint,
    ) {
        self.rebase(at);
        let buckets = self.origins.entry(origin.clone()).or_default();
        let newest = buckets.keys().next_back().copied().unwrap_or(bucket);
        if bucket + KEPT_BUCKETS <= newest {
            return;
        }
        let known = buckets
            .entry(bucket)
            .or_default()
            .entry(cell.clone())
            .or_default();
        let before = *known;
        known.merge(sums);
        if *known == before {
            return;
        }
        let weight = weight_at(self.epoch, at);
        let tasks = self.totals.entry(cell.version.clone()).or_default();
        let lengths = tasks.entry(cell.task.clone()).or_default();
        let total = lengths.entry(cell.length).or_default();
        total.add_growth(&before, known, weight);
        let newest = newest.max(bucket);
        *buckets = buckets.split_off(&(newest + 1).saturating_sub(KEPT_BUCKETS));
    }

    /// Moves the epoch of the weights forward once they have grown large.
    fn rebase(&mut self, now: TimePoint) {
        let elapsed = now.since(self.epoch).as_secs_f64() / HALF_LIFE.as_secs_f64();
        if elapsed < REBASE_HALF_LIVES {
            return;
        }
        let factor = (-elapsed).exp2();
        let cells = self
            .totals
            .values_mut()
            .flat_map(|tasks| tasks.values_mut());
        for sums in cells.flat_map(|lengths| lengths.values_mut()) {
            sums.scale(factor);
        }
        self.epoch = now;
    }
}

/// Returns the number of the time bucket that contains a time point.
fn bucket_of(now: TimePoint) -> u64 {
    now.as_micros() / BUCKET_WIDTH.as_micros() as u64
}

/// Returns the weight of an observation, which doubles each half-life after the epoch.
fn weight_at(epoch: TimePoint, at: TimePoint) -> f64 {
    let elapsed = at.since(epoch).as_secs_f64() - epoch.since(at).as_secs_f64();
    (elapsed / HALF_LIFE.as_secs_f64()).exp2()
}
