//! Chooses the backend server for a call of a plain service.

use std::collections::BTreeSet;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::state::{
    PoolName, RefusalReason, RouteOutcome, RouteTables, RouteTarget, ServerLifecycle, ServerName,
    ServerRecord, VersionKey,
};

/// Chooses the less loaded of two random servers with free slots, in the local failure domain
/// if it has any.
///
/// Suspect servers are used only if no server is live. If all servers are full, the request is
/// queued.
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
    let local: Vec<&ServerRecord> = servers
        .iter()
        .copied()
        .filter(|server| server.domain == tables.domain)
        .collect();
    let choices = if local.is_empty() { servers } else { local };
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

/// Returns the number of requests that run on a server: those that it reported, with this host's
/// own replaced by their current number.
fn load_of(server: &ServerRecord) -> u32 {
    let others = server.load.running.saturating_sub(server.local_at_report);
    others + server.in_flight.get()
}
