//! Leases under pauses, clock drift, lost answers and races.

use std::time::Duration;

use galenamast::coordination::{
    LeaseAction, LeaseDocument, LeaseEvent, LeaseMachine, LeaseOwner, LeaseRecord, LeaseSettings,
    LeaseStatus, ObjectVersion, WriteCondition, WriteOutcome,
};
use galenamast::state::{LeaseName, TimePoint};
use galenamast::transport::{LeaseRunner, TimerService};
use galenamast_fakes::FakeObjects;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

use crate::lease_net::{LeaseFaults, LeaseNet};
use crate::support::client_at;

/// All faults at once.
const ALL_FAULTS: LeaseFaults = LeaseFaults {
    lost_calls: 0.1,
    lost_answers: 0.1,
    late_writes: 0.05,
    pauses: 0.05,
    drift: 0.06,
    releases: 0.01,
};

/// Simulates four contending hosts for an hour with each of 60 seeds under all faults, and returns
/// how often more than one held the lease.
fn count_overlaps(settings: LeaseSettings) -> u64 {
    let mut overlaps = 0;
    for seed in 0..60 {
        let mut net = LeaseNet::start(4, settings, ALL_FAULTS, seed);
        net.run(Duration::from_secs(3_600));
        assert!(net.terms.is_sorted(), "seed {seed}: {:?}", net.terms);
        overlaps += net.overlaps;
    }
    overlaps
}

#[test]
fn no_two_hosts_hold_the_lease_at_once_under_all_faults() {
    assert_eq!(count_overlaps(LeaseSettings::default()), 0);
}

#[test]
fn without_the_margin_two_hosts_can_hold_the_lease_at_once() {
    let settings = LeaseSettings {
        margin: Duration::ZERO,
        ..Default::default()
    };
    let found = count_overlaps(settings);
    assert!(found > 0, "the simulation detects a missing margin");
}

#[test]
fn one_holder_remains_after_arbitrary_bounded_faults_end() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[12; 32]);
    let config = Config {
        cases: 64,
        failure_persistence: None,
        ..Config::default()
    };
    let mut runner = TestRunner::new_with_rng(config, rng);
    let probability_ranges = (0.0..0.4, 0.0..0.4, 0.0..0.2, 0.0..0.2, 0.0..0.06, 0.0..0.05);
    let strategy = (probability_ranges, 2_usize..6, any::<u64>());
    runner
        .run(&strategy, |(probabilities, hosts, seed)| {
            let (lost_calls, lost_answers, late_writes, pauses, drift, releases) = probabilities;
            let faults = LeaseFaults {
                lost_calls,
                lost_answers,
                late_writes,
                pauses,
                drift,
                releases,
            };
            let mut net = LeaseNet::start(hosts, LeaseSettings::default(), faults, seed);
            net.run(Duration::from_secs(600));
            net.faults = LeaseFaults::default();
            net.run(Duration::from_secs(180));
            prop_assert_eq!(net.overlaps, 0);
            prop_assert!(net.terms.is_sorted(), "{:?}", &net.terms);
            prop_assert_eq!(net.holders().len(), 1);
            Ok(())
        })
        .expect("at most one holder during the faults and exactly one after them");
}

#[test]
fn a_paused_holder_loses_the_lease_by_its_own_clock_and_is_replaced() {
    let settings = LeaseSettings::default();
    let mut net = LeaseNet::start(3, settings, LeaseFaults::default(), 1);
    net.run(Duration::from_secs(5));
    let holder = net.holders()[0];
    let term = net.terms[0];
    net.pause(holder, Duration::from_secs(60));
    net.run(Duration::from_secs(40));
    let holders = net.holders();
    assert_eq!(holders.len(), 1);
    assert_ne!(
        holders[0], holder,
        "another host took the lease during the pause"
    );
    net.run(Duration::from_secs(60));
    assert_eq!(
        net.holders(),
        holders,
        "the paused host does not take the lease back"
    );
    assert!(*net.terms.last().expect("the lease was held") > term);
    assert_eq!(net.overlaps, 0);
}

#[test]
fn a_released_lease_is_taken_even_if_the_answer_to_the_release_is_lost() {
    for seed in 0..20 {
        let faults = LeaseFaults {
            lost_answers: 0.5,
            ..Default::default()
        };
        let mut net = LeaseNet::start(2, LeaseSettings::default(), faults, seed);
        net.run(Duration::from_secs(120));
        let Some(holder) = net.holders().first().copied() else {
            continue;
        };
        net.release(holder);
        net.faults = LeaseFaults::default();
        net.run(Duration::from_secs(30));
        assert_eq!(net.holders().len(), 1, "seed {seed}");
        assert_eq!(net.overlaps, 0, "seed {seed}");
    }
}

#[test]
fn a_lease_runs_from_the_time_its_write_was_sent() {
    let settings = LeaseSettings::default();
    let owner = LeaseOwner {
        host: "a".into(),
        incarnation: 1,
    };
    let mut machine = LeaseMachine::new(owner, settings, 1);
    let sent = TimePoint::from_millis(10_000);
    let answered = TimePoint::from_millis(14_000);
    let action = machine.handle(&LeaseEvent::Read(None), sent);
    assert!(matches!(
        action,
        LeaseAction::Write(WriteCondition::Absent, _)
    ));
    let applied = WriteOutcome::Applied(ObjectVersion(1));
    machine.handle(&LeaseEvent::Written(applied, sent), answered);
    let until = sent + settings.duration - settings.margin;
    assert_eq!(machine.status(), LeaseStatus::Held { term: 1, until });
}

#[test]
fn a_contender_waits_the_duration_and_margin_on_its_own_clock() {
    let settings = LeaseSettings::default();
    let owner = |host: &str| LeaseOwner {
        host: host.into(),
        incarnation: 1,
    };
    let mut machine = LeaseMachine::new(owner("b"), settings, 1);
    let record = LeaseRecord {
        version: ObjectVersion(4),
        document: LeaseDocument {
            owner: owner("a"),
            term: 9,
            duration: settings.duration,
            released: false,
            write: 1,
        },
    };
    let seen = TimePoint::from_millis(5_000);
    let mut now = seen;
    let mut action = machine.handle(&LeaseEvent::Read(Some(record.clone())), now);
    while let LeaseAction::Wait(until) = action {
        now = until;
        assert_eq!(machine.handle(&LeaseEvent::Due, now), LeaseAction::Read);
        action = machine.handle(&LeaseEvent::Read(Some(record.clone())), now);
    }
    assert_eq!(now, seen + settings.duration + settings.margin);
    let LeaseAction::Write(WriteCondition::At(ObjectVersion(4)), document) = action else {
        panic!("{action:?}");
    };
    assert_eq!(document.term, 10, "the fencing number grows");
}

#[tokio::test]
async fn a_stopped_host_hands_its_lease_over_through_the_platform() {
    let objects = FakeObjects::start().await;
    let runner = |host: &str| {
        let client = client_at(objects.address());
        let settings = LeaseSettings {
            duration: Duration::from_secs(60),
            margin: Duration::from_secs(1),
        };
        LeaseRunner::new(&client, TimerService::system(), &host.into(), settings)
    };
    let name = LeaseName::new("rollout.fit");
    let (first, second) = (runner("a"), runner("b"));
    let is_held = |status: &LeaseStatus| matches!(status, LeaseStatus::Held { .. });
    let mut held = first.contend(&name);
    let wait = held.wait_for(is_held);
    let status = tokio::time::timeout(Duration::from_secs(30), wait).await;
    let status = *status
        .expect("in time")
        .expect("the runner is still running");
    assert!(matches!(status, LeaseStatus::Held { term: 1, .. }));
    objects.faults().set(|faults| faults.lose_answers = 1);
    first.stop().await;
    assert_eq!(*held.borrow(), LeaseStatus::Free);
    let mut held = second.contend(&name);
    let wait = held.wait_for(is_held);
    let status = tokio::time::timeout(Duration::from_secs(30), wait).await;
    let status = *status
        .expect("in time")
        .expect("the runner is still running");
    assert!(matches!(status, LeaseStatus::Held { term: 2, .. }));
    second.stop().await;
}
