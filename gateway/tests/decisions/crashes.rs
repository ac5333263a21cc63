//! Requests that crash every server that runs them and are sent again through any host.

use std::sync::Arc;
use std::time::Duration;

use galenamast::state::TimePoint;
use galenamast_gateway::coordination::crashes::{
    CrashQuarantine, CrashRefusal, CrashSettings, pick_probe_targets,
};
use galenamast_gateway::state::{CrashReport, CrashSuspect, ServerEntry};

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
        let picked = pick_probe_targets(all.iter(), &all[0], tried, |_| false);
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
    assert!(pick_probe_targets(all[..1].iter(), &all[0], &[], |_| false).is_empty());
    let picked = pick_probe_targets(all.iter(), &all[0], &[], |id| id == "i-2");
    assert_eq!(
        picked[0].id.as_ref(),
        "i-3",
        "crashed servers are not probed"
    );
}
