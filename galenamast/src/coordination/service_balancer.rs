//! Chooses the backend server of a plain service call.

use std::collections::BTreeSet;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::state::{
    PoolName, RefusalReason, RouteOutcome, RouteTables, RouteTarget, ServerLifecycle, ServerName,
    ServerRecord, VersionKey,
};

/// Chooses a server of a plain service: one of its own failure domain if it has room, the less
/// loaded of two random ones.
///
/// ```
/// use std::collections::BTreeSet;
/// use galenamast::coordination::choose_service_server;
/// use galenamast::state::{RefusalReason, RouteOutcome, RouteTables};
///
/// let tables = RouteTables::default();
/// let outcome = choose_service_server(&"ledger".into(), &tables, &BTreeSet::new(), 8, 1);
/// assert_eq!(outcome, RouteOutcome::Refuse(RefusalReason::NoServer));
/// ```
pub fn choose_service_server(
    pool: &PoolName,
    tables: &RouteTables,
    excluded: &BTreeSet<ServerName>,
    slots: u32,
    seed: u64,
) -> RouteOutcome {
    let usable = |lifecycle: ServerLifecycle| -> Vec<&ServerRecord> {
        tables
            .servers
            .servers_in(pool)
            .map(AsRef::as_ref)
            .filter(|server| server.lifecycle == lifecycle && !excluded.contains(&server.name))
            .collect()
    };
    let mut servers = usable(ServerLifecycle::Live);
    if servers.is_empty() {
        servers = usable(ServerLifecycle::Suspect);
    }
    if servers.is_empty() {
        return RouteOutcome::Refuse(RefusalReason::NoServer);
    }
    servers.retain(|server| load_of(server) < slots);
    if servers.is_empty() {
        return RouteOutcome::Queue(pool.clone());
    }
    let near: Vec<&ServerRecord> = servers
        .iter()
        .copied()
        .filter(|server| server.domain == tables.domain)
        .collect();
    let choices = if near.is_empty() { servers } else { near };
    let mut generator = ChaCha8Rng::seed_from_u64(seed);
    let first = choices[generator.random_range(0..choices.len())];
    let second = choices[generator.random_range(0..choices.len())];
    let server = if load_of(second) < load_of(first) {
        second
    } else {
        first
    };
    RouteOutcome::Dispatch(RouteTarget {
        version: VersionKey::default(),
        pool: pool.clone(),
        server: server.name.clone(),
        address: server.address.clone(),
        domain: server.domain.clone(),
    })
}

/// Returns the load of a server: what it reported, corrected by this host's own work since.
fn load_of(server: &ServerRecord) -> u32 {
    let others = server.load.running.saturating_sub(server.local_at_report);
    others + server.in_flight.get()
}
