//! Load pattern: mass loss of servers, by the list or in fact.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use galenamast::state::TimePoint;
use galenamast_gateway::coordination::placement::{ServerTable, TableChange};
use galenamast_gateway::state::ServerEntry;

/// Returns an entry.
fn entry(id: &str, draining: bool) -> ServerEntry {
    ServerEntry {
        id: id.into(),
        service: "engines".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 9_000)),
        domain: "north".into(),
        version: "v1".into(),
        slots: 64,
        draining,
        started_ms: Some(1),
    }
}

#[test]
fn entries_that_all_lapsed_are_a_last_resort_for_a_moment() {
    let mut table = ServerTable::default();
    let now = TimePoint::from_millis(1_000);
    table.replace(vec![entry("i-1", false), entry("i-2", false)], now);
    table.replace(Vec::new(), now);
    assert_eq!(table.serving("engines", now).len(), 2);
    table.upsert(entry("i-3", false));
    let serving = table.serving("engines", now);
    assert_eq!(serving.len(), 1, "a listed server goes before lapsed ones");
    table.remove("i-3", now);
    assert!(
        table
            .serving("engines", now + Duration::from_secs(2))
            .is_empty()
    );
}

#[test]
fn a_draining_server_takes_no_work_and_does_not_lapse_into_use() {
    let mut table = ServerTable::default();
    let now = TimePoint::from_millis(1_000);
    table.upsert(entry("i-1", false));
    assert_eq!(table.upsert(entry("i-1", true)).1, TableChange::Draining);
    assert!(table.serving("engines", now).is_empty());
    table.remove("i-1", now);
    assert!(table.serving("engines", now).is_empty());
}

#[test]
fn an_address_that_another_server_has_is_left_until_the_server_starts_again() {
    let mut table = ServerTable::default();
    let now = TimePoint::from_millis(1_000);
    table.upsert(entry("i-1", false));
    let id: Arc<str> = "i-1".into();
    table.mark_reused(&id, now);
    assert!(table.serving("engines", now).is_empty());
    let reborn = ServerEntry {
        started_ms: Some(2),
        ..entry("i-1", false)
    };
    assert_eq!(table.upsert(reborn).1, TableChange::Appeared);
    assert_eq!(table.serving("engines", now).len(), 1);
}
