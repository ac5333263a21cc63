//! Two hosts poll each backend server, and every host learns the result.

use std::collections::BTreeSet;
use std::time::Duration;

use galenamast::coordination::{DirectoryEvent, HostList, HostListEntry, HostState};
use galenamast::coordination::{
    LoadAction, LoadEntry, LoadEvent, LoadReport, LoadSettings, LoadTracker, PolledState,
    ServerDirectory, ServerTag, WatchTarget, summarize_pools,
};
use galenamast::state::{
    HostName, ServerLifecycle, ServerName, ServerRecord, ServerTable, TimePoint, VersionKey,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

use crate::load_fleet::{LoadFleet, ServerView, load};

#[test]
fn two_hosts_poll_each_server_and_all_learn_the_result() {
    let mut fleet = LoadFleet::new(20, 30, LoadSettings::default());
    fleet.load_changes = true;
    // The polls at the start are not counted.
    fleet.run(Duration::from_secs(4));
    let before = fleet.poll_count();
    fleet.run(Duration::from_secs(20));
    let polls = fleet.poll_count() - before;
    // Two hosts poll each of 30 servers twice a second for 20 s. A tenth more is allowed for lost
    // messages.
    assert!(polls <= 2 * 30 * 40 * 11 / 10, "{polls} polls");
    let ages = fleet.ages();
    assert_eq!(ages.len(), 20 * 30, "every host knows every server");
    let greatest = ages[ages.len() - 1];
    assert!(greatest <= Duration::from_secs(5), "{greatest:?}");
    let server = fleet.servers.keys().next().expect("a server").clone();
    let versions = fleet.servers[&server].report.versions.clone();
    let has_versions = |view: &ServerView| {
        matches!(
            view,
            ServerView::Report(report, _) if report.versions == versions
        )
    };
    assert!(fleet.share_of_hosts(&server, has_versions) >= 1.0);
}

#[test]
fn without_sharing_every_host_polls_for_itself() {
    let settings = LoadSettings {
        fanout: 0,
        ..Default::default()
    };
    let mut fleet = LoadFleet::new(20, 30, settings);
    fleet.run(Duration::from_secs(4));
    let before = fleet.poll_count();
    fleet.run(Duration::from_secs(20));
    let polls = fleet.poll_count() - before;
    // With sharing, the number of polls stays within this bound.
    assert!(polls > 2 * 30 * 40 * 11 / 10, "{polls} polls");
}

#[test]
fn draining_is_shared_before_the_next_poll_round() {
    let mut fleet = LoadFleet::new(20, 5, LoadSettings::default());
    fleet.run(Duration::from_secs(4));
    let server = fleet.servers.keys().next().expect("a server").clone();
    let state = fleet.servers.get_mut(&server).expect("known");
    state.report.draining = true;
    fleet.run(Duration::from_millis(1_200));
    let is_draining =
        |view: &ServerView| matches!(view, ServerView::Report(report, _) if report.draining);
    let share = fleet.share_of_hosts(&server, is_draining);
    assert!(
        share >= 0.8,
        "{share} of the hosts know that the server is draining"
    );
    fleet.run(Duration::from_secs(4));
    assert!(fleet.share_of_hosts(&server, is_draining) >= 1.0);
}

#[test]
fn every_host_learns_of_a_failed_server() {
    let mut fleet = LoadFleet::new(20, 5, LoadSettings::default());
    fleet.run(Duration::from_secs(4));
    let server = fleet.servers.keys().next().expect("a server").clone();
    fleet.servers.get_mut(&server).expect("known").dead = true;
    fleet.run(Duration::from_secs(6));
    assert!(fleet.share_of_hosts(&server, |view| *view == ServerView::Failed) >= 1.0);
}

#[test]
fn the_second_watcher_shares_reports_when_the_first_has_stopped() {
    let mut fleet = LoadFleet::new(20, 5, LoadSettings::default());
    fleet.run(Duration::from_secs(4));
    let server = fleet.servers.keys().next().expect("a server").clone();
    let any = fleet.trackers.values().next().expect("a tracker");
    let watchers = any.watchers(&server);
    // The membership has not detected yet that the host has stopped.
    fleet.stopped.insert(watchers[0].clone());
    fleet.servers.get_mut(&server).expect("known").report.load = load(9);
    let before: u64 = fleet.polls[&server].values().sum();
    fleet.run(Duration::from_secs(8));
    let has_new_load =
        |view: &ServerView| matches!(view, ServerView::Report(report, _) if report.load == load(9));
    assert!(
        fleet.share_of_hosts(&server, has_new_load) >= 0.95,
        "all but the stopped host know the new load"
    );
    let polls = fleet.polls[&server].values().sum::<u64>() - before;
    assert!(
        polls <= 16 + 19,
        "{polls} polls: too many hosts polled the server themselves"
    );
}

#[test]
fn an_isolated_host_polls_the_servers_itself() {
    let mut fleet = LoadFleet::new(20, 30, LoadSettings::default());
    fleet.run(Duration::from_secs(4));
    let isolated_host = fleet.trackers.keys().next().expect("a host").clone();
    fleet.isolated.insert(isolated_host.clone());
    for state in fleet.servers.values_mut() {
        state.report.load = load(7);
    }
    fleet.run(Duration::from_secs(8));
    let known = fleet.views[&isolated_host].values();
    let fresh = known
        .filter(|view| matches!(view, ServerView::Report(report, _) if report.load == load(7)));
    assert_eq!(fresh.count(), 30);
}

/// Creates a tracker that knows one server and does not watch it.
fn tracker_without_watch() -> (LoadTracker, ServerName) {
    let server = ServerName::new("runner");
    let hosts: BTreeSet<HostName> = ["a", "b", "c", "d"].map(HostName::new).into();
    let probe = LoadTracker::new("a".into(), "d".into(), LoadSettings::default(), 1);
    let mut probe = probe;
    let members = LoadEvent::Members {
        hosts: hosts.clone(),
        domains: BTreeSet::new(),
    };
    probe.handle(members.clone(), TimePoint::ZERO);
    let watchers = probe.watchers(&server);
    let own = hosts.iter().find(|host| !watchers.contains(host));
    let own = own.expect("four hosts, two watchers").clone();
    let mut tracker = LoadTracker::new(own, "d".into(), LoadSettings::default(), 1);
    tracker.handle(members, TimePoint::ZERO);
    let target = WatchTarget {
        name: server.clone(),
        domain: "d".into(),
    };
    tracker.handle(LoadEvent::Servers(vec![target]), TimePoint::ZERO);
    (tracker, server)
}

/// Returns a measurement with versions; its load encodes the incarnation and the sequence number.
fn entry(server: &ServerName, incarnation: u64, sequence: u64, age_ms: u32) -> LoadEntry {
    let versions = BTreeSet::from([VersionKey::new("advice", "small")]);
    LoadEntry {
        tag: ServerTag::of_name(server),
        incarnation,
        sequence,
        age_ms,
        polled_state: PolledState::Serving,
        load: load(u32::try_from(incarnation * 100 + sequence).expect("small")),
        versions_digest: galenamast::coordination::digest_versions(&versions),
        versions: Some(versions),
    }
}

/// Delivers measurements to a tracker and returns the loads that it reports for them.
fn reported(tracker: &mut LoadTracker, entries: Vec<LoadEntry>, now: TimePoint) -> Vec<u32> {
    let actions = tracker.handle(LoadEvent::Received(entries), now);
    let loads = actions.iter().filter_map(|action| match action {
        LoadAction::Report(_, report, _) => Some(report.load.running),
        _ => None,
    });
    loads.collect()
}

#[test]
fn stale_and_repeated_measurements_are_ignored() {
    let (mut tracker, server) = tracker_without_watch();
    let now = TimePoint::from_millis(60_000);
    let fresh = entry(&server, 2, 5, 100);
    assert_eq!(reported(&mut tracker, vec![fresh.clone()], now), [205]);
    assert!(
        reported(&mut tracker, vec![fresh], now).is_empty(),
        "repeated"
    );
    let older = entry(&server, 2, 4, 0);
    assert!(
        reported(&mut tracker, vec![older], now).is_empty(),
        "older sequence number"
    );
    let earlier = entry(&server, 1, 90, 0);
    assert!(
        reported(&mut tracker, vec![earlier], now).is_empty(),
        "older incarnation"
    );
    let aged = entry(&server, 2, 9, 5_001);
    assert!(
        reported(&mut tracker, vec![aged], now).is_empty(),
        "too old"
    );
    let restarted = entry(&server, 3, 1, 0);
    assert_eq!(reported(&mut tracker, vec![restarted], now), [301]);
}

#[test]
fn the_newest_measurement_wins_in_any_order() {
    let seed = [23; 32];
    let generator = TestRng::from_seed(RngAlgorithm::ChaCha, &seed);
    let config = Config {
        failure_persistence: None,
        cases: 200,
        ..Default::default()
    };
    let mut runner = TestRunner::new_with_rng(config, generator);
    let measurements = prop::collection::vec((1..4_u64, 1..20_u64), 1..40);
    let result = runner.run(&measurements, |measurements| {
        let (mut tracker, server) = tracker_without_watch();
        let now = TimePoint::from_millis(60_000);
        let mut last = 0;
        for (incarnation, sequence) in &measurements {
            let received = vec![entry(&server, *incarnation, *sequence, 0)];
            for running in reported(&mut tracker, received, now) {
                prop_assert!(running > last, "an older measurement replaced a newer one");
                last = running;
            }
        }
        let newest = measurements.iter().max().expect("not empty");
        prop_assert_eq!(u64::from(last), newest.0 * 100 + newest.1);
        Ok(())
    });
    result.expect("the property holds");
}

#[test]
fn a_measurement_with_unknown_versions_causes_a_poll_and_is_not_forwarded() {
    let (mut tracker, server) = tracker_without_watch();
    let mut measurement = entry(&server, 1, 1, 0);
    measurement.versions = None;
    let now = TimePoint::from_millis(1_000);
    let actions = tracker.handle(LoadEvent::Received(vec![measurement]), now);
    assert_eq!(actions, [LoadAction::Poll(server)]);
    assert!(tracker.handle(LoadEvent::Flush, now).is_empty());
}

#[test]
fn summaries_report_the_live_servers_of_another_domain() {
    let mut table = ServerTable::default();
    let version = VersionKey::new("advice", "small");
    for index in 0..130 {
        table.insert(ServerRecord {
            name: ServerName::new(&format!("far-{index:03}")),
            pool: "advice".into(),
            domain: "far".into(),
            versions: [version.clone()].into(),
            load: load(4),
            lifecycle: if index == 0 {
                ServerLifecycle::Draining
            } else {
                ServerLifecycle::Live
            },
            ..Default::default()
        });
    }
    let summaries = summarize_pools(&table, &"far".into());
    assert_eq!(summaries.len(), 2, "a large pool is summarized in parts");
    let (mut tracker, _) = tracker_without_watch();
    let now = TimePoint::from_millis(1_000);
    let contacts = LoadEvent::Members {
        hosts: ["a", "b", "c", "d"].map(HostName::new).into(),
        domains: ["far".into()].into(),
    };
    tracker.handle(contacts, now);
    let targets = table.servers().map(|server| WatchTarget {
        name: server.name.clone(),
        domain: "far".into(),
    });
    tracker.handle(LoadEvent::Servers(targets.collect()), now);
    let mut known = BTreeSet::new();
    for summary in summaries {
        for action in tracker.handle(LoadEvent::Summary(summary), now) {
            if let LoadAction::Report(name, report, _) = action {
                assert_eq!(report.load, load(4));
                assert_eq!(report.versions, [version.clone()].into());
                known.insert(name);
            }
        }
    }
    assert_eq!(known.len(), 129, "all but the draining server");
    let bound = LoadSettings::default().summary_bound;
    let later = now + bound;
    let polls = |actions: Vec<LoadAction>| {
        let actions = actions.iter();
        actions
            .filter(|action| matches!(action, LoadAction::Poll(_)))
            .count()
    };
    assert_eq!(polls(tracker.handle(LoadEvent::Tick, later)), 0);
    let cut_off = now + bound + Duration::from_secs(1);
    let poll_count = polls(tracker.handle(LoadEvent::Tick, cut_off));
    assert!(
        poll_count > 0,
        "the servers of a silent domain are polled directly"
    );
}

#[test]
fn a_summary_older_than_a_failure_does_not_revive_the_server() {
    let mut directory = ServerDirectory::default();
    let entry = HostListEntry {
        name: "far-1".into(),
        address: "127.0.0.1:1".into(),
        domain: "far".into(),
        pool: "advice".into(),
        incarnation: 1,
        state: HostState::Live,
    };
    let list = HostList { hosts: vec![entry] };
    let at = TimePoint::from_millis;
    let name = ServerName::new("far-1");
    directory.handle(&DirectoryEvent::ListRead(list), at(0));
    let shared_report =
        |age| DirectoryEvent::ReportShared("far-1".into(), LoadReport::default(), age);
    directory.handle(&shared_report(Duration::ZERO), at(1_000));
    let lifecycle =
        |directory: &ServerDirectory| directory.records().next().map(|record| record.lifecycle);
    assert_eq!(lifecycle(&directory), Some(ServerLifecycle::Live));
    directory.handle(&DirectoryEvent::ConnectFailed(name), at(2_000));
    directory.handle(&shared_report(Duration::from_millis(1_500)), at(2_500));
    assert_eq!(lifecycle(&directory), Some(ServerLifecycle::Suspect));
    directory.handle(&shared_report(Duration::from_millis(100)), at(2_600));
    assert_eq!(lifecycle(&directory), Some(ServerLifecycle::Live));
}
