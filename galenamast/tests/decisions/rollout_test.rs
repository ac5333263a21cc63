//! The sequential test detects each kind of regression and keeps its false alarm rate.

use std::time::Duration;

use galenamast::coordination::{Observation, TestArm, TestSettings, TestVerdict, VersionTest};
use galenamast::state::TimePoint;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Feeds both arms one answer per second for at most an hour; returns the verdict and the number
/// of answers before it.
fn run(
    settings: TestSettings,
    seed: u64,
    candidate: impl Fn(&mut ChaCha8Rng) -> Observation,
) -> (TestVerdict, u64) {
    let mut generator = ChaCha8Rng::seed_from_u64(seed);
    let mut test = VersionTest::new(settings, TimePoint::ZERO);
    for answer in 0..3_600 {
        let now = TimePoint::from_millis(answer * 1_000);
        test.observe(TestArm::Baseline, &healthy(&mut generator), now);
        let observation = candidate(&mut generator);
        let verdict = test.observe(TestArm::Candidate, &observation, now);
        if verdict != TestVerdict::Undecided {
            return (verdict, answer);
        }
    }
    (TestVerdict::Undecided, 3_600)
}

fn healthy(generator: &mut ChaCha8Rng) -> Observation {
    Observation {
        task: "advice".into(),
        rating: Some(generator.random_range(0.7..1.0)),
        failed: Some(generator.random_bool(0.01)),
        latency: Some(Duration::from_millis(generator.random_range(500..900))),
    }
}

#[test]
fn each_kind_of_regression_is_detected() {
    let worse = |generator: &mut ChaCha8Rng| Observation {
        rating: Some(generator.random_range(0.3..0.6)),
        ..healthy(generator)
    };
    let (verdict, answers) = run(TestSettings::default(), 1, worse);
    assert_eq!(verdict, TestVerdict::MoreLowRatings);
    assert!(answers < 100, "{answers}");

    let slightly_worse = |generator: &mut ChaCha8Rng| Observation {
        rating: Some(generator.random_range(0.62..0.92)),
        ..healthy(generator)
    };
    assert_ne!(
        run(TestSettings::default(), 2, slightly_worse).0,
        TestVerdict::Undecided
    );

    let failing = |generator: &mut ChaCha8Rng| Observation {
        failed: Some(generator.random_bool(0.4)),
        ..healthy(generator)
    };
    assert_eq!(
        run(TestSettings::default(), 3, failing).0,
        TestVerdict::MoreErrors
    );

    let slower = |generator: &mut ChaCha8Rng| Observation {
        latency: Some(Duration::from_millis(generator.random_range(1_000..4_000))),
        ..healthy(generator)
    };
    assert_eq!(
        run(TestSettings::default(), 4, slower).0,
        TestVerdict::Slower
    );
}

#[test]
fn equal_versions_are_braked_no_more_often_than_the_false_alarm_rate() {
    let settings = TestSettings {
        false_alarm_rate: 0.05,
        ..Default::default()
    };
    let runs = 200;
    let alarms = (0..runs)
        .filter(|seed| run(settings.clone(), *seed, healthy).0 != TestVerdict::Undecided)
        .count();
    assert!(alarms <= 10, "{alarms} of {runs}");
}

#[test]
fn a_version_that_degrades_is_detected_against_its_own_past() {
    let settings = TestSettings {
        against_past: true,
        tolerated_loss: 0.05,
        ..Default::default()
    };
    let mut generator = ChaCha8Rng::seed_from_u64(5);
    let mut test = VersionTest::new(settings, TimePoint::ZERO);
    let mut detected_at = None;
    for answer in 0..2_000 {
        let now = TimePoint::from_millis(answer * 1_000);
        let mut observation = healthy(&mut generator);
        if answer >= 1_000 {
            observation.rating = observation.rating.map(|rating| rating - 0.4);
        }
        if test.observe(TestArm::Candidate, &observation, now) != TestVerdict::Undecided {
            detected_at = Some(answer);
            break;
        }
    }
    assert!(
        detected_at.is_some_and(|answer| (1_000..1_100).contains(&answer)),
        "{detected_at:?}"
    );
}
