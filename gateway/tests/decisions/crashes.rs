//! Requests that crash every server that runs them and are sent again through any host.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use galenamast::state::TimePoint;
use galenamast_gateway::coordination::crashes::{
    CrashQuarantine, CrashRefusal, CrashSettings, pick_probe_targets,
};
use galenamast_gateway::protocol::PeerMessage;
use galenamast_gateway::state::{
    CrashReport, CrashSuspect, RequestReport, ServerCrash, ServerEntry,
};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Returns a server of a failure domain.
fn server(id: &str, domain: &str) -> ServerEntry {
    ServerEntry {
        id: id.into(),
        service: "desk".into(),
        address: ([127, 0, 0, 1], 9_000).into(),
        domain: domain.into(),
        version: "v1".into(),
        slots: 6,
        draining: false,
        started_ms: None,
        cold_for: Duration::ZERO,
    }
}

/// Returns the quarantine of a host that is alone.
fn quarantine(settings: CrashSettings) -> CrashQuarantine {
    CrashQuarantine::new("host-0".into(), settings)
}

/// Returns a request without a prompt.
fn request(fingerprint: u64) -> CrashSuspect {
    CrashSuspect::new(fingerprint, &[])
}

/// Returns whether a request is refused.
fn is_refused(quarantine: &mut CrashQuarantine, fingerprint: u64, now: TimePoint) -> bool {
    quarantine.refusal(&request(fingerprint), now) == Some(CrashRefusal::Request)
}

#[test]
fn request_that_crashed_two_servers_is_quarantined() {
    let mut tracker = quarantine(CrashSettings::default());
    let now = TimePoint::from_millis(10);
    let (first, second): (Arc<str>, Arc<str>) = ("i-1".into(), "i-2".into());
    tracker.record_crash(&first, &request(1), now);
    tracker.record_crash(&first, &request(1), now);
    assert!(
        !is_refused(&mut tracker, 1, now),
        "one server that crashes is not enough evidence, however often it is reported"
    );
    tracker.record_crash(&second, &request(1), now);
    assert!(is_refused(&mut tracker, 1, now));
    assert!(!is_refused(&mut tracker, 2, now));
    assert!(!is_refused(
        &mut tracker,
        1,
        now + Duration::from_secs(3_600)
    ));
}

#[test]
fn crashes_reported_by_another_host_count() {
    let mut tracker = quarantine(CrashSettings::default());
    let now = TimePoint::from_millis(10);
    for server in ["i-1", "i-2"] {
        let report = CrashReport {
            server: server.into(),
            suspect: request(9),
        };
        tracker.record_report(&report, now);
    }
    assert!(is_refused(&mut tracker, 9, now));
}

#[test]
fn tracked_crashes_are_bounded() {
    let settings = CrashSettings {
        max_crashes: 10,
        ..CrashSettings::default()
    };
    let mut tracker = quarantine(settings);
    for number in 0..1_000 {
        let at = TimePoint::from_millis(1_000 * number);
        for server in ["i-1", "i-2"] {
            let id = format!("{server}-{number}").into();
            tracker.record_crash(&id, &request(number), at);
        }
    }
    let now = TimePoint::from_millis(1_000_000);
    let kept = (0..1_000)
        .filter(|number| is_refused(&mut tracker, *number, now))
        .count();
    assert_eq!(kept, 5, "each request needs two of the ten crashes");
    assert!(is_refused(&mut tracker, 999, now));
}

/// Guards against refusing innocent requests: when resets cut off a failure domain, requests that
/// had reached two of its servers were refused as if they had crashed them.
#[test]
fn simultaneous_disconnects_are_not_counted_as_crashes() {
    let mut tracker = quarantine(CrashSettings::default());
    let partitioned_at = TimePoint::from_millis(33_500);
    let servers: Vec<Arc<str>> = ["i-1", "i-2", "i-3"].map(Arc::from).to_vec();
    for (number, server) in servers.iter().enumerate() {
        tracker.record_disconnect(
            server,
            partitioned_at + Duration::from_millis(number as u64),
        );
    }
    tracker.record_crash(&servers[0], &request(1), partitioned_at);
    let second_at = partitioned_at + Duration::from_millis(9);
    tracker.record_crash(&servers[1], &request(1), second_at);
    assert!(!is_refused(&mut tracker, 1, second_at));
}

#[test]
fn request_that_crashes_servers_in_sequence_is_quarantined() {
    let mut tracker = quarantine(CrashSettings::default());
    let start = TimePoint::from_millis(10_000);
    for (number, server) in ["i-1", "i-2"].map(Arc::<str>::from).iter().enumerate() {
        let now = start + Duration::from_millis(40 * number as u64);
        // Other requests of the server are disconnected at the same time.
        tracker.record_disconnect(server, now);
        tracker.record_disconnect(server, now);
        tracker.record_crash(server, &request(1), now);
    }
    let now = start + Duration::from_millis(90);
    assert!(is_refused(&mut tracker, 1, now));
}

/// Probes go to neighbours in the lost server's domain that did not run the request.
#[test]
fn probe_targets_are_untried_neighbours_of_the_lost_server() {
    let mut all = vec![
        server("i-1", "south"),
        server("i-2", "south"),
        server("i-3", "south"),
    ];
    all.push(server("i-4", "south"));
    all.push(server("i-5", "north"));
    all[3].draining = true;
    let names = |tried: &[Arc<str>]| {
        let picked = pick_probe_targets(all.iter(), &all[0], tried, |_| false, |_| false);
        picked
            .iter()
            .map(|entry| entry.id.to_string())
            .collect::<Vec<_>>()
    };
    assert_eq!(
        names(&[]),
        ["i-2", "i-3"],
        "draining servers are not probed"
    );
    assert_eq!(names(&["i-2".into()]), ["i-3"]);
    assert_eq!(
        names(&["i-2".into(), "i-3".into()]),
        ["i-5"],
        "without neighbours, any other server is probed"
    );
    assert!(pick_probe_targets(all[..1].iter(), &all[0], &[], |_| false, |_| false).is_empty());
    let picked = pick_probe_targets(all.iter(), &all[0], &[], |id| id == "i-2", |_| false);
    assert_eq!(
        picked[0].id.as_ref(),
        "i-3",
        "crashed servers are not probed"
    );
}

// Two neighbours that had crashed just before were probed, and the sound one was not.
#[test]
fn neighbours_that_were_lost_recently_are_probed_last() {
    let all = ["i-1", "i-2", "i-3", "i-4"].map(|id| server(id, "south"));
    let names = |lost: &[&str]| {
        let was_lost = |id: &str| lost.contains(&id);
        let picked = pick_probe_targets(all.iter(), &all[0], &[], |_| false, was_lost);
        let ids = picked.iter().map(|entry| entry.id.to_string());
        ids.collect::<Vec<_>>()
    };
    assert_eq!(names(&["i-2", "i-3"]), ["i-4", "i-2"]);
    assert_eq!(names(&["i-2", "i-3", "i-4"]), ["i-2", "i-3"]);
}

#[test]
fn server_counts_as_lost_for_the_time_in_which_losses_have_one_cause() {
    let settings = CrashSettings::default();
    let mut tracker = quarantine(settings);
    let now = TimePoint::from_millis(10_000);
    tracker.record_disconnect(&"i-1".into(), now);
    assert!(tracker.was_lost_recently("i-1", now + settings.correlation_window));
    assert!(!tracker.was_lost_recently("i-2", now));
    let later = now + settings.correlation_window + Duration::from_millis(1);
    assert!(!tracker.was_lost_recently("i-1", later));
}

/// Returns the quarantine of a host that saw a request crash servers a second apart, the last at `now`.
fn accusing(servers: &[&str], fingerprint: u64, now: TimePoint) -> CrashQuarantine {
    let mut tracker = quarantine(CrashSettings::default());
    for (number, server) in servers.iter().rev().enumerate().rev() {
        let at = now - Duration::from_secs(number as u64);
        tracker.record_crash(&Arc::from(*server), &request(fingerprint), at);
    }
    tracker
}

/// Returns the report of a request that crashed servers, each at an age.
fn report(fingerprint: u64, crashes: &[(&str, u64)]) -> RequestReport {
    let crash = |(server, seconds): &(&str, u64)| ServerCrash {
        server: Arc::from(*server),
        age_ms: 1_000 * *seconds as u32,
    };
    RequestReport {
        fingerprint,
        crashes: crashes.iter().map(crash).collect(),
    }
}

// Hosts that started later knew of no request.
#[test]
fn request_stays_refused_while_all_hosts_are_replaced_and_reports_are_lost() {
    for (count, seed) in [9, 63, 295].into_iter().zip(1..) {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let start = TimePoint::from_millis(10_000);
        let mut hosts = vec![accusing(&["i-1", "i-2"], 7, start); count];
        let per_second = count.div_ceil(9);
        for second in 1..=count.div_ceil(per_second) + 3 {
            let now = start + Duration::from_secs(second as u64);
            let first = (second - 1) * per_second;
            for host in hosts.iter_mut().skip(first).take(per_second) {
                *host = quarantine(CrashSettings::default());
            }
            for sender in 0..count {
                let reports = hosts[sender].request_reports(now);
                let others: Vec<usize> = (0..count).filter(|host| *host != sender).collect();
                for receiver in others.choose_multiple(&mut random, 3) {
                    if random.random_bool(0.7) {
                        hosts[*receiver].record_request_reports(&reports, now);
                    }
                }
            }
            // Those that started three seconds ago.
            let known = (first + per_second)
                .saturating_sub(3 * per_second)
                .min(count);
            for (number, host) in hosts[..known].iter_mut().enumerate() {
                assert!(is_refused(host, 7, now), "host {number} of {count}");
            }
        }
    }
}

// A process cannot state times before its start; the age began anew with each replacement.
#[test]
fn refusal_ends_in_time_though_it_is_passed_on_at_each_replacement() {
    let mut host = accusing(&["i-1", "i-2"], 7, TimePoint::from_millis(10_000));
    let mut clock = TimePoint::from_millis(10_000);
    for _ in 0..5 {
        clock = clock + Duration::from_secs(58);
        let reports = host.request_reports(clock);
        clock = TimePoint::from_millis(500);
        host = quarantine(CrashSettings::default());
        assert_eq!(host.record_request_reports(&reports, clock), 2);
        assert!(is_refused(&mut host, 7, clock));
    }
    let later = clock + Duration::from_secs(11);
    assert!(!is_refused(&mut host, 7, later));
    assert!(host.request_reports(later).is_empty());
}

#[test]
fn late_reports_of_one_crash_are_not_taken_for_several() {
    let now = TimePoint::from_millis(50_000);
    let mut tracker = accusing(&["i-1"], 7, now);
    for seconds in [1, 4, 40, 200] {
        let later = now + Duration::from_secs(seconds);
        tracker.record_request_reports(&[report(7, &[("i-1", 1)])], later);
        assert!(!is_refused(&mut tracker, 7, later), "after {seconds} s");
    }
    let mut fresh = quarantine(CrashSettings::default());
    fresh.record_request_reports(&[report(7, &[("i-1", 2), ("i-1", 9)])], now);
    assert!(
        is_refused(&mut fresh, 7, now),
        "it crashed the server twice"
    );
}

#[test]
fn reports_accuse_no_request_that_was_answered_or_lost_with_others() {
    let now = TimePoint::from_millis(50_000);
    let mut tracker = accusing(&["i-1"], 7, now);
    let later = now + Duration::from_secs(5);
    tracker.record_answer(&request(7), later);
    let old = report(7, &[("i-1", 5), ("i-2", 6)]);
    assert_eq!(tracker.record_request_reports(&[old], later), 0);
    let again = report(7, &[("i-3", 1), ("i-4", 2)]);
    let much_later = later + Duration::from_secs(9);
    assert_eq!(tracker.record_request_reports(&[again], much_later), 2);
    assert!(is_refused(&mut tracker, 7, much_later));
    let mut cut_off = accusing(&["i-1", "i-2"], 8, now);
    cut_off.record_disconnect(&"i-3".into(), now);
    let reports = cut_off.request_reports(later);
    let reported: Vec<usize> = reports.iter().map(|report| report.crashes.len()).collect();
    assert_eq!(reported, [1], "the crash beside another loss is left out");
}

#[test]
fn reports_are_bounded_and_name_all_requests_in_turn() {
    let mut tracker = quarantine(CrashSettings::default());
    let now = TimePoint::from_millis(500_000);
    for number in 0..60 {
        let names = [1, 2].map(|copy| format!("a-server-with-a-long-name-{number}-{copy}"));
        let crashes = names.each_ref().map(|name| (name.as_str(), 2 + number));
        tracker.record_request_reports(&[report(number, &crashes)], now);
    }
    let mut named = BTreeSet::new();
    for _ in 0..60 {
        let reports = tracker.request_reports(now);
        named.extend(reports.iter().map(|report| report.fingerprint));
        let datagram = PeerMessage::SuspectedRequests(reports).encode();
        assert!(datagram.expect("it is encoded").len() <= 1_010);
    }
    assert_eq!(named.len(), 60);
    for number in 0..10_000 {
        let names = [1, 2].map(|copy| format!("x-{number}-{copy}"));
        let crashes = names.each_ref().map(|name| (name.as_str(), 1));
        tracker.record_request_reports(&[report(1_000 + number, &crashes)], now);
    }
    let refused = (0..20_000).filter(|number| is_refused(&mut tracker, *number, now));
    assert_eq!(refused.count() * 2, CrashSettings::default().max_crashes);
}
