//! Servers that refuse with a time to wait, under demand at every host, and servers that leave.

use std::sync::Arc;
use std::time::Duration;

use galenamast::state::TimePoint;
use galenamast_gateway::coordination::permits::{
    DemandChange, LimitSettings, SendDenial, ServerPermits,
};
use galenamast_gateway::state::{DemandReport, ServerDemand, ServerEntry};

/// Pause that the server asks for.
const PAUSE: Duration = Duration::from_secs(3);

/// Returns the entry of a server.
fn server() -> ServerEntry {
    ServerEntry {
        id: "s-1".into(),
        service: "engines".into(),
        address: "127.0.0.1:1".parse().expect("the address is valid"),
        domain: "d-0".into(),
        version: "v1".into(),
        slots: 24,
        draining: false,
        started_ms: Some(1_000),
        cold_for: Duration::ZERO,
    }
}

/// Returns the permits of a host that lists the server.
fn permits(host: &str) -> ServerPermits {
    let mut permits = ServerPermits::new(host.into(), LimitSettings::default());
    permits.record_start(&server().id, server().started_ms);
    permits
}

/// Returns what a server states that asks for a pause.
fn asks_pause(pause: Duration) -> ServerDemand {
    ServerDemand {
        pause: Some(pause),
        ..ServerDemand::default()
    }
}

/// Returns a point in time, in milliseconds.
fn at(millis: u64) -> TimePoint {
    TimePoint::from_millis(millis)
}

#[test]
fn hosts_return_from_a_pause_one_request_at_a_time_and_not_together() {
    let mut returns = Vec::new();
    for number in 0..63 {
        let mut host = permits(&format!("host-{number}"));
        host.record_answer(&server().id, &asks_pause(PAUSE), at(0), at(100));
        let mut sent = Vec::new();
        for millis in (100..5_600).step_by(10) {
            if host.take(&server(), at(millis)).is_ok() {
                sent.push(millis);
            }
        }
        assert!(sent[0] >= 3_100, "within the pause");
        // The request after the pause is not answered, and the next follows two seconds later.
        assert!(sent[1..].iter().all(|later| *later >= sent[0] + 2_000));
        returns.push(sent[0]);
    }
    let spread = returns.iter().max().zip(returns.iter().min());
    assert!(spread.is_some_and(|(last, first)| last - first >= 300));
}

#[test]
fn only_an_answer_to_a_request_after_the_pause_ends_it() {
    let mut host = permits("host-1");
    let id = server().id;
    host.record_answer(&id, &asks_pause(PAUSE), at(0), at(100));
    // A shorter pause of an earlier answer, and a success that was begun before.
    host.record_answer(&id, &asks_pause(Duration::from_secs(1)), at(0), at(150));
    host.record_answer(&id, &ServerDemand::default(), at(50), at(200));
    assert!(matches!(
        host.denial(&server(), at(3_000)),
        Some(SendDenial::Paused { .. })
    ));
    assert!(host.take(&server(), at(3_700)).is_ok());
    assert!(host.take(&server(), at(3_710)).is_err());
    host.record_answer(&id, &ServerDemand::default(), at(3_700), at(3_730));
    assert!(host.take(&server(), at(3_740)).is_ok());
    assert!(host.take(&server(), at(3_750)).is_ok());
}

#[test]
fn pause_stated_after_a_server_was_chosen_counts_before_the_request_is_written() {
    let mut host = permits("host-1");
    assert!(host.take(&server(), at(10)).is_ok());
    host.record_answer(&server().id, &asks_pause(PAUSE), at(5), at(20));
    assert!(host.confirm(&server(), at(10), at(30)).is_err());
}

#[test]
fn endless_pause_is_bounded() {
    let mut host = permits("host-1");
    let changes = host.record_answer(&server().id, &asks_pause(Duration::MAX), at(0), at(100));
    assert_eq!(
        changes,
        vec![DemandChange::Paused(Duration::from_secs(600))]
    );
}

#[test]
fn server_leaves_until_its_start_ends() {
    let id: Arc<str> = server().id;
    let leaving = ServerDemand {
        leaving: true,
        ..ServerDemand::default()
    };
    let (mut host, mut other) = (permits("host-1"), permits("host-2"));
    host.record_answer(&id, &leaving, at(0), at(100));
    host.record_answer(&id, &ServerDemand::default(), at(200), at(300));
    assert_eq!(host.denial(&server(), at(300)), Some(SendDenial::Leaving));
    let reports: Vec<DemandReport> = host.due_reports(at(100));
    let of_earlier_start = DemandReport {
        started_ms: Some(500),
        ..reports[0].clone()
    };
    assert_eq!(other.record_report(&of_earlier_start, at(110)), None);
    assert_eq!(
        other.record_report(&reports[0], at(110)),
        Some(DemandChange::Leaving)
    );
    for permits in [&mut host, &mut other] {
        assert!(permits.confirm(&server(), at(90), at(400)).is_err());
        permits.record_removal(&id, at(500));
        permits.record_start(&id, server().started_ms);
        assert!(permits.is_leaving(&id));
        permits.record_start(&id, Some(9_000));
        assert!(!permits.is_leaving(&id));
    }
}
