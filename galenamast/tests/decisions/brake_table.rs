//! Brakes expire, are superseded by newer generations and never stop the last version of a
//! workspace.

use std::time::Duration;

use galenamast::coordination::{BRAKE_DURATION, BrakeChoice, BrakeNotice, BrakeTable, TestVerdict};
use galenamast::state::{ConfigGeneration, TimePoint};
use proptest::collection::vec;

use crate::fixture::{image, key, runner};

fn notice(generation: u64, seconds: u64) -> BrakeNotice {
    BrakeNotice {
        version: key("large"),
        generation: ConfigGeneration(generation),
        origin: "host-1".into(),
        verdict: TestVerdict::WorseRatings,
        time_left: Duration::from_secs(seconds),
    }
}

#[test]
fn order_and_repeats_of_notices_do_not_matter() {
    let strategy = vec((1..5_u64, 1..1_000_u64), 1..20);
    let property = |notices: Vec<(u64, u64)>| {
        let active_notices = |notices: &mut dyn Iterator<Item = &(u64, u64)>| {
            let mut table = BrakeTable::default();
            for (generation, seconds) in notices {
                table.apply(notice(*generation, *seconds), TimePoint::ZERO);
            }
            table.notes(TimePoint::ZERO)
        };
        let forwards = active_notices(&mut notices.iter());
        let backwards = active_notices(&mut notices.iter().rev().chain(notices.iter()));
        assert_eq!(forwards, backwards);
        Ok(())
    };
    runner()
        .run(&strategy, property)
        .expect("the property holds");
}

#[test]
fn a_newer_generation_releases_older_brakes_permanently() {
    let mut table = BrakeTable::default();
    table.apply(notice(1, 100), TimePoint::ZERO);
    table.supersede(&key("large"), ConfigGeneration(2));
    assert!(table.active(TimePoint::ZERO).is_empty());
    assert!(!table.apply(notice(1, 100), TimePoint::ZERO));
    assert!(table.apply(notice(2, 100), TimePoint::ZERO));
    assert!(table.active(TimePoint::ZERO + BRAKE_DURATION).is_empty());
}

#[test]
fn the_last_version_of_a_workspace_is_not_braked() {
    let mut table = BrakeTable::default();
    let image = image();
    let now = TimePoint::ZERO;
    assert_eq!(table.choose(&key("small"), &image, now), BrakeChoice::Brake);
    table.apply(notice(1, 100), now);
    assert_eq!(
        table.choose(&key("small"), &image, now),
        BrakeChoice::AlarmOnly
    );
    assert_eq!(table.choose(&key("next"), &image, now), BrakeChoice::Brake);
}
