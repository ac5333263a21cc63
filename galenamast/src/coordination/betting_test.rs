//! Anytime-valid test of whether one mean has fallen below another, shared between entry hosts.
//!
//! The test is a betting test. Each entry host bets against the null hypothesis that the subject's
//! loss against its reference is at most the tolerated loss. Under the null hypothesis, the
//! expected capital of a bet is at most one at every stopping time. The same holds for the product
//! over hosts, since they observe disjoint answers, and for a weighted sum over bet sizes and
//! starting times (epochs). By Ville's inequality, the probability that this sum ever reaches
//! `1 / rate` is at most `rate`.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::state::{QualityOrigin, TimePoint};

/// Sizes of the bets, as fractions of the capital. Each size is constant throughout an epoch.
const BET_SIZES: [f64; 6] = [0.95, 0.6, 0.4, 0.2, 0.1, 0.05];
/// Least distance assumed between an accepted mean and the largest rating, 1.
const MIN_HEADROOM: f64 = 0.05;
/// Time after which new bets start, so that good answers from long ago don't hide recent bad ones.
pub const EPOCH_LENGTH: Duration = Duration::from_secs(60);
/// Number of most recent epochs whose capital is kept and counted.
const KEPT_EPOCHS: u64 = 15;
/// Number of first epochs that have equal weights as starting times; later weights decrease.
const EVEN_EPOCHS: f64 = 120.0;
/// Number of most recent epochs whose capital is sent to other hosts.
const SENT_EPOCHS: u64 = 5;

/// Capital of one origin's bets in one epoch.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct BetCapital {
    /// Number of observations that were bet on.
    pub count: u64,
    /// Natural logarithm of the capital, for each size of bet.
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

/// Bets of all entry hosts on one kind of evidence about one subject.
#[derive(Clone, Debug, Default)]
pub struct BettingTest {
    origin: QualityOrigin,
    tolerated_loss: f64,
    epoch: u64,
    epoch_started: TimePoint,
    epochs: BTreeMap<u64, BTreeMap<QualityOrigin, BetCapital>>,
    /// Logarithm of the largest capital over the starting epochs, for each size of bet.
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

    /// Bets that a value of the subject is below its reference. Both values are from 0 to 1.
    ///
    /// ```
    /// use galenamast::coordination::BettingTest;
    /// use galenamast::state::TimePoint;
    ///
    /// let mut test = BettingTest::new(Default::default(), 0.02, TimePoint::ZERO);
    /// for _ in 0..50 {
    ///     test.observe(0.2, 0.9, TimePoint::ZERO);
    /// }
    /// assert!(test.log_evidence() > 1_000_f64.ln());
    /// ```
    pub fn observe(&mut self, subject: f64, reference: f64, now: TimePoint) {
        self.bet(reference - self.tolerated_loss - subject, now);
    }

    /// Bets that an event happens more often than with probability `rate`.
    pub fn observe_event(&mut self, happened: bool, rate: f64, now: TimePoint) {
        let gain = (f64::from(happened) - rate) / rate;
        self.bet(gain, now);
    }

    /// Bets that a value of the subject is below a reference mean, which is taken as known.
    ///
    /// Since the value is at most 1, a bet can lose at most the distance between the accepted mean
    /// and 1. The gain is scaled by that distance, so these bets are larger than those against
    /// single reference values.
    pub fn observe_below(&mut self, subject: f64, mean: f64, now: TimePoint) {
        let accepted = mean - self.tolerated_loss;
        let headroom = (1.0 - accepted).clamp(MIN_HEADROOM, 1.0);
        self.bet(((accepted - subject) / headroom).max(-1.0), now);
    }

    /// Bets on a gain that is at least -1 and whose expectation is at most 0 under the null
    /// hypothesis.
    fn bet(&mut self, gain: f64, now: TimePoint) {
        self.advance(now);
        let origins = self.epochs.entry(self.epoch).or_default();
        let capital = origins.entry(self.origin.clone()).or_default();
        capital.count += 1;
        let totals = capital.log_capital.iter_mut().zip(&mut self.best);
        for ((log_capital, best), size) in totals.zip(BET_SIZES) {
            let log_gain = (size * gain).ln_1p();
            *log_capital += log_gain;
            *best += log_gain;
        }
    }

    /// Starts a new epoch if the current one has lasted [`EPOCH_LENGTH`].
    fn advance(&mut self, now: TimePoint) {
        if now.since(self.epoch_started) >= EPOCH_LENGTH {
            self.start_epoch(self.epoch + 1, now);
        }
    }

    /// Starts an epoch and drops those that are no longer kept.
    fn start_epoch(&mut self, epoch: u64, now: TimePoint) {
        self.epoch = epoch;
        self.epoch_started = now;
        let oldest = (epoch + 1).saturating_sub(KEPT_EPOCHS);
        self.epochs = self.epochs.split_off(&oldest);
        self.epochs.entry(epoch).or_default();
        self.update_best();
    }

    /// Recomputes the largest capital over the starting epochs, for each size of bet.
    fn update_best(&mut self) {
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

    /// Merges another host's bets. Digests may arrive repeatedly and in any order.
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
        self.update_best();
    }

    /// Returns this host's bets of the last epochs, to send to other hosts.
    pub fn digest(&self) -> EvidenceDigest {
        let oldest = (self.epoch + 1).saturating_sub(SENT_EPOCHS);
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

    /// Returns the natural logarithm of the evidence against the null hypothesis.
    ///
    /// A bet that starts in an epoch continues through all later ones. The weights of the starting
    /// epochs are equal for the first `EVEN_EPOCHS` and then decrease with the square of the epoch,
    /// so they sum to less than one.
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

    /// Returns the number of observations that were bet on in the kept epochs, on all hosts.
    pub fn count(&self) -> u64 {
        let origins = self.epochs.values().flat_map(BTreeMap::values);
        origins.map(|capital| capital.count).sum()
    }
}

/// Natural logarithm of the capital, for each size of bet.
type BetTotals = [f64; BET_SIZES.len()];

/// Adds the logarithms of the capital of all origins in one epoch to a running total.
fn add_capital(running: &mut BetTotals, origins: &BTreeMap<QualityOrigin, BetCapital>) {
    for capital in origins.values() {
        for (total, log_capital) in running.iter_mut().zip(capital.log_capital) {
            *total += log_capital;
        }
    }
}

/// Returns the weight of bets that start in an epoch. Half of the total weight is spread evenly
/// over the first `EVEN_EPOCHS`.
fn start_weight(epoch: u64) -> f64 {
    let epoch = epoch as f64;
    if epoch < EVEN_EPOCHS {
        return 0.5 / EVEN_EPOCHS;
    }
    0.5 * EVEN_EPOCHS / (epoch * (epoch + 1.0))
}
