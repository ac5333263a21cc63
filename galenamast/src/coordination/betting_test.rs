//! An anytime-valid test whether one mean has fallen below another, shared between entry hosts.
//!
//! Each entry host bets against the null hypothesis that the loss of the subject against its
//! reference is at most the tolerated one. Under the null hypothesis the capital of a bet has an
//! expectation of at most one at every stopping time, the product over hosts that watch disjoint
//! answers too, and so has a weighted sum over bet sizes and starting times (epochs). By Ville's
//! inequality the sum ever reaches `1 / rate` with a probability of at most `rate`.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::state::{QualityOrigin, TimePoint};

/// Sizes of the bets, each held through an epoch.
const BET_SIZES: [f64; 6] = [0.95, 0.6, 0.4, 0.2, 0.1, 0.05];
/// Least room above an accepted mean.
const MIN_ROOM: f64 = 0.05;
/// Time after which bets start anew, so that good answers of long ago don't hide bad ones.
pub const EPOCH_LENGTH: Duration = Duration::from_secs(60);
/// Epochs whose capital is kept and counted.
const KEPT_EPOCHS: u64 = 15;
/// Epochs over which the weights of starting times are even, before they fall.
const EVEN_EPOCHS: f64 = 120.0;
/// Epochs whose capital is told to other hosts.
const TOLD_EPOCHS: u64 = 5;

/// Logarithms of the capital of one origin's bets in an epoch.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct BetCapital {
    /// Observations that were bet on.
    pub count: u64,
    /// Logarithm of the capital for each size of bet.
    pub log_capital: [f64; BET_SIZES.len()],
}

/// Capital of one origin's bets by epoch.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EvidenceDigest {
    /// Origin of the bets.
    pub origin: QualityOrigin,
    /// Current epoch of the origin.
    pub epoch: u64,
    /// Capital by epoch.
    pub capital: BTreeMap<u64, BetCapital>,
}

/// Bets of all entry hosts on one kind of evidence against one subject.
#[derive(Clone, Debug, Default)]
pub struct BettingTest {
    origin: QualityOrigin,
    tolerated_loss: f64,
    epoch: u64,
    epoch_started: TimePoint,
    epochs: BTreeMap<u64, BTreeMap<QualityOrigin, BetCapital>>,
    /// Best capital of the bets that started in each kept epoch, by size of bet.
    best: BetTotals,
}

impl BettingTest {
    /// Creates a test without evidence.
    pub fn new(origin: QualityOrigin, tolerated_loss: f64, now: TimePoint) -> Self {
        Self {
            origin,
            tolerated_loss,
            epoch: 0,
            epoch_started: now,
            epochs: BTreeMap::new(),
            best: BetTotals::default(),
        }
    }

    /// Bets on an answer of the subject against its reference; both lie between 0 and 1.
    ///
    /// ```
    /// use galenamast::coordination::EvidenceTest;
    /// use galenamast::state::TimePoint;
    ///
    /// let mut test = EvidenceTest::new(Default::default(), 0.02, TimePoint::ZERO);
    /// for _ in 0..50 {
    ///     test.observe(0.2, 0.9, TimePoint::ZERO);
    /// }
    /// assert!(test.log_evidence() > 1_000_f64.ln());
    /// ```
    pub fn observe(&mut self, subject: f64, reference: f64, now: TimePoint) {
        self.bet(reference - self.tolerated_loss - subject, now);
    }

    /// Bets on whether an event happened whose probability is at most `rate`.
    pub fn observe_event(&mut self, happened: bool, rate: f64, now: TimePoint) {
        let gain = (f64::from(happened) - rate) / rate;
        self.bet(gain, now);
    }

    /// Bets on a value of the subject against the mean of a reference, which is taken for known.
    ///
    /// The value is at most 1, so that the room above the mean bounds what a bet can lose, and the
    /// bets may be larger than those on single values of a reference.
    pub fn observe_below(&mut self, subject: f64, mean: f64, now: TimePoint) {
        let accepted = mean - self.tolerated_loss;
        let room = (1.0 - accepted).clamp(MIN_ROOM, 1.0);
        self.bet(((accepted - subject) / room).max(-1.0), now);
    }

    /// Bets on a gain of at least -1 whose expectation is at most zero under the null hypothesis.
    fn bet(&mut self, gain: f64, now: TimePoint) {
        self.advance(now);
        let origins = self.epochs.entry(self.epoch).or_default();
        let capital = origins.entry(self.origin.clone()).or_default();
        capital.count += 1;
        let totals = capital.log_capital.iter_mut().zip(&mut self.best);
        for ((log_capital, best), size) in totals.zip(BET_SIZES) {
            let won = (size * gain).ln_1p();
            *log_capital += won;
            *best += won;
        }
    }

    /// Starts a new epoch when the current one has lasted its time.
    fn advance(&mut self, now: TimePoint) {
        if now.since(self.epoch_started) >= EPOCH_LENGTH {
            self.start_epoch(self.epoch + 1, now);
        }
    }

    /// Starts an epoch and forgets those that no longer count.
    fn start_epoch(&mut self, epoch: u64, now: TimePoint) {
        self.epoch = epoch;
        self.epoch_started = now;
        let oldest = (epoch + 1).saturating_sub(KEPT_EPOCHS);
        self.epochs = self.epochs.split_off(&oldest);
        self.epochs.entry(epoch).or_default();
        self.find_best();
    }

    /// Finds the best capital of the bets that started in each kept epoch.
    fn find_best(&mut self) {
        let mut running = BetTotals::default();
        let mut best = [f64::NEG_INFINITY; BET_SIZES.len()];
        for origins in self.epochs.values().rev() {
            add_capital(&mut running, origins);
            for (best, total) in best.iter_mut().zip(running) {
                *best = best.max(total);
            }
        }
        self.best = best;
    }

    /// Merges another host's bets; repeats and reordering do no harm.
    pub fn merge(&mut self, digest: &EvidenceDigest, now: TimePoint) {
        if digest.epoch > self.epoch {
            self.start_epoch(digest.epoch, now);
        }
        let oldest = (self.epoch + 1).saturating_sub(KEPT_EPOCHS);
        for (epoch, capital) in digest.capital.range(oldest..) {
            let origins = self.epochs.entry(*epoch).or_default();
            let known = origins.entry(digest.origin.clone()).or_default();
            if capital.count > known.count {
                *known = *capital;
            }
        }
        self.find_best();
    }

    /// Returns this host's bets.
    pub fn digest(&self) -> EvidenceDigest {
        let oldest = (self.epoch + 1).saturating_sub(TOLD_EPOCHS);
        let own = self.epochs.range(oldest..).filter_map(|(epoch, origins)| {
            let capital = origins.get(&self.origin)?;
            Some((*epoch, *capital))
        });
        EvidenceDigest {
            origin: self.origin.clone(),
            epoch: self.epoch,
            capital: own.collect(),
        }
    }

    /// Returns whether the logarithm of the evidence reaches a threshold.
    pub fn reaches(&self, threshold: f64) -> bool {
        // The weights sum to at most one, so the evidence never exceeds the best bet.
        let best = self.best.iter().any(|total| *total >= threshold);
        best && self.log_evidence() >= threshold
    }

    /// Returns the logarithm of the evidence against the null hypothesis.
    ///
    /// A bet that starts in an epoch runs through all later ones. Its weight is even for the first
    /// epochs and falls with the square of the epoch after them, so that the weights sum to less
    /// than one.
    pub fn log_evidence(&self) -> f64 {
        let mut running = BetTotals::default();
        let mut evidence = 0.0;
        for (epoch, origins) in self.epochs.iter().rev() {
            add_capital(&mut running, origins);
            let weight = start_weight(*epoch) / BET_SIZES.len() as f64;
            evidence += running
                .iter()
                .map(|total| weight * total.exp())
                .sum::<f64>();
        }
        evidence.ln()
    }

    /// Returns the number of answers of the subject that were bet on.
    pub fn count(&self) -> u64 {
        let origins = self.epochs.values().flat_map(BTreeMap::values);
        origins.map(|capital| capital.count).sum()
    }
}

/// Logarithms of capital by size of bet.
type BetTotals = [f64; BET_SIZES.len()];

/// Adds the capital that all origins won in an epoch.
fn add_capital(running: &mut BetTotals, origins: &BTreeMap<QualityOrigin, BetCapital>) {
    for capital in origins.values() {
        for (total, log_capital) in running.iter_mut().zip(capital.log_capital) {
            *total += log_capital;
        }
    }
}

/// Returns the weight of bets that start in an epoch: half of all weight is spread evenly.
fn start_weight(epoch: u64) -> f64 {
    let epoch = epoch as f64;
    if epoch < EVEN_EPOCHS {
        return 0.5 / EVEN_EPOCHS;
    }
    0.5 * EVEN_EPOCHS / (epoch * (epoch + 1.0))
}
