//! What entry hosts tell each other of the quality of versions.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::state::names::{HostName, TaskName};
use crate::state::quality_sums::QualitySums;
use crate::state::version_key::VersionKey;

/// Classes of prompt length, by which qualities are told apart.
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

/// Origin of observations: an entry host since it last started.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct QualityOrigin {
    /// Entry host.
    pub host: HostName,
    /// Number that differs between starts of the host.
    pub incarnation: u64,
}

/// What observations are told apart by.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct QualityCell {
    /// Version that answered.
    pub version: VersionKey,
    /// Task of the request.
    pub task: TaskName,
    /// Length of the prompt.
    pub length: LengthBucket,
}

/// Sums of one cell in one time bucket of an origin.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QualityEntry {
    /// Cell of the sums.
    pub cell: QualityCell,
    /// Number of the time bucket on the origin.
    pub bucket: u64,
    /// Time since the start of the bucket when the digest was made.
    pub age: Duration,
    /// The sums.
    pub sums: QualitySums,
}

/// Recent sums of one origin.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct QualityDigest {
    /// Origin of the sums.
    pub origin: QualityOrigin,
    /// The sums.
    pub entries: Vec<QualityEntry>,
}
