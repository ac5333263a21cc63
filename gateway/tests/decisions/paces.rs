//! New versions of which part of the answers are slow, judged by the paces that many hosts see.

use std::net::SocketAddr;
use std::sync::Arc;

use galenamast::state::TimePoint;
use galenamast_gateway::coordination::rollouts::{
    AnswerPace, PaceBaseline, StreamPace, TrialSettings, VersionTrial,
};
use galenamast_gateway::state::PaceCounts;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Sizes of the fleets.
const FLEETS: [usize; 3] = [9, 63, 295];
/// Answers of the version before that each host has seen.
const BASELINE_ANSWERS: usize = 48;
/// Answers of the new version at all hosts before its share grows: those of a trial at nine hosts.
const TRIAL_ANSWERS: usize = 60;
/// Simulated roll-outs of each kind.
const ROLLOUTS: u64 = 200;
/// Part of the good versions that may be stopped.
const ALLOWED_FALSE_ALARMS: f64 = 0.02;

/// A version in a simulation.
#[derive(Clone, Copy)]
struct SimulatedVersion {
    /// Factor by which part of its answers are slower.
    slowness: f64,
    /// That part.
    slow_part: f64,
    /// Greatest number of requests in flight at its servers.
    max_load: u32,
}

/// Returns the pace of an answer: it grows with the load, and scatters by a factor of up to 1.6.
fn draw_pace(version: SimulatedVersion, random: &mut ChaCha8Rng) -> AnswerPace {
    let load = random.random_range(0..=version.max_load);
    let scatter = 1.6_f64.powf(random.random_range(-1.0..1.0));
    let is_slow = random.random_bool(version.slow_part);
    let factor = if is_slow { version.slowness } else { 1.0 };
    AnswerPace {
        seconds: (0.015 + 0.003 * f64::from(load)) * scatter * factor,
        load,
    }
}

/// Returns after how many answers of all hosts a version is stopped at the host that gets the last one;
/// `None` if it is not stopped in the trial.
fn stopped_after(hosts: usize, version: SimulatedVersion, seed: u64) -> Option<usize> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let settings = TrialSettings::default();
    let (kind, now) = (Arc::<str>::from("small"), TimePoint::from_millis(1_000));
    let before = SimulatedVersion {
        slowness: 1.0,
        slow_part: 0.0,
        max_load: 24,
    };
    // Hosts that get no answer of the new version need no baseline.
    let mut baselines: Vec<Option<PaceBaseline>> = vec![None; hosts];
    let mut trials = vec![VersionTrial::new(settings); hosts];
    for answer in 1..=TRIAL_ANSWERS {
        let host = random.random_range(0..hosts);
        let baseline = baselines[host].get_or_insert_with(|| {
            let mut baseline = PaceBaseline::new(settings.pace);
            for _ in 0..BASELINE_ANSWERS {
                baseline.record(&kind, draw_pace(before, &mut random), now);
            }
            baseline
        });
        let pace = draw_pace(version, &mut random);
        let is_slow = baseline
            .is_slow(&kind, pace)
            .expect("there are enough answers");
        let server: Arc<str> = format!("s-{}", random.random_range(0..4)).into();
        trials[host].record_pace(&server, is_slow);
        let paces = trials[host].local_paces();
        let address = SocketAddr::from(([10, 0, 0, 1], host as u16 + 1));
        for (other, trial) in trials.iter_mut().enumerate() {
            if other != host {
                trial.record_remote_paces(address, paces);
            }
        }
        if trials[host].is_bad() {
            return Some(answer);
        }
    }
    None
}

/// Returns the part of the simulated roll-outs in which the version is stopped.
fn stopped_part(hosts: usize, version: SimulatedVersion) -> f64 {
    let stopped = (0..ROLLOUTS).filter(|seed| stopped_after(hosts, version, *seed).is_some());
    stopped.count() as f64 / ROLLOUTS as f64
}

// Answers two to four times as slow were all graded as good.
#[test]
fn version_with_half_of_its_answers_slow_is_stopped_in_its_trial() {
    for hosts in FLEETS {
        for slowness in [4.0, 8.0] {
            let version = SimulatedVersion {
                slowness,
                slow_part: 0.5,
                max_load: 8,
            };
            let part = stopped_part(hosts, version);
            assert!(part >= 0.95, "{hosts} hosts, {slowness}: {part} stopped");
        }
    }
}

#[test]
fn good_version_is_not_stopped_whatever_its_load() {
    for hosts in FLEETS {
        for max_load in [4, 24, 36] {
            let version = SimulatedVersion {
                slowness: 1.0,
                slow_part: 0.0,
                max_load,
            };
            let part = stopped_part(hosts, version);
            let case = format!("{hosts} hosts, load {max_load}: {part} stopped");
            assert!(part <= ALLOWED_FALSE_ALARMS, "{case}");
        }
    }
}

#[test]
fn one_slow_server_of_several_stops_no_version() {
    let mut trial = VersionTrial::new(TrialSettings::default());
    for number in 0..32 {
        let server: Arc<str> = format!("s-{}", number % 4).into();
        trial.record_pace(&server, number % 4 == 0);
    }
    assert!(!trial.is_bad());
    let address = SocketAddr::from(([10, 0, 0, 1], 1));
    // A report that cannot be true counts for no more than its answers.
    let forged = PaceCounts {
        answers: 1,
        slow: u32::MAX,
    };
    trial.record_remote_paces(address, forged);
    assert!(!trial.is_bad());
}

#[test]
fn pace_of_a_stream_is_that_between_its_first_events() {
    let mut pace = StreamPace::default();
    let at = |events: u64| TimePoint::from_millis(5_000 + 40 * events);
    let measured: Vec<f64> = (1..=20)
        .filter_map(|events| pace.record(events, false, at(events)))
        .collect();
    assert_eq!(measured, [0.04]);
    let mut short = StreamPace::default();
    assert_eq!(short.record(1, false, at(1)), None);
    assert_eq!(short.record(2, false, at(2)), None);
    assert_eq!(
        short.record(2, true, at(2)),
        None,
        "two events have no pace"
    );
    assert_eq!(short.record(3, true, at(3)), Some(0.04));
}

// A good version was rolled back on a busy machine, where events of 2 ms are read some milliseconds late.
#[test]
fn differences_that_a_busy_host_makes_stop_no_version() {
    let settings = TrialSettings::default();
    let (kind, now) = (Arc::<str>::from("small"), TimePoint::from_millis(1_000));
    let mut baseline = PaceBaseline::new(settings.pace);
    let pace = |seconds| AnswerPace { seconds, load: 1 };
    for number in 0..BASELINE_ANSWERS {
        baseline.record(&kind, pace(0.002 + 0.00001 * number as f64), now);
    }
    assert_eq!(baseline.is_slow(&kind, pace(0.009)), Some(false));
    assert_eq!(baseline.is_slow(&kind, pace(0.014)), Some(true));
}
