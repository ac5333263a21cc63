//! The choice of a backend server for a version.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::state::names::DomainName;
use crate::state::route_request::RouteRequest;
use crate::state::route_tables::RouteTables;
use crate::state::server_record::{ServerLifecycle, ServerRecord};
use crate::state::server_table::DomainServers;
use crate::state::time_point::TimePoint;

/// Load relative to the mean up to which a prefix keeps to its server.
const AFFINITY_LOAD_BOUND: f64 = 1.25;
/// Latency relative to the other servers' mean from which a server is degraded.
const DEGRADED_LATENCY_RATIO: f64 = 3.0;
/// Age of a load report at which it counts half.
const REPORT_HALF_AGE: Duration = Duration::from_secs(2);
/// Requests per slot of a server, running and waiting, from which it is saturated.
const SATURATION_RATIO: f64 = 2.0;

/// Why no server of a version was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ServerShortage {
    /// No server takes work.
    NoServer,
    /// The servers are full.
    Saturated,
}

/// Sums over the servers of a failure domain that take work.
#[derive(Clone, Copy, Debug, Default)]
struct DomainLoad {
    count: f64,
    load: f64,
    timed: f64,
    latency: f64,
}

/// Chooses a server, in the host's failure domain if one there has room.
pub(crate) fn choose_server<'a>(
    domains: Option<&'a DomainServers>,
    slots: u32,
    request: &RouteRequest,
    tables: &RouteTables,
    now: TimePoint,
    generator: &mut ChaCha8Rng,
) -> Result<&'a Arc<ServerRecord>, ServerShortage> {
    let Some(domains) = domains else {
        return Err(ServerShortage::NoServer);
    };
    let mut shortage = ServerShortage::NoServer;
    for lifecycle in [ServerLifecycle::Live, ServerLifecycle::Suspect] {
        let mut tried = None;
        while let Some(domain) = nearest_untried(domains, tables, tried) {
            let servers = &domains[domain];
            match choose_in_domain(servers, lifecycle, slots, request, now, generator) {
                Ok(server) => return Ok(server),
                Err(ServerShortage::Saturated) => shortage = ServerShortage::Saturated,
                Err(ServerShortage::NoServer) => {}
            }
            tried = Some((distance_to(domain, tables), domain));
        }
    }
    Err(shortage)
}

/// Returns the nearest failure domain after the one that was tried last.
fn nearest_untried<'a>(
    domains: &'a DomainServers,
    tables: &RouteTables,
    tried: Option<(Duration, &DomainName)>,
) -> Option<&'a DomainName> {
    domains
        .keys()
        .map(|domain| (distance_to(domain, tables), domain))
        .filter(|place| tried.is_none_or(|tried| *place > tried))
        .min()
        .map(|(_, domain)| domain)
}

/// Returns the distance to a failure domain; the own one is nearest.
fn distance_to(domain: &DomainName, tables: &RouteTables) -> Duration {
    if *domain == tables.domain {
        return Duration::ZERO;
    }
    let distances: &BTreeMap<DomainName, Duration> = &tables.distances;
    distances.get(domain).copied().unwrap_or(Duration::MAX)
}

/// Chooses a server within a failure domain.
fn choose_in_domain<'a>(
    servers: &'a [Arc<ServerRecord>],
    lifecycle: ServerLifecycle,
    slots: u32,
    request: &RouteRequest,
    now: TimePoint,
    generator: &mut ChaCha8Rng,
) -> Result<&'a Arc<ServerRecord>, ServerShortage> {
    let usable = |server: &ServerRecord| {
        server.lifecycle == lifecycle && !request.excluded.contains(&server.name)
    };
    let mut sums = DomainLoad::default();
    for server in servers.iter().filter(|server| usable(server)) {
        sums.count += 1.0;
        sums.load += expected_load(server, now);
        if server.latency_micros > 0 {
            sums.timed += 1.0;
            sums.latency += server.latency_micros as f64;
        }
    }
    if sums.count == 0.0 {
        return Err(ServerShortage::NoServer);
    }
    let limit = f64::from(slots) * SATURATION_RATIO;
    let has_room = |server: &ServerRecord| usable(server) && expected_load(server, now) < limit;
    let healthy = |server: &ServerRecord| has_room(server) && !is_degraded(server, &sums);
    let preferred = affine_server(servers, request, &healthy);
    let bound = (AFFINITY_LOAD_BOUND * (sums.load + 1.0) / sums.count).max(1.0);
    if let Some(server) = preferred.filter(|server| expected_load(server, now) < bound) {
        return Ok(server);
    }
    pick_of_two(servers, &healthy, now, generator)
        .or_else(|| pick_of_two(servers, &has_room, now, generator))
        .ok_or(ServerShortage::Saturated)
}

/// Finds the server that a prefix keeps to, by rendezvous hashing.
fn affine_server<'a>(
    servers: &'a [Arc<ServerRecord>],
    request: &RouteRequest,
    usable: &impl Fn(&ServerRecord) -> bool,
) -> Option<&'a Arc<ServerRecord>> {
    if request.prefix_hash == 0 {
        return None;
    }
    let usable = servers.iter().filter(|server| usable(server));
    usable.max_by_key(|server| mix_hash(request.prefix_hash ^ name_hash(server)))
}

/// Picks the less loaded of two random servers.
fn pick_of_two<'a>(
    servers: &'a [Arc<ServerRecord>],
    usable: &impl Fn(&ServerRecord) -> bool,
    now: TimePoint,
    generator: &mut ChaCha8Rng,
) -> Option<&'a Arc<ServerRecord>> {
    let first = pick_random(servers, usable, generator)?;
    let second = pick_random(servers, usable, generator)?;
    if expected_load(second, now) < expected_load(first, now) {
        return Some(second);
    }
    Some(first)
}

/// Picks a random usable server: the first one at or after a random place.
fn pick_random<'a>(
    servers: &'a [Arc<ServerRecord>],
    usable: &impl Fn(&ServerRecord) -> bool,
    generator: &mut ChaCha8Rng,
) -> Option<&'a Arc<ServerRecord>> {
    for _ in 0..4 {
        let server = servers.get(generator.random_range(0..servers.len()))?;
        if usable(server) {
            return Some(server);
        }
    }
    let count = servers.iter().filter(|server| usable(server)).count();
    if count == 0 {
        return None;
    }
    let place = generator.random_range(0..count);
    servers.iter().filter(|server| usable(server)).nth(place)
}

/// Returns the load of a server: its report, less certain with age, and own work since.
pub(crate) fn expected_load(server: &ServerRecord, now: TimePoint) -> f64 {
    let reported = f64::from(server.load.running + server.load.waiting);
    let own = server.local_in_flight.max(server.in_flight.get());
    let own_since = f64::from(own) - f64::from(server.local_at_report);
    let age = now.since(server.reported_at).as_secs_f64();
    let trust = 1.0 / (1.0 + age / REPORT_HALF_AGE.as_secs_f64());
    let others = (reported - f64::from(server.local_at_report)).max(0.0);
    let corrected = (reported + own_since).max(0.0);
    trust * corrected + (1.0 - trust) * (f64::from(own) + others)
}

/// Returns whether a server is much slower than the others.
fn is_degraded(server: &ServerRecord, sums: &DomainLoad) -> bool {
    let own = server.latency_micros as f64;
    if own == 0.0 || sums.timed < 2.0 {
        return false;
    }
    own > DEGRADED_LATENCY_RATIO * (sums.latency - own) / (sums.timed - 1.0)
}

/// Hashes the name of a server.
fn name_hash(server: &ServerRecord) -> u64 {
    let bytes = server.name.as_str().bytes();
    bytes.fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
    })
}

/// Spreads the bits of a hash.
pub(crate) const fn mix_hash(hash: u64) -> u64 {
    let hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
