//! Evidence on versions as it goes between entry hosts, small enough to be repeated often.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::coordination::betting_test::{BetCapital, EvidenceDigest};
use crate::coordination::version_monitor::VersionEvidence;
use crate::coordination::version_test::TestDigest;
use crate::state::{ConfigGeneration, QualityOrigin, VersionKey};

/// Epochs of each kind of evidence that are told: the current one and the one before it.
const TOLD_EPOCHS: usize = 2;

/// Kinds of evidence: ratings, recent ratings, low and very low ratings, errors and latency.
const KINDS: usize = 6;

/// Capital of one kind of evidence in one epoch, rounded to single precision.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PackedCapital {
    /// Epoch of the capital.
    pub epoch: u64,
    /// Observations that were bet on.
    pub count: u64,
    /// Logarithm of the capital for each size of bet.
    pub log_capital: Vec<f32>,
}

/// Recent evidence of one host on one version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EvidenceUpdate {
    /// Host that the evidence comes from.
    pub origin: QualityOrigin,
    /// Generation of the configuration in force on that host.
    pub generation: ConfigGeneration,
    /// Version under test.
    pub version: VersionKey,
    /// Version that it is compared with; `None` for its own past.
    pub baseline: Option<VersionKey>,
    /// Current epoch of each kind: ratings, recent, low and very low ratings, errors, latency.
    pub epochs: [u64; KINDS],
    /// Capital of each kind.
    pub capital: Box<[Vec<PackedCapital>; KINDS]>,
}

impl EvidenceUpdate {
    /// Packs the recent part of a host's evidence.
    pub fn pack(evidence: &VersionEvidence, generation: ConfigGeneration) -> Self {
        let kinds = kinds_of(&evidence.digest);
        Self {
            origin: evidence.digest.ratings.origin.clone(),
            generation,
            version: evidence.version.clone(),
            baseline: evidence.baseline.clone(),
            epochs: kinds.map(|kind| kind.epoch),
            capital: Box::new(kinds.map(pack_kind)),
        }
    }

    /// Restores the evidence.
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

    /// Returns the observations that the recent part rests on, by kind.
    pub fn observations(&self) -> [u64; KINDS] {
        let count = |kind: &Vec<PackedCapital>| kind.iter().map(|capital| capital.count).sum();
        self.capital.each_ref().map(count)
    }
}

/// Returns the kinds of evidence in the order in which they are told.
fn kinds_of(digest: &TestDigest) -> [&EvidenceDigest; KINDS] {
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

/// Packs one kind of evidence.
fn pack_kind(digest: &EvidenceDigest) -> Vec<PackedCapital> {
    let recent = digest.capital.iter().rev().take(TOLD_EPOCHS);
    recent
        .map(|(epoch, capital)| PackedCapital {
            epoch: *epoch,
            count: capital.count,
            log_capital: capital.log_capital.iter().map(|log| *log as f32).collect(),
        })
        .collect()
}

/// Restores the capital of an epoch; one of another release with other bets is left out.
fn unpack(packed: &PackedCapital) -> Option<(u64, BetCapital)> {
    let mut capital = BetCapital {
        count: packed.count,
        ..Default::default()
    };
    if packed.log_capital.len() != capital.log_capital.len() {
        return None;
    }
    for (log, told) in capital.log_capital.iter_mut().zip(&packed.log_capital) {
        // A capital that is no number would poison every sum.
        if !told.is_finite() {
            return None;
        }
        *log = f64::from(*told);
    }
    Some((packed.epoch, capital))
}

/// Observations by version and baseline that were told last.
pub(crate) type SentEvidence = BTreeMap<(VersionKey, Option<VersionKey>), [u64; KINDS]>;
