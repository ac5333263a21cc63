//! Who asks which server, and that every host learns of it.

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

use crate::load_fleet::{LoadFleet, Seen, load};

#[test]
fn two_hosts_ask_each_server_and_all_learn_of_it() {
    let mut fleet = LoadFleet::new(20, 30, LoadSettings::default());
    fleet.busy = true;
    // What the start costs is left out.
    fleet.run(Duration::from_secs(4));
    let before = fleet.poll_count();
    fleet.run(Duration::from_secs(20));
    let polls = fleet.poll_count() - before;
    // Two hosts ask each of 30 servers twice a second; a tenth is left for missed messages.
    assert!(polls <= 2 * 30 * 40 * 11 / 10, "{polls} polls");
    let ages = fleet.ages();
    assert_eq!(ages.len(), 20 * 30, "every host knows every server");
    let greatest = ages[ages.len() - 1];
    assert!(greatest <= Duration::from_secs(5), "{greatest:?}");
    let server = fleet.servers.keys().next().expect("a server").clone();
    let versions = fleet.servers[&server].report.versions.clone();
    let told = |seen: &Seen| matches!(seen, Seen::Report(report, _) if report.versions == versions);
    assert!(fleet.share(&server, told) >= 1.0);
}

#[test]
fn without_sharing_hosts_ask_for_themselves() {
    let settings = LoadSettings {
        fanout: 0,
        ..Default::default()
    };
    let mut fleet = LoadFleet::new(20, 30, settings);
    fleet.run(Duration::from_secs(4));
    let before = fleet.poll_count();
    fleet.run(Duration::from_secs(20));
    let polls = fleet.poll_count() - before;
    // The bound that holds with sharing.
    assert!(polls > 2 * 30 * 40 * 11 / 10, "{polls} polls");
}

#[test]
fn leaving_spreads_before_the_next_round() {
    let mut fleet = LoadFleet::new(20, 5, LoadSettings::default());
    fleet.run(Duration::from_secs(4));
    let server = fleet.servers.keys().next().expect("a server").clone();
    let state = fleet.servers.get_mut(&server).expect("known");
    state.report.draining = true;
    fleet.run(Duration::from_millis(1_200));
    let leaving = |seen: &Seen| matches!(seen, Seen::Report(report, _) if report.draining);
    let share = fleet.share(&server, leaving);
    assert!(share >= 0.8, "{share} of the hosts know that it leaves");
    fleet.run(Duration::from_secs(4));
    assert!(fleet.share(&server, leaving) >= 1.0);
}

#[test]
fn a_death_is_known_everywhere() {
    let mut fleet = LoadFleet::new(20, 5, LoadSettings::default());
    fleet.run(Duration::from_secs(4));
    let server = fleet.servers.keys().next().expect("a server").clone();
    fleet.servers.get_mut(&server).expect("known").dead = true;
    fleet.run(Duration::from_secs(6));
    assert!(fleet.share(&server, |seen| *seen == Seen::Failed) >= 1.0);
}

#[test]
fn the_second_watcher_shares_when_the_first_is_silent() {
    let mut fleet = LoadFleet::new(20, 5, LoadSettings::default());
    fleet.run(Duration::from_secs(4));
    let server = fleet.servers.keys().next().expect("a server").clone();
    let any = fleet.boards.values().next().expect("a board");
    let watchers = any.watchers(&server);
    // The membership has not noticed yet that the host has stopped.
    fleet.stopped.insert(watchers[0].clone());
    fleet.servers.get_mut(&server).expect("known").report.load = load(9);
    let before: u64 = fleet.polls[&server].values().sum();
    fleet.run(Duration::from_secs(8));
    let heard = |seen: &Seen| matches!(seen, Seen::Report(report, _) if report.load == load(9));
    assert!(
        fleet.share(&server, heard) >= 0.95,
        "all but the stopped host"
    );
    let polls = fleet.polls[&server].values().sum::<u64>() - before;
    assert!(
        polls <= 16 + 19,
        "{polls}: few hosts had to ask for themselves"
    );
}

#[test]
fn a_host_that_hears_nobody_asks_for_itself() {
    let mut fleet = LoadFleet::new(20, 30, LoadSettings::default());
    fleet.run(Duration::from_secs(4));
    let deaf = fleet.boards.keys().next().expect("a host").clone();
    fleet.cut.insert(deaf.clone());
    for state in fleet.servers.values_mut() {
        state.report.load = load(7);
    }
    fleet.run(Duration::from_secs(8));
    let known = fleet.seen[&deaf].values();
    let fresh =
        known.filter(|seen| matches!(seen, Seen::Report(report, _) if report.load == load(7)));
    assert_eq!(fresh.count(), 30);
}

/// Creates a board that watches nothing and knows one server.
fn listener() -> (LoadTracker, ServerName) {
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
    let mut board = LoadTracker::new(own, "d".into(), LoadSettings::default(), 1);
    board.handle(members, TimePoint::ZERO);
    let target = WatchTarget {
        name: server.clone(),
        domain: "d".into(),
    };
    board.handle(LoadEvent::Servers(vec![target]), TimePoint::ZERO);
    (board, server)
}

/// Returns a measurement with versions.
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

/// Returns the loads that a board reports for measurements.
fn reported(board: &mut LoadTracker, entries: Vec<LoadEntry>, now: TimePoint) -> Vec<u32> {
    let actions = board.handle(LoadEvent::Received(entries), now);
    let loads = actions.iter().filter_map(|action| match action {
        LoadAction::Report(_, report, _) => Some(report.load.running),
        _ => None,
    });
    loads.collect()
}

#[test]
fn stale_and_repeated_measurements_are_not_taken_for_fresh() {
    let (mut board, server) = listener();
    let now = TimePoint::from_millis(60_000);
    let fresh = entry(&server, 2, 5, 100);
    assert_eq!(reported(&mut board, vec![fresh.clone()], now), [205]);
    assert!(
        reported(&mut board, vec![fresh], now).is_empty(),
        "repeated"
    );
    let older = entry(&server, 2, 4, 0);
    assert!(
        reported(&mut board, vec![older], now).is_empty(),
        "overtaken"
    );
    let earlier = entry(&server, 1, 90, 0);
    assert!(
        reported(&mut board, vec![earlier], now).is_empty(),
        "incarnation"
    );
    let aged = entry(&server, 2, 9, 5_001);
    assert!(reported(&mut board, vec![aged], now).is_empty(), "too old");
    let reborn = entry(&server, 3, 1, 0);
    assert_eq!(reported(&mut board, vec![reborn], now), [301]);
}

#[test]
fn any_order_and_repetition_ends_with_the_newest_measurement() {
    let seed = [23; 32];
    let generator = TestRng::from_seed(RngAlgorithm::ChaCha, &seed);
    let config = Config {
        failure_persistence: None,
        cases: 200,
        ..Default::default()
    };
    let mut runner = TestRunner::new_with_rng(config, generator);
    let news = prop::collection::vec((1..4_u64, 1..20_u64), 1..40);
    let result = runner.run(&news, |news| {
        let (mut board, server) = listener();
        let now = TimePoint::from_millis(60_000);
        let mut last = 0;
        for (incarnation, sequence) in &news {
            let told = vec![entry(&server, *incarnation, *sequence, 0)];
            for running in reported(&mut board, told, now) {
                prop_assert!(running > last, "never back");
                last = running;
            }
        }
        let newest = news.iter().max().expect("not empty");
        prop_assert_eq!(u64::from(last), newest.0 * 100 + newest.1);
        Ok(())
    });
    result.expect("the property holds");
}

#[test]
fn unknown_versions_are_asked_for_and_not_passed_on() {
    let (mut board, server) = listener();
    let mut told = entry(&server, 1, 1, 0);
    told.versions = None;
    let now = TimePoint::from_millis(1_000);
    let actions = board.handle(LoadEvent::Received(vec![told]), now);
    assert_eq!(actions, [LoadAction::Poll(server)]);
    assert!(board.handle(LoadEvent::Flush, now).is_empty());
}

#[test]
fn a_summary_names_the_servers_of_another_domain() {
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
    assert_eq!(summaries.len(), 2, "a large set goes out in parts");
    let (mut board, _) = listener();
    let now = TimePoint::from_millis(1_000);
    let contacts = LoadEvent::Members {
        hosts: ["a", "b", "c", "d"].map(HostName::new).into(),
        domains: ["far".into()].into(),
    };
    board.handle(contacts, now);
    let targets = table.servers().map(|server| WatchTarget {
        name: server.name.clone(),
        domain: "far".into(),
    });
    board.handle(LoadEvent::Servers(targets.collect()), now);
    let mut known = BTreeSet::new();
    for summary in summaries {
        for action in board.handle(LoadEvent::Summary(summary), now) {
            if let LoadAction::Report(name, report, _) = action {
                assert_eq!(report.load, load(4));
                assert_eq!(report.versions, [version.clone()].into());
                known.insert(name);
            }
        }
    }
    assert_eq!(known.len(), 129, "all but the one that leaves");
    let bound = LoadSettings::default().summary_bound;
    let later = now + bound;
    let polls = |actions: Vec<LoadAction>| {
        let asked = actions.iter();
        asked
            .filter(|action| matches!(action, LoadAction::Poll(_)))
            .count()
    };
    assert_eq!(polls(board.handle(LoadEvent::Tick, later)), 0);
    let cut_off = now + bound + Duration::from_secs(1);
    let asked = polls(board.handle(LoadEvent::Tick, cut_off));
    assert!(asked > 0, "a domain that went silent is asked from here");
}

#[test]
fn a_summary_from_before_a_failure_revives_no_server() {
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
    let heard = |age| DirectoryEvent::ReportShared("far-1".into(), LoadReport::default(), age);
    directory.handle(&heard(Duration::ZERO), at(1_000));
    let lifecycle =
        |directory: &ServerDirectory| directory.records().next().map(|record| record.lifecycle);
    assert_eq!(lifecycle(&directory), Some(ServerLifecycle::Live));
    directory.handle(&DirectoryEvent::ConnectFailed(name), at(2_000));
    directory.handle(&heard(Duration::from_millis(1_500)), at(2_500));
    assert_eq!(lifecycle(&directory), Some(ServerLifecycle::Suspect));
    directory.handle(&heard(Duration::from_millis(100)), at(2_600));
    assert_eq!(lifecycle(&directory), Some(ServerLifecycle::Live));
}
