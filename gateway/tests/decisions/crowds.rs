//! Replays of more callers than a host has connections for.

use std::collections::BTreeMap;
use std::time::Duration;

use galenamast_gateway::coordination::callers::{
    ConnectionProgress, ConnectionStage, EvictionSettings, pick_evictions,
};
use galenamast_gateway::coordination::memory::{
    ConnectionCosts, ExchangeUse, MemoryBudget, may_begin,
};
use proptest::prelude::*;

/// Step of the replay.
const STEP: Duration = Duration::from_millis(20);
/// Time that is replayed.
const REPLAYED: Duration = Duration::from_secs(20);
/// Connections of the host.
const CONNECTIONS: usize = 200;
/// Callers of the crowd; each opens again half a second after it was closed.
const CROWD: u64 = 800;
/// Pause of a caller of the crowd before it opens again.
const REOPEN: Duration = Duration::from_millis(500);
/// Bytes that a caller of the crowd sends at once before it stops.
const CROWD_BYTES: u64 = 61_000;
/// Sound uploads: their number at a time, size and rate in bytes a second.
const UPLOADS: u64 = 10;
const UPLOAD_BYTES: u64 = 1_000_000;
const UPLOAD_RATE: u64 = 400_000;

/// Picks the connections that give way, given those that may and how many have to.
type EvictionOrder = fn(Vec<ConnectionProgress>, usize) -> Vec<u64>;

/// Returns those that have brought least for longest, as the host does.
fn by_progress(connections: Vec<ConnectionProgress>, count: usize) -> Vec<u64> {
    pick_evictions(connections, count, 0, &EvictionSettings::default())
}

/// Returns those that are open for longest, whatever they have brought.
fn by_age(mut connections: Vec<ConnectionProgress>, count: usize) -> Vec<u64> {
    connections.sort_by_key(|connection| std::cmp::Reverse(connection.age));
    let oldest = connections.iter().take(count);
    oldest.map(|connection| connection.id).collect()
}

/// Returns those that keep less than a rate, a hundred kilobytes a second, and else the newest.
fn by_least_rate(mut connections: Vec<ConnectionProgress>, count: usize) -> Vec<u64> {
    let rate = |connection: &ConnectionProgress| {
        connection.bytes as f64 / connection.age.as_secs_f64().max(0.001)
    };
    connections.sort_by_key(|connection| (rate(connection) >= 100_000.0, connection.age));
    let picked = connections.iter().take(count);
    picked.map(|connection| connection.id).collect()
}

/// What sound callers got.
#[derive(Debug, Default)]
struct SoundCallers {
    uploads: usize,
    uploads_cut: usize,
    requests: usize,
    requests_cut: usize,
}

/// Replays a crowd beside uploads and a small request at each step, which arrives whole one step later.
fn replay(order: EvictionOrder) -> SoundCallers {
    let mut sound = SoundCallers::default();
    let mut open: BTreeMap<u64, ConnectionProgress> = BTreeMap::new();
    let mut crowd_due: BTreeMap<u64, Duration> =
        (0..CROWD).map(|id| (id, Duration::ZERO)).collect();
    let mut now = Duration::ZERO;
    let mut next = 1_000_000;
    while now < REPLAYED {
        for connection in open.values_mut() {
            connection.age += STEP;
            connection.stalled = match is_upload(connection.id) {
                true => Duration::ZERO,
                false => connection.age,
            };
            connection.bytes += if is_upload(connection.id) {
                UPLOAD_RATE * STEP.as_millis() as u64 / 1_000
            } else {
                0
            };
        }
        let is_done = |connection: &ConnectionProgress| match connection.id {
            id if is_upload(id) => connection.bytes >= UPLOAD_BYTES,
            id => id >= 1_000_000,
        };
        let done: Vec<u64> = open
            .values()
            .filter(|one| is_done(one))
            .map(|one| one.id)
            .collect();
        for id in done {
            open.remove(&id);
            sound.uploads += usize::from(is_upload(id));
            sound.requests += usize::from(id >= 1_000_000);
        }
        let due: Vec<u64> = crowd_due
            .iter()
            .filter(|(_, at)| **at <= now)
            .map(|(id, _)| *id)
            .collect();
        let uploads = (0..UPLOADS)
            .map(|number| CROWD + number)
            .filter(|id| !open.contains_key(id));
        let mut arriving: Vec<u64> = uploads.collect();
        arriving.extend(due.iter().copied());
        arriving.insert(arriving.len() / 2, next);
        next += 1;
        for id in arriving {
            crowd_due.remove(&id);
            let bytes = if id < CROWD { CROWD_BYTES } else { 0 };
            let connection = ConnectionProgress {
                id,
                stage: ConnectionStage::Body,
                age: Duration::ZERO,
                stalled: Duration::ZERO,
                bytes,
                held: 100_000,
            };
            open.insert(id, connection);
            if open.len() <= CONNECTIONS {
                continue;
            }
            for evicted in order(open.values().copied().collect(), 1) {
                open.remove(&evicted);
                match evicted {
                    id if id < CROWD => {
                        crowd_due.insert(id, now + REOPEN);
                    }
                    id if is_upload(id) => sound.uploads_cut += 1,
                    _ => sound.requests_cut += 1,
                }
            }
        }
        now += STEP;
    }
    sound
}

/// Returns whether a connection is a sound upload.
fn is_upload(id: u64) -> bool {
    (CROWD..CROWD + UPLOADS).contains(&id)
}

// Guards against closing the connections of sound callers for those of callers that bring nothing.
#[test]
fn sound_callers_are_not_cut_beside_a_crowd() {
    let sound = replay(by_progress);
    assert_eq!(sound.requests_cut, 0, "{sound:?}");
    assert!(sound.requests > 900, "{sound:?}");
    assert_eq!(sound.uploads_cut, 0, "{sound:?}");
    assert!(sound.uploads >= 60, "{sound:?}");
}

// The orders that were not chosen cut what this one keeps.
#[test]
fn least_progress_serves_sound_callers_best() {
    let [progress, age, rate] = [by_progress, by_age, by_least_rate].map(|order| {
        let sound = replay(order);
        println!("{sound:?}");
        sound
    });
    assert!(progress.requests_cut <= age.requests_cut);
    assert!(progress.uploads >= age.uploads);
    assert!(progress.requests_cut < rate.requests_cut || progress.uploads > rate.uploads);
}

// Guards against a budget that promises more than the process has.
#[test]
fn budget_stays_below_the_memory_of_each_deployment() {
    for megabytes in [48, 88, 110, 260, 512] {
        let memory = megabytes * 1_000_000;
        let budget = MemoryBudget::new(memory, memory / 4);
        assert!(budget.all < memory - memory / 10, "{megabytes}: {budget:?}");
        assert!(budget.pressure < budget.open && budget.open <= budget.all);
        let costs = ConnectionCosts::new(8_192, 16_384, 16_384);
        let request = costs.caller + costs.server + ConnectionCosts::exchange(400);
        println!(
            "{megabytes} MB: all {}, open {}, pressure {}, requests {}",
            budget.all,
            budget.open,
            budget.pressure,
            budget.open / request
        );
        assert!(budget.open / request > 100, "{megabytes}: {budget:?}");
    }
}

// Guards against a route or a workspace that takes the room of all others.
#[test]
fn others_have_room_beside_a_route_or_workspace_that_takes_all_it_gets() {
    let budget = MemoryBudget::new(110_000_000, 27_500_000);
    let mut crowd = ExchangeUse::default();
    let request = 100_000;
    while may_begin(&crowd, request, &budget) {
        crowd.all += request;
        crowd.exchanges += request;
        crowd.route += request;
        crowd.workspace += request;
    }
    let other_route = ExchangeUse { route: 0, ..crowd };
    let other_workspace = ExchangeUse {
        workspace: 0,
        ..crowd
    };
    assert!(may_begin(&other_route, request, &budget));
    assert!(may_begin(&other_workspace, request, &budget));
    // Beside many routes of one workspace, another workspace has room.
    let routes = ExchangeUse {
        route: 0,
        all: budget.open - request,
        ..crowd
    };
    assert!(!may_begin(&routes, request, &budget));
    assert!(may_begin(
        &ExchangeUse {
            workspace: 0,
            ..routes
        },
        request,
        &budget
    ));
}

proptest! {
    // What is picked is enough if there is enough, and no connection is picked twice.
    #[test]
    fn enough_connections_give_way(
        ages in prop::collection::vec((0_u64..5_000, 0_u64..100_000, 0_usize..7), 0..60),
        count in 0_usize..80,
        bytes in 0_usize..4_000_000,
    ) {
        let held = 50_000;
        let connections: Vec<_> = (0..).zip(&ages).map(|(id, (millis, bytes, stage))| {
            ConnectionProgress {
                id,
                stage: ConnectionStage::ALL[*stage],
                age: Duration::from_millis(*millis),
                stalled: Duration::from_millis(*millis / 2),
                bytes: *bytes,
                held,
            }
        }).collect();
        let mut picked = pick_evictions(connections, count, bytes, &EvictionSettings::default());
        let needed = count.max(bytes.div_ceil(held)).min(ages.len());
        prop_assert_eq!(picked.len(), needed);
        picked.sort_unstable();
        picked.dedup();
        prop_assert_eq!(picked.len(), needed);
    }
}
