//! Evidence on versions in the compact form that entry hosts send to each other often.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::coordination::betting_test::{BetCapital, EvidenceDigest};
use crate::coordination::version_monitor::VersionEvidence;
use crate::coordination::version_test::TestDigest;
use crate::state::{ConfigGeneration, QualityOrigin, VersionKey};

/// Number of epochs of each kind of evidence that are sent: the current one and the one before it.
const SENT_EPOCHS: usize = 2;

/// Number of kinds of evidence: ratings, recent ratings, low and very low ratings, errors, latency.
const KINDS: usize = 6;

/// Capital of one kind of evidence in one epoch, rounded to single precision to keep updates small.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PackedCapital {
    /// Epoch of the capital.
    pub epoch: u64,
    /// Number of observations that were bet on.
    pub count: u64,
    /// Natural logarithm of the capital, for each size of bet.
    pub log_capital: Vec<f32>,
}

/// Recent evidence of one host on one version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EvidenceUpdate {
    /// Host that gathered the evidence.
    pub origin: QualityOrigin,
    /// Configuration generation in force on that host.
    pub generation: ConfigGeneration,
    /// Version under test.
    pub version: VersionKey,
    /// Version that it is compared with; `None` if it is compared with its own past.
    pub baseline: Option<VersionKey>,
    /// Current epoch of each kind: ratings, recent, low and very low ratings, errors, latency.
    pub epochs: [u64; KINDS],
    /// Capital of each kind, in the order of `epochs`.
    pub capital: Box<[Vec<PackedCapital>; KINDS]>,
}

impl EvidenceUpdate {
    /// Packs the recent part of a host's evidence.
    pub fn pack(evidence: &VersionEvidence, generation: ConfigGeneration) -> Self {
        let kinds = ordered_kinds(&evidence.digest);
        Self {
            origin: evidence.digest.ratings.origin.clone(),
            generation,
            version: evidence.version.clone(),
            baseline: evidence.baseline.clone(),
            epochs: kinds.map(|kind| kind.epoch),
            capital: Box::new(kinds.map(pack_kind)),
        }
    }

    /// Converts the update back to evidence.
    pub fn unpack(&self) -> VersionEvidence {
        let kind = |index: usize| EvidenceDigest {
            origin: self.origin.clone(),
            epoch: self.epochs[index],
            capital: self.capital[index].iter().filter_map(unpack).collect(),
        };
        VersionEvidence {
            version: self.version.clone(),
            baseline: self.baseline.clone(),
            digest: TestDigest {
                ratings: kind(0),
                recent_ratings: kind(1),
                low_ratings: [kind(2), kind(3)],
                errors: kind(4),
                latency: kind(5),
            },
        }
    }

    /// Returns the number of observations behind the update, for each kind.
    pub fn observations(&self) -> [u64; KINDS] {
        let count = |kind: &Vec<PackedCapital>| kind.iter().map(|capital| capital.count).sum();
        self.capital.each_ref().map(count)
    }
}

/// Returns the kinds of evidence in the order in which they are sent.
fn ordered_kinds(digest: &TestDigest) -> [&EvidenceDigest; KINDS] {
    let [low, very_low] = &digest.low_ratings;
    [
        &digest.ratings,
        &digest.recent_ratings,
        low,
        very_low,
        &digest.errors,
        &digest.latency,
    ]
}

/// Packs the most recent epochs of one kind of evidence.
fn pack_kind(digest: &EvidenceDigest) -> Vec<PackedCapital> {
    let recent = digest.capital.iter().rev().take(SENT_EPOCHS);
    recent
        .map(|(epoch, capital)| PackedCapital {
            epoch: *epoch,
            count: capital.count,
            log_capital: capital.log_capital.iter().map(|log| *log as f32).collect(),
        })
        .collect()
}

/// Unpacks the capital of an epoch.
///
/// Returns `None` if it is not finite, or if it comes from a release with other bet sizes.
fn unpack(packed: &PackedCapital) -> Option<(u64, BetCapital)> {
    let mut capital = BetCapital {
        count: packed.count,
        ..Default::default()
    };
    if packed.log_capital.len() != capital.log_capital.len() {
        return None;
    }
    for (log, sent) in capital.log_capital.iter_mut().zip(&packed.log_capital) {
        // An infinite or NaN capital would make every sum infinite or NaN.
        if !sent.is_finite() {
            return None;
        }
        *log = f64::from(*sent);
    }
    Some((packed.epoch, capital))
}

/// Numbers of observations last sent, by version and baseline.
pub(crate) type SentEvidence = BTreeMap<(VersionKey, Option<VersionKey>), [u64; KINDS]>;
