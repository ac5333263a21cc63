//! Load pattern: a request that kills each server that runs it, and comes again at any host.

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
fn what_crashed_two_servers_goes_to_no_third() {
    let mut book = CrashTracker::new(CrashSettings::default());
    let now = TimePoint::from_millis(10);
    let (first, second): (Arc<str>, Arc<str>) = ("i-1".into(), "i-2".into());
    book.record_crash(1, &first, now);
    book.record_crash(1, &first, now);
    assert!(
        !book.is_quarantined(1, now),
        "one server that breaks twice is no evidence"
    );
    book.record_crash(1, &second, now);
    assert!(book.is_quarantined(1, now));
    assert!(!book.is_quarantined(2, now));
    assert!(!book.is_quarantined(1, now + Duration::from_secs(3_600)));
}

#[test]
fn the_word_of_another_host_counts() {
    let mut book = CrashTracker::new(CrashSettings::default());
    let now = TimePoint::from_millis(10);
    book.record_remote(9, 2, now);
    assert!(book.is_quarantined(9, now));
}

#[test]
fn memory_is_bounded() {
    let settings = CrashSettings {
        capacity: 10,
        ..CrashSettings::default()
    };
    let mut book = CrashTracker::new(settings);
    for number in 0..1_000 {
        book.record_remote(number, 2, TimePoint::from_millis(number));
    }
    let now = TimePoint::from_millis(1_000);
    let kept = (0..1_000)
        .filter(|number| book.is_quarantined(*number, now))
        .count();
    assert_eq!(kept, 10);
    assert!(book.is_quarantined(999, now));
}

/// A failure domain was cut off by resets: requests that met two of its servers were refused as if
/// they had crashed them.
#[test]
fn servers_that_break_together_were_crashed_by_no_request() {
    let mut book = CrashTracker::new(CrashSettings::default());
    let cut_at = TimePoint::from_millis(33_500);
    let servers: Vec<Arc<str>> = ["i-1", "i-2", "i-3"].map(Arc::from).to_vec();
    for (number, server) in servers.iter().enumerate() {
        book.record_disconnect(server, cut_at + Duration::from_millis(number as u64));
    }
    book.record_crash(1, &servers[0], cut_at);
    book.record_crash(1, &servers[1], cut_at + Duration::from_millis(9));
    assert!(!book.is_quarantined(1, cut_at + Duration::from_millis(10)));
}

#[test]
fn a_request_that_crashes_one_server_after_the_other_is_still_refused() {
    let mut book = CrashTracker::new(CrashSettings::default());
    let start = TimePoint::from_millis(10_000);
    for (number, server) in ["i-1", "i-2"].map(Arc::<str>::from).iter().enumerate() {
        let now = start + Duration::from_millis(40 * number as u64);
        // Other requests of the server break with it.
        book.record_disconnect(server, now);
        book.record_disconnect(server, now);
        book.record_crash(1, server, now);
    }
    assert!(book.is_quarantined(1, start + Duration::from_millis(90)));
}

/// A cut shows in neighbours: those of the lost server's domain that the request did not meet.
#[test]
fn a_lost_server_is_witnessed_by_its_neighbours() {
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
        "those that leave are no witnesses"
    );
    assert_eq!(names(&["i-2".into()]), ["i-3"]);
    assert_eq!(
        names(&["i-2".into(), "i-3".into()]),
        ["i-5"],
        "or any other"
    );
    assert!(pick_probe_targets(all[..1].iter(), &all[0], &[]).is_empty());
}
