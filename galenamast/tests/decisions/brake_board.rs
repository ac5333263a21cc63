//! Brakes expire, are superseded, and never take a workspace's last version.

use std::time::Duration;

use galenamast::coordination::{BRAKE_DURATION, BrakeChoice, BrakeNotice, BrakeTable, TestVerdict};
use galenamast::state::{ConfigGeneration, TimePoint};
use proptest::collection::vec;

use crate::fixture::{image, key, runner};

fn note(generation: u64, seconds: u64) -> BrakeNotice {
    BrakeNotice {
        version: key("large"),
        generation: ConfigGeneration(generation),
        origin: "host-1".into(),
        verdict: TestVerdict::WorseRatings,
        time_left: Duration::from_secs(seconds),
    }
}

#[test]
fn order_and_repeats_of_notes_do_not_matter() {
    let strategy = vec((1..5_u64, 1..1_000_u64), 1..20);
    let property = |notes: Vec<(u64, u64)>| {
        let board = |notes: &mut dyn Iterator<Item = &(u64, u64)>| {
            let mut board = BrakeTable::default();
            for (generation, seconds) in notes {
                board.apply(note(*generation, *seconds), TimePoint::ZERO);
            }
            board.notes(TimePoint::ZERO)
        };
        let forwards = board(&mut notes.iter());
        let backwards = board(&mut notes.iter().rev().chain(notes.iter()));
        assert_eq!(forwards, backwards);
        Ok(())
    };
    runner().run(&strategy, property).expect("it holds");
}

#[test]
fn a_newer_generation_releases_older_brakes_for_good() {
    let mut board = BrakeTable::default();
    board.apply(note(1, 100), TimePoint::ZERO);
    board.supersede(&key("large"), ConfigGeneration(2));
    assert!(board.active(TimePoint::ZERO).is_empty());
    assert!(!board.apply(note(1, 100), TimePoint::ZERO));
    assert!(board.apply(note(2, 100), TimePoint::ZERO));
    assert!(board.active(TimePoint::ZERO + BRAKE_DURATION).is_empty());
}

#[test]
fn the_last_version_of_a_workspace_is_not_braked() {
    let mut board = BrakeTable::default();
    let image = image();
    let now = TimePoint::ZERO;
    assert_eq!(board.choose(&key("small"), &image, now), BrakeChoice::Brake);
    board.apply(note(1, 100), now);
    assert_eq!(
        board.choose(&key("small"), &image, now),
        BrakeChoice::AlarmOnly
    );
    assert_eq!(board.choose(&key("next"), &image, now), BrakeChoice::Brake);
}
