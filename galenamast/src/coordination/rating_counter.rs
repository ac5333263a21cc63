//! Counts the rated answers of each version over all entry hosts.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::state::{QualityOrigin, VersionKey};

/// Rated answers of one version that one origin has seen since it started.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RatingCount {
    /// Version that answered.
    pub version: VersionKey,
    /// Number of rated answers.
    pub count: u64,
}

/// Counts of one origin.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RatingUpdate {
    /// Origin of the counts.
    pub origin: QualityOrigin,
    /// The counts.
    pub counts: Vec<RatingCount>,
}

/// Growth of one origin's count since it was first heard of.
#[derive(Clone, Copy, Debug)]
struct CountGrowth {
    first: u64,
    latest: u64,
}

/// Rated answers by version and origin, merged by maximum.
#[derive(Clone, Debug, Default)]
pub struct RatingCounter {
    origin: QualityOrigin,
    versions: BTreeMap<VersionKey, BTreeMap<QualityOrigin, CountGrowth>>,
}

impl RatingCounter {
    /// Creates the counter of an entry host.
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

    /// Merges the counts of another host; repeats and reordering do no harm.
    ///
    /// What an origin counted before it was first heard of is left out, so that the total never
    /// jumps by answers of long ago.
    ///
    /// ```
    /// use galenamast::coordination::{RatingCount, RatingCounter, RatingNews};
    /// use galenamast::state::VersionKey;
    ///
    /// let version = VersionKey::new("advice", "small");
    /// let news = |count| RatingNews {
    ///     counts: vec![RatingCount { version: VersionKey::new("advice", "small"), count }],
    ///     ..Default::default()
    /// };
    /// let mut counter = RatingCounter::new(Default::default());
    /// counter.merge(&RatingNews { origin: Default::default(), ..news(5) });
    /// assert_eq!(counter.total(&version), 0, "the own host is not told its own counts");
    /// ```
    pub fn merge(&mut self, news: &RatingUpdate) {
        if news.origin == self.origin {
            return;
        }
        for told in &news.counts {
            let origins = self.versions.entry(told.version.clone()).or_default();
            let growth = origins.entry(news.origin.clone());
            let growth = growth.or_insert(CountGrowth {
                first: told.count,
                latest: told.count,
            });
            growth.latest = growth.latest.max(told.count);
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

    /// Returns the rated answers of a version on all hosts since each was first heard of.
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
