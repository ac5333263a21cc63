//! The server table when many servers are lost, in the list only or in fact.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use galenamast::state::TimePoint;
use galenamast_gateway::coordination::placement::{ServerTable, TableChange};
use galenamast_gateway::state::ServerEntry;

/// Returns an entry of the service "engines".
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
        cold_for: Duration::ZERO,
    }
}

#[test]
fn lapsed_entries_are_a_short_lived_last_resort() {
    let mut table = ServerTable::default();
    let now = TimePoint::from_millis(1_000);
    table.replace(vec![entry("i-1", false), entry("i-2", false)], now);
    table.replace(Vec::new(), now);
    assert_eq!(table.serving("engines", now).len(), 2);
    table.upsert(entry("i-3", false));
    let serving = table.serving("engines", now);
    assert_eq!(
        serving.len(),
        1,
        "listed servers take precedence over lapsed ones"
    );
    table.remove("i-3", now);
    assert!(
        table
            .serving("engines", now + Duration::from_secs(2))
            .is_empty()
    );
}

#[test]
fn draining_server_is_never_used() {
    let mut table = ServerTable::default();
    let now = TimePoint::from_millis(1_000);
    table.upsert(entry("i-1", false));
    assert_eq!(table.upsert(entry("i-1", true)).1, TableChange::Draining);
    assert!(table.serving("engines", now).is_empty());
    table.remove("i-1", now);
    assert!(table.serving("engines", now).is_empty());
}

#[test]
fn server_with_a_reused_address_is_excluded_until_it_restarts() {
    let mut table = ServerTable::default();
    let now = TimePoint::from_millis(1_000);
    table.upsert(entry("i-1", false));
    let id: Arc<str> = "i-1".into();
    table.mark_reused(&id, now);
    assert!(table.serving("engines", now).is_empty());
    let restarted = ServerEntry {
        started_ms: Some(2),
        ..entry("i-1", false)
    };
    assert_eq!(table.upsert(restarted).1, TableChange::Appeared);
    assert_eq!(table.serving("engines", now).len(), 1);
}

// Servers that had drained or left were used again because an older list said so.
#[test]
fn servers_that_left_do_not_come_back_by_an_older_list() {
    let mut table = ServerTable::default();
    let at = TimePoint::from_millis;
    let list = vec![
        entry("i-1", false),
        entry("i-2", false),
        entry("i-3", false),
    ];
    table.replace(list.clone(), at(0));
    table.upsert(entry("i-1", true));
    table.remove("i-1", at(1_000));
    table.remove("i-2", at(1_000));
    table.restore(list.clone(), at(2_000));
    let serving = |table: &ServerTable, now| -> Vec<String> {
        let servers = table.serving("engines", now);
        servers.iter().map(|entry| entry.id.to_string()).collect()
    };
    assert_eq!(serving(&table, at(2_000)), ["i-3"]);
    // The store would have removed the second server by now if it were gone.
    assert_eq!(serving(&table, at(8_000)), ["i-2", "i-3"]);
    let restarted = ServerEntry {
        started_ms: Some(2),
        ..entry("i-1", false)
    };
    table.upsert(restarted);
    assert_eq!(serving(&table, at(8_000)), ["i-1", "i-2", "i-3"]);
}

#[test]
fn entry_that_lapsed_and_is_written_again_is_used_at_once() {
    let mut table = ServerTable::default();
    let now = TimePoint::from_millis(1_000);
    table.replace(vec![entry("i-1", false), entry("i-2", false)], now);
    table.remove("i-1", now);
    table.upsert(entry("i-1", false));
    assert_eq!(table.serving("engines", now).len(), 2);
}
