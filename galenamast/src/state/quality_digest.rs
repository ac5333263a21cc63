//! Quality digests: the sums of ratings and latencies that entry hosts exchange.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::state::names::{HostName, TaskName};
use crate::state::quality_sums::QualitySums;
use crate::state::version_key::VersionKey;

/// Class of prompt length; quality is tracked separately for each.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LengthBucket {
    /// Up to 511 tokens.
    #[default]
    Short,
    /// From 512 to 2,047 tokens.
    Medium,
    /// From 2,048 tokens.
    Long,
}

impl LengthBucket {
    /// Classifies a prompt.
    ///
    /// ```
    /// use galenamast::state::LengthBucket;
    ///
    /// assert_eq!(LengthBucket::of_tokens(600), LengthBucket::Medium);
    /// ```
    pub const fn of_tokens(tokens: u32) -> Self {
        match tokens {
            0..=511 => Self::Short,
            512..=2_047 => Self::Medium,
            _ => Self::Long,
        }
    }
}

/// Source of observations: one incarnation of an entry host.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct QualityOrigin {
    /// Name of the entry host.
    pub host: HostName,
    /// Number that differs between restarts of the host.
    pub incarnation: u64,
}

/// Key by which observations are grouped.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct QualityCell {
    /// Version that answered.
    pub version: VersionKey,
    /// Task of the request.
    pub task: TaskName,
    /// Length of the prompt.
    pub length: LengthBucket,
}

/// Sums of one cell within one time bucket of an origin.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QualityEntry {
    /// Cell that the sums belong to.
    pub cell: QualityCell,
    /// Number of the time bucket, counted by the origin's clock.
    pub bucket: u64,
    /// Time from the start of the bucket until the digest was made.
    pub age: Duration,
    /// Sums over the answers of the bucket.
    pub sums: QualitySums,
}

/// Recent sums of one origin.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct QualityDigest {
    /// Origin of the sums.
    pub origin: QualityOrigin,
    /// Sums by cell and time bucket.
    pub entries: Vec<QualityEntry>,
}
