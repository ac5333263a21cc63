//! Compares the pace of a new version's answers with that of the version before.
//!
//! Load pattern: part of a new version's answers take two to four times as long. No single answer shows
//! it: cold caches and queues scatter the time to the first byte more than that, and the time between
//! events grows with the load of the engine, which a version on trial has less of. So paces are compared
//! with what the version before would show under the same load, at the same host, and a sequential test
//! adds up how many of the answers of all hosts exceed nearly all of the version before.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use galenamast::state::TimePoint;

use crate::state::PaceCounts;

/// Settings of the comparison.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PaceSettings {
    /// Part of the answers of the version before that are not slow.
    pub usual_part: f64,
    /// Factor by which an answer has to exceed these in order to be slow.
    pub tolerated_ratio: f64,
    /// Seconds by which an answer has to exceed what its load explains in order to be slow; a busy host
    /// reads events late by less.
    pub min_excess: f64,
    /// Answers of the version before that are needed for a comparison.
    pub min_samples: usize,
    /// Answers of one kind that are remembered.
    pub max_samples: usize,
    /// Time for which they are remembered.
    pub max_age: Duration,
    /// Latest answers of the new version at one host that count.
    pub max_compared: usize,
    /// Part of the answers that are slow if the new version is as fast.
    pub good_part: f64,
    /// Part of the answers that are slow if the new version is bad.
    pub bad_part: f64,
    /// Slow answers that are needed for a verdict.
    pub min_slow: u32,
    /// Part of the good versions that the test takes for bad, at most.
    pub false_alarms: f64,
}

impl Default for PaceSettings {
    fn default() -> Self {
        Self {
            usual_part: 0.9,
            tolerated_ratio: 1.0,
            min_excess: 0.010,
            min_samples: 6,
            max_samples: 48,
            max_age: Duration::from_secs(60),
            max_compared: 32,
            good_part: 0.12,
            bad_part: 0.4,
            min_slow: 5,
            false_alarms: 0.002,
        }
    }
}

impl PaceSettings {
    /// Returns whether the answers of all hosts show that a version is slow.
    pub fn is_slow(&self, counts: PaceCounts) -> bool {
        let ratio = counts.log_likelihood_ratio(self.good_part, self.bad_part);
        counts.slow >= self.min_slow && ratio >= -self.false_alarms.ln()
    }
}

/// The pace of one answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AnswerPace {
    /// Seconds between two events, or for the whole answer if it is not streamed.
    pub seconds: f64,
    /// Requests that were in flight at the server.
    pub load: u32,
}

/// Recent paces of the versions that are not on trial, by kind of request.
#[derive(Clone, Debug, Default)]
pub struct PaceBaseline {
    settings: PaceSettings,
    samples: BTreeMap<Arc<str>, VecDeque<(TimePoint, AnswerPace)>>,
}

impl PaceBaseline {
    /// Creates a baseline without paces.
    pub fn new(settings: PaceSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Records the pace of an answer.
    pub fn record(&mut self, kind: &Arc<str>, pace: AnswerPace, now: TimePoint) {
        let settings = self.settings;
        let samples = self.samples.entry(kind.clone()).or_default();
        samples.retain(|(at, _)| now.since(*at) < settings.max_age);
        if samples.len() >= settings.max_samples {
            samples.pop_front();
        }
        samples.push_back((now, pace));
    }

    /// Returns whether an answer is slower than nearly all of the recorded ones, as far as load does not
    /// explain it; `None` if there are too few of its kind.
    pub fn is_slow(&self, kind: &str, pace: AnswerPace) -> Option<bool> {
        let samples = self.samples.get(kind)?;
        if samples.len() < self.settings.min_samples {
            return None;
        }
        let paces: Vec<AnswerPace> = samples.iter().map(|(_, pace)| *pace).collect();
        let expected = fit_load(&paces);
        let ratio = |pace: &AnswerPace| pace.seconds / expected(pace.load);
        let mut ratios: Vec<f64> = paces.iter().map(ratio).collect();
        ratios.sort_by(f64::total_cmp);
        let index = (ratios.len() as f64 * self.settings.usual_part) as usize;
        let usual = ratios[index.min(ratios.len() - 1)];
        let excess = pace.seconds - expected(pace.load);
        let is_unusual = ratio(&pace) > usual * self.settings.tolerated_ratio;
        Some(is_unusual && excess > self.settings.min_excess)
    }
}

/// Fits the seconds of paces as a linear function of the load, by least squares. Load never makes an
/// answer faster, and an answer without load takes at least half of the fastest.
fn fit_load(paces: &[AnswerPace]) -> impl Fn(u32) -> f64 {
    let count = paces.len() as f64;
    let mean_load = paces.iter().map(|pace| f64::from(pace.load)).sum::<f64>() / count;
    let mean = paces.iter().map(|pace| pace.seconds).sum::<f64>() / count;
    let (mut covariance, mut variance) = (0.0, 0.0);
    for pace in paces {
        let load = f64::from(pace.load) - mean_load;
        covariance += load * (pace.seconds - mean);
        variance += load * load;
    }
    let slope = if variance > 0.0 {
        (covariance / variance).max(0.0)
    } else {
        0.0
    };
    let fastest = paces
        .iter()
        .map(|pace| pace.seconds)
        .fold(f64::INFINITY, f64::min);
    let least = (fastest / 2.0).max(f64::MIN_POSITIVE);
    move |load| (mean + slope * (f64::from(load) - mean_load)).max(least)
}

/// The latest answers of a new version at this host, each with its server.
#[derive(Clone, Debug, Default)]
pub struct ComparedAnswers {
    answers: VecDeque<(Arc<str>, bool)>,
}

impl ComparedAnswers {
    /// Records whether an answer was slow; only the latest `max_compared` count.
    pub fn record(&mut self, server: &Arc<str>, is_slow: bool, max_compared: usize) {
        if self.answers.len() >= max_compared {
            self.answers.pop_front();
        }
        self.answers.push_back((server.clone(), is_slow));
    }

    /// Returns the counts, without those of a server that has most of the slow answers while others
    /// answer as well: it is slow for a reason of its own.
    pub fn counts(&self) -> PaceCounts {
        let mut servers: BTreeMap<&Arc<str>, PaceCounts> = BTreeMap::new();
        let mut all = PaceCounts::default();
        for (server, is_slow) in &self.answers {
            servers.entry(server).or_default().record(*is_slow);
            all.record(*is_slow);
        }
        let is_alone = |counts: &&PaceCounts| {
            servers.len() > 1 && counts.slow >= 3 && counts.slow * 3 > all.slow * 2
        };
        let mut counts = PaceCounts::default();
        let others = servers.values().filter(|counts| !is_alone(counts));
        others.for_each(|server| counts.add(*server));
        counts
    }
}

/// The time between the events of one response, measured once.
#[derive(Clone, Copy, Debug, Default)]
pub struct StreamPace {
    first_at: Option<TimePoint>,
    is_measured: bool,
}

impl StreamPace {
    /// Number of events from which the pace is known before the response ends.
    const ENOUGH_EVENTS: u64 = 8;
    /// Number of events without which a response has no pace.
    const MIN_EVENTS: u64 = 3;

    /// Records that a response has `events` events, or ends with them; returns the seconds between two
    /// events as soon as they are known.
    pub fn record(&mut self, events: u64, is_end: bool, now: TimePoint) -> Option<f64> {
        let first_at = *self.first_at.get_or_insert(now);
        let is_enough = events >= Self::ENOUGH_EVENTS || (is_end && events >= Self::MIN_EVENTS);
        if self.is_measured || !is_enough {
            return None;
        }
        self.is_measured = true;
        Some(now.since(first_at).as_secs_f64() / (events - 1) as f64)
    }
}
