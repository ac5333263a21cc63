//! Sessions that continue across the order of a roll-out, at several hosts.

use std::sync::Arc;
use std::time::Duration;

use galenamast::state::TimePoint;
use galenamast_gateway::coordination::rollouts::{
    RolloutSettings, RolloutTracker, VersionRule, version_groups,
};
use galenamast_gateway::state::{
    AnswerGrade, RolloutOrder, RolloutState, ServerEntry, StorePosition,
};
use proptest::prelude::*;

/// Returns an order in the given state.
fn order(state: RolloutState, share: u32, revision: u64) -> RolloutOrder {
    RolloutOrder {
        name: "engines".into(),
        revision: StorePosition { era: 1, revision },
        service: "engines".into(),
        target: "v2".into(),
        duration: Duration::from_secs(24),
        state,
        share,
        began_ms: 0,
    }
}

/// Returns a session within the share of the trial.
fn session_in_trial_share() -> u64 {
    5_000_010
}

/// Guards against a session being split: the host that had served it kept it on the old version,
/// while another host assigned it to the version on trial.
#[test]
fn existing_session_stays_on_its_version_at_all_hosts() {
    let settings = RolloutSettings::default();
    let (mut first, mut second) = (RolloutTracker::new(settings), RolloutTracker::new(settings));
    let old: Arc<str> = "v1".into();
    let now = TimePoint::from_millis(1_000);
    first.record_session("engines", session_in_trial_share(), &old, now);
    for tracker in [&mut first, &mut second] {
        tracker.apply_order(order(RolloutState::Ordered, 0, 1), now);
    }
    let held = first.held_sessions("engines", now);
    assert_eq!(held, vec![session_in_trial_share()]);
    second.record_held_sessions(&held, now);
    for tracker in [&mut first, &mut second] {
        tracker.apply_order(order(RolloutState::Running, 70, 2), now);
        let rule = tracker.rule("engines", session_in_trial_share(), now, 0);
        assert_eq!(rule, VersionRule::Avoid("v2".into()));
    }
    // A new session with the same position is assigned to the trial.
    let rule = second.rule("engines", session_in_trial_share() + 1_000, now, 0);
    assert_eq!(rule, VersionRule::Prefer("v2".into()));
}

#[test]
fn session_in_the_trial_share_stays_on_the_new_version() {
    let mut tracker = RolloutTracker::new(RolloutSettings::default());
    let now = TimePoint::from_millis(1_000);
    tracker.apply_order(order(RolloutState::Ordered, 0, 1), now);
    for (revision, share) in [(2, 70), (3, 350), (4, 1_000)] {
        tracker.apply_order(order(RolloutState::Running, share, revision), now);
        let rule = tracker.rule("engines", session_in_trial_share(), now, 0);
        assert_eq!(rule, VersionRule::Prefer("v2".into()), "share {share}");
    }
}

#[test]
fn older_revision_is_ignored() {
    let mut tracker = RolloutTracker::new(RolloutSettings::default());
    let now = TimePoint::from_millis(1_000);
    tracker.apply_order(order(RolloutState::RolledBack, 0, 9), now);
    assert!(!tracker.apply_order(order(RolloutState::Running, 1_000, 8), now));
    let rule = tracker.rule("engines", session_in_trial_share(), now, 0);
    assert_eq!(rule, VersionRule::Never("v2".into()));
}

#[test]
fn roll_out_steps_ignore_wall_clock_jumps() {
    let mut tracker = RolloutTracker::new(RolloutSettings::default());
    let start = TimePoint::from_millis(1_000);
    tracker.apply_order(order(RolloutState::Ordered, 0, 1), start);
    tracker.apply_order(
        RolloutOrder {
            began_ms: 1_000_000,
            ..order(RolloutState::Running, 70, 2)
        },
        start,
    );
    let soon = start + Duration::from_secs(2);
    assert!(
        tracker.due_reports(1, soon, 1_000_000 + 20_000).is_empty(),
        "the clock jumped forward"
    );
    let half = start + Duration::from_secs(13);
    assert_eq!(
        tracker.due_reports(1, half, 900_000).len(),
        1,
        "the clock jumped back"
    );
}

/// Returns an order as an older copy of the store holds it.
fn restored_order(state: RolloutState, share: u32) -> RolloutOrder {
    let revision = StorePosition {
        era: 2,
        revision: 1,
    };
    RolloutOrder {
        revision,
        ..order(state, share, 0)
    }
}

// A version that was rolled back or done was on trial again after the store lost the report.
#[test]
fn progress_that_the_store_lost_stays_in_force_and_is_reported_again() {
    let now = TimePoint::from_millis(1_000);
    let reached = [
        (RolloutState::Running, 350),
        (RolloutState::Done, 1_000),
        (RolloutState::RolledBack, 0),
    ];
    for (state, share) in reached {
        for lost in [RolloutState::Ordered, RolloutState::Running] {
            let mut tracker = RolloutTracker::new(RolloutSettings::default());
            tracker.apply_order(order(state, share, 9), now);
            let rule = tracker.rule("engines", session_in_trial_share(), now, 0);
            tracker.apply_order(restored_order(lost, 70), now);
            assert_eq!(
                tracker.rule("engines", session_in_trial_share(), now, 0),
                rule
            );
            let due = tracker.due_reports(2, now, 0);
            assert_eq!(due.len(), 1, "{state:?}, {lost:?}");
            assert_eq!((due[0].1.state, due[0].1.share), (state, share));
            assert_eq!(due[0].0.revision.era, 2);
            let stored = RolloutOrder {
                revision: StorePosition {
                    era: 2,
                    revision: 2,
                },
                ..order(state, share, 0)
            };
            tracker.apply_order(stored, now);
            assert!(tracker.due_reports(2, now, 0).is_empty(), "{state:?}");
        }
    }
}

// A report could have been written over another change that had been given the same revision.
#[test]
fn nothing_is_reported_on_an_order_of_an_earlier_era() {
    let mut tracker = RolloutTracker::new(RolloutSettings::default());
    let now = TimePoint::from_millis(1_000);
    tracker.apply_order(order(RolloutState::Ordered, 0, 9), now);
    assert_eq!(tracker.due_reports(1, now, 0).len(), 1);
    assert!(tracker.due_reports(2, now, 0).is_empty());
}

/// Returns a server of a version.
fn server(version: &str) -> ServerEntry {
    ServerEntry {
        id: format!("i-{version}").into(),
        service: "engines".into(),
        address: ([127, 0, 0, 1], 9_000).into(),
        domain: "north".into(),
        version: version.into(),
        slots: 6,
        draining: false,
        started_ms: None,
        cold_for: Duration::ZERO,
    }
}

/// Records answers of two servers of the new version that stop it.
fn stop_version(tracker: &mut RolloutTracker) {
    let (service, route, version) = ("engines".into(), "advice".into(), "v2".into());
    for number in 0..8 {
        let server = format!("i-{}", number % 2).into();
        tracker.record_answer(&service, &route, (&server, &version), AnswerGrade::Failed);
    }
}

/// Returns the number of servers that may serve a session once only the new version has any.
fn usable_servers(tracker: &RolloutTracker, now: TimePoint) -> usize {
    let rule = tracker.rule("engines", session_in_trial_share(), now, 0);
    let entry = server("v2");
    let groups = version_groups(&[&entry], &rule, None);
    groups.iter().map(Vec::len).sum()
}

// A host that had stopped the version refused every request of the service once the old servers were gone.
#[test]
fn host_that_stopped_a_version_uses_it_once_it_is_reported_as_done() {
    let mut tracker = RolloutTracker::new(RolloutSettings::default());
    let now = TimePoint::from_millis(1_000);
    tracker.apply_order(order(RolloutState::Running, 1_000, 2), now);
    stop_version(&mut tracker);
    assert!(tracker.is_stopped("engines"));
    assert_eq!(usable_servers(&tracker, now), 0, "it is not done yet");
    tracker.apply_order(order(RolloutState::Done, 1_000, 3), now);
    assert_eq!(usable_servers(&tracker, now), 1);
}

// All hosts that knew of the end had stopped the version, so that none reported it again.
#[test]
fn host_that_stopped_a_version_reports_its_end_again_when_the_store_has_lost_it() {
    let mut tracker = RolloutTracker::new(RolloutSettings::default());
    let now = TimePoint::from_millis(1_000);
    tracker.apply_order(order(RolloutState::Running, 1_000, 2), now);
    stop_version(&mut tracker);
    tracker.apply_order(order(RolloutState::Done, 1_000, 3), now);
    tracker.apply_order(restored_order(RolloutState::Running, 1_000), now);
    let due = tracker.due_reports(2, now, 0);
    let states: Vec<_> = due.iter().map(|(_, report)| report.state).collect();
    assert_eq!(states, [RolloutState::Done]);
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: prop::test_runner::RngSeed::Fixed(17), ..ProptestConfig::default() })]

    /// Whatever a host has seen of a version, the recorded end of the roll-out decides.
    #[test]
    fn recorded_end_of_a_roll_out_overrides_evidence(
        steps in prop::collection::vec(0_u8..4, 0..12),
        is_done in any::<bool>(),
    ) {
        let mut tracker = RolloutTracker::new(RolloutSettings::default());
        let now = TimePoint::from_millis(1_000);
        let mut revision = 1;
        for step in steps {
            revision += 1;
            match step {
                0 => { tracker.apply_order(order(RolloutState::Ordered, 0, revision), now); }
                1 => { tracker.apply_order(order(RolloutState::Running, 70, revision), now); }
                2 => { tracker.apply_order(order(RolloutState::Running, 1_000, revision), now); }
                _ => stop_version(&mut tracker),
            }
        }
        let end = if is_done { RolloutState::Done } else { RolloutState::RolledBack };
        tracker.apply_order(order(end, 0, revision + 1), now);
        stop_version(&mut tracker);
        prop_assert_eq!(usable_servers(&tracker, now), usize::from(is_done));
        prop_assert!(tracker.due_reports(1, now, 0).is_empty());
    }
}
