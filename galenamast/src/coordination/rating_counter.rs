//! Number of rated answers of each version, over all entry hosts.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::state::{QualityOrigin, VersionKey};

/// Number of rated answers of one version that one origin has counted since it started.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RatingCount {
    /// Version that answered.
    pub version: VersionKey,
    /// Number of rated answers.
    pub count: u64,
}

/// Rating counts of one origin, as sent to other hosts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RatingUpdate {
    /// Origin of the counts.
    pub origin: QualityOrigin,
    /// Counts by version; may be a part of the origin's counts.
    pub counts: Vec<RatingCount>,
}

/// First and latest count received from one origin.
#[derive(Clone, Copy, Debug)]
struct CountGrowth {
    first: u64,
    latest: u64,
}

/// Rated answers by version and origin; counts of one origin are merged by their maximum.
#[derive(Clone, Debug, Default)]
pub struct RatingCounter {
    origin: QualityOrigin,
    versions: BTreeMap<VersionKey, BTreeMap<QualityOrigin, CountGrowth>>,
}

impl RatingCounter {
    /// Creates the counter of an entry host, without any answers.
    pub fn new(origin: QualityOrigin) -> Self {
        Self {
            origin,
            versions: BTreeMap::new(),
        }
    }

    /// Counts an answer that was rated on this host.
    pub fn count(&mut self, version: &VersionKey) {
        let origins = self.versions.entry(version.clone()).or_default();
        let growth = origins.entry(self.origin.clone());
        let growth = growth.or_insert(CountGrowth {
            first: 0,
            latest: 0,
        });
        growth.latest += 1;
    }

    /// Merges the counts of another host. Updates may arrive repeatedly and in any order.
    ///
    /// The first count received from an origin is not added to the total, so the total never jumps
    /// by answers from long ago.
    ///
    /// ```
    /// use galenamast::coordination::{RatingCount, RatingCounter, RatingUpdate};
    /// use galenamast::state::VersionKey;
    ///
    /// let version = VersionKey::new("advice", "small");
    /// let update = |count| RatingUpdate {
    ///     counts: vec![RatingCount { version: VersionKey::new("advice", "small"), count }],
    ///     ..Default::default()
    /// };
    /// let mut counter = RatingCounter::new(Default::default());
    /// counter.merge(&RatingUpdate { origin: Default::default(), ..update(5) });
    /// assert_eq!(counter.total(&version), 0, "updates from the same origin are ignored");
    /// ```
    pub fn merge(&mut self, update: &RatingUpdate) {
        if update.origin == self.origin {
            return;
        }
        for received in &update.counts {
            let origins = self.versions.entry(received.version.clone()).or_default();
            let growth = origins.entry(update.origin.clone());
            let growth = growth.or_insert(CountGrowth {
                first: received.count,
                latest: received.count,
            });
            growth.latest = growth.latest.max(received.count);
        }
    }

    /// Returns the counts of this host.
    pub fn own_counts(&self) -> Vec<RatingCount> {
        let counts = self.versions.iter().filter_map(|(version, origins)| {
            let growth = origins.get(&self.origin)?;
            Some(RatingCount {
                version: version.clone(),
                count: growth.latest,
            })
        });
        counts.collect()
    }

    /// Returns the number of rated answers of a version on all hosts, for each host since its first
    /// received count.
    pub fn total(&self, version: &VersionKey) -> u64 {
        let origins = self.versions.get(version).into_iter().flatten();
        origins
            .map(|(_, growth)| growth.latest - growth.first)
            .sum()
    }

    /// Returns the totals of all versions.
    pub fn totals(&self) -> BTreeMap<VersionKey, u64> {
        let versions = self.versions.keys();
        versions
            .map(|version| (version.clone(), self.total(version)))
            .collect()
    }
}
