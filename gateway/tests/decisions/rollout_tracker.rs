//! Load pattern: sessions that go on through the order of a roll-out, at several hosts.

use std::sync::Arc;
use std::time::Duration;

use galenamast::state::TimePoint;
use galenamast_gateway::coordination::rollouts::{RolloutSettings, RolloutTracker, VersionRule};
use galenamast_gateway::state::{RolloutOrder, RolloutState};

/// Returns an order in a state.
fn order(state: RolloutState, share: u32, revision: u64) -> RolloutOrder {
    RolloutOrder {
        name: "engines".into(),
        revision,
        service: "engines".into(),
        target: "v2".into(),
        duration: Duration::from_secs(24),
        state,
        share,
        began_ms: 0,
    }
}

/// Returns a session that the trial would take.
fn taken_session() -> u64 {
    5_000_010
}

/// A host that had served the session before kept it, while another host gave it to the trial.
#[test]
fn a_session_that_was_there_before_stays_at_all_hosts() {
    let settings = RolloutSettings::default();
    let (mut first, mut second) = (RolloutTracker::new(settings), RolloutTracker::new(settings));
    let old: Arc<str> = "v1".into();
    let now = TimePoint::from_millis(1_000);
    first.record_session("engines", taken_session(), &old, now);
    for board in [&mut first, &mut second] {
        board.apply_order(order(RolloutState::Ordered, 0, 1), now);
    }
    let held = first.held_sessions("engines", now);
    assert_eq!(held, vec![taken_session()]);
    second.record_held_sessions(&held, now);
    for board in [&mut first, &mut second] {
        board.apply_order(order(RolloutState::Running, 70, 2), now);
        let rule = board.rule("engines", taken_session(), now, 0);
        assert_eq!(rule, VersionRule::Avoid("v2".into()));
    }
    // A new session of the same place is taken.
    let rule = second.rule("engines", taken_session() + 1_000, now, 0);
    assert_eq!(rule, VersionRule::Prefer("v2".into()));
}

#[test]
fn a_session_of_the_new_version_never_goes_back_while_it_is_good() {
    let mut board = RolloutTracker::new(RolloutSettings::default());
    let now = TimePoint::from_millis(1_000);
    board.apply_order(order(RolloutState::Ordered, 0, 1), now);
    for (revision, share) in [(2, 70), (3, 350), (4, 1_000)] {
        board.apply_order(order(RolloutState::Running, share, revision), now);
        let rule = board.rule("engines", taken_session(), now, 0);
        assert_eq!(rule, VersionRule::Prefer("v2".into()), "share {share}");
    }
}

#[test]
fn an_older_word_changes_nothing() {
    let mut board = RolloutTracker::new(RolloutSettings::default());
    let now = TimePoint::from_millis(1_000);
    board.apply_order(order(RolloutState::RolledBack, 0, 9), now);
    assert!(!board.apply_order(order(RolloutState::Running, 1_000, 8), now));
    let rule = board.rule("engines", taken_session(), now, 0);
    assert_eq!(rule, VersionRule::Never("v2".into()));
}

#[test]
fn steps_follow_the_steady_clock_when_the_time_of_day_jumps() {
    let mut board = RolloutTracker::new(RolloutSettings::default());
    let start = TimePoint::from_millis(1_000);
    board.apply_order(order(RolloutState::Ordered, 0, 1), start);
    board.apply_order(
        RolloutOrder {
            began_ms: 1_000_000,
            ..order(RolloutState::Running, 70, 2)
        },
        start,
    );
    let soon = start + Duration::from_secs(2);
    assert!(
        board.due_reports(soon, 1_000_000 + 20_000).is_empty(),
        "the clock jumped forward"
    );
    let half = start + Duration::from_secs(13);
    assert_eq!(
        board.due_reports(half, 900_000).len(),
        1,
        "the clock jumped back"
    );
}
