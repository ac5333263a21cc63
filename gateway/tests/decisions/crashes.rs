//! Requests that crash every server that runs them and are sent again through any host.

use std::sync::Arc;
use std::time::Duration;

use galenamast::state::TimePoint;
use galenamast_gateway::coordination::requests::{CrashSettings, CrashTracker, pick_probe_targets};
use galenamast_gateway::state::ServerEntry;

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
    }
}

#[test]
fn request_that_crashed_two_servers_is_quarantined() {
    let mut tracker = CrashTracker::new(CrashSettings::default());
    let now = TimePoint::from_millis(10);
    let (first, second): (Arc<str>, Arc<str>) = ("i-1".into(), "i-2".into());
    tracker.record_crash(1, &first, now);
    tracker.record_crash(1, &first, now);
    assert!(
        !tracker.is_quarantined(1, now),
        "one server that crashes twice is not enough evidence"
    );
    tracker.record_crash(1, &second, now);
    assert!(tracker.is_quarantined(1, now));
    assert!(!tracker.is_quarantined(2, now));
    assert!(!tracker.is_quarantined(1, now + Duration::from_secs(3_600)));
}

#[test]
fn crashes_reported_by_another_host_count() {
    let mut tracker = CrashTracker::new(CrashSettings::default());
    let now = TimePoint::from_millis(10);
    tracker.record_remote(9, 2, now);
    assert!(tracker.is_quarantined(9, now));
}

#[test]
fn tracked_requests_are_bounded() {
    let settings = CrashSettings {
        capacity: 10,
        ..CrashSettings::default()
    };
    let mut tracker = CrashTracker::new(settings);
    for number in 0..1_000 {
        tracker.record_remote(number, 2, TimePoint::from_millis(number));
    }
    let now = TimePoint::from_millis(1_000);
    let kept = (0..1_000)
        .filter(|number| tracker.is_quarantined(*number, now))
        .count();
    assert_eq!(kept, 10);
    assert!(tracker.is_quarantined(999, now));
}

/// Guards against refusing innocent requests: when resets cut off a failure domain, requests that
/// had reached two of its servers were refused as if they had crashed them.
#[test]
fn simultaneous_disconnects_are_not_counted_as_crashes() {
    let mut tracker = CrashTracker::new(CrashSettings::default());
    let partitioned_at = TimePoint::from_millis(33_500);
    let servers: Vec<Arc<str>> = ["i-1", "i-2", "i-3"].map(Arc::from).to_vec();
    for (number, server) in servers.iter().enumerate() {
        tracker.record_disconnect(
            server,
            partitioned_at + Duration::from_millis(number as u64),
        );
    }
    tracker.record_crash(1, &servers[0], partitioned_at);
    tracker.record_crash(1, &servers[1], partitioned_at + Duration::from_millis(9));
    assert!(!tracker.is_quarantined(1, partitioned_at + Duration::from_millis(10)));
}

#[test]
fn request_that_crashes_servers_in_sequence_is_quarantined() {
    let mut tracker = CrashTracker::new(CrashSettings::default());
    let start = TimePoint::from_millis(10_000);
    for (number, server) in ["i-1", "i-2"].map(Arc::<str>::from).iter().enumerate() {
        let now = start + Duration::from_millis(40 * number as u64);
        // Other requests of the server are disconnected at the same time.
        tracker.record_disconnect(server, now);
        tracker.record_disconnect(server, now);
        tracker.record_crash(1, server, now);
    }
    assert!(tracker.is_quarantined(1, start + Duration::from_millis(90)));
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
        let picked = pick_probe_targets(all.iter(), &all[0], tried);
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
    assert!(pick_probe_targets(all[..1].iter(), &all[0], &[]).is_empty());
}
