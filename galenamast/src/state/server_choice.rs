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

/// Maximum load of a server, relative to the mean, at which it still attracts its prompt prefixes.
const AFFINITY_LOAD_RATIO: f64 = 1.25;
/// Latency relative to the mean of the other servers above which a server counts as degraded.
const DEGRADED_LATENCY_RATIO: f64 = 3.0;
/// Age at which a load report has lost half of its weight.
const REPORT_HALF_AGE: Duration = Duration::from_secs(2);
/// Requests per slot, running and waiting, at which a server is saturated.
const SATURATION_RATIO: f64 = 2.0;

/// Why no server of a version was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ServerShortage {
    /// No server takes work.
    NoServer,
    /// All servers that take work are saturated.
    Saturated,
}

/// Sums over the servers of a failure domain that take work.
#[derive(Clone, Copy, Debug, Default)]
struct DomainLoad {
    servers: f64,
    load: f64,
    timed_servers: f64,
    latency_micros: f64,
}

/// Chooses a server that has room.
///
/// Live servers are tried before suspect ones, and near failure domains before distant ones.
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
        let mut last_tried = None;
        while let Some(domain) = nearest_untried(domains, tables, last_tried) {
            let servers = &domains[domain];
            match choose_in_domain(servers, lifecycle, slots, request, now, generator) {
                Ok(server) => return Ok(server),
                Err(ServerShortage::Saturated) => shortage = ServerShortage::Saturated,
                Err(ServerShortage::NoServer) => {}
            }
            last_tried = Some((distance_to(domain, tables), domain));
        }
    }
    Err(shortage)
}

/// Returns the nearest failure domain after the one that was tried last.
fn nearest_untried<'a>(
    domains: &'a DomainServers,
    tables: &RouteTables,
    last_tried: Option<(Duration, &DomainName)>,
) -> Option<&'a DomainName> {
    domains
        .keys()
        .map(|domain| (distance_to(domain, tables), domain))
        .filter(|candidate| last_tried.is_none_or(|tried| *candidate > tried))
        .min()
        .map(|(_, domain)| domain)
}

/// Returns the distance to a failure domain: zero for the local one, the maximum if unknown.
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
        sums.servers += 1.0;
        sums.load += expected_load(server, now);
        if server.latency_micros > 0 {
            sums.timed_servers += 1.0;
            sums.latency_micros += server.latency_micros as f64;
        }
    }
    if sums.servers == 0.0 {
        return Err(ServerShortage::NoServer);
    }
    let limit = f64::from(slots) * SATURATION_RATIO;
    let has_room = |server: &ServerRecord| usable(server) && expected_load(server, now) < limit;
    let healthy = |server: &ServerRecord| has_room(server) && !is_degraded(server, &sums);
    let preferred = affine_server(servers, request, &healthy);
    let load_bound = (AFFINITY_LOAD_RATIO * (sums.load + 1.0) / sums.servers).max(1.0);
    if let Some(server) = preferred.filter(|server| expected_load(server, now) < load_bound) {
        return Ok(server);
    }
    pick_of_two(servers, &healthy, now, generator)
        .or_else(|| pick_of_two(servers, &has_room, now, generator))
        .ok_or(ServerShortage::Saturated)
}

/// Finds the server that the request's prompt prefix maps to, by rendezvous hashing.
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

/// Picks the less loaded of two random usable servers.
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

/// Picks a random usable server.
///
/// A few random draws usually find one; only if they fail, the usable servers are counted.
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
    let position = generator.random_range(0..count);
    servers.iter().filter(|server| usable(server)).nth(position)
}

/// Estimates the load of a server, in requests, from its last report and the local host's count.
///
/// As the report ages, weight shifts from the reported total, corrected by local requests since,
/// to the local count plus the requests of other hosts in the report.
pub(crate) fn expected_load(server: &ServerRecord, now: TimePoint) -> f64 {
    let reported = f64::from(server.load.running + server.load.waiting);
    let local = server.local_in_flight.max(server.in_flight.get());
    let local_since = f64::from(local) - f64::from(server.local_at_report);
    let age = now.since(server.reported_at).as_secs_f64();
    let report_weight = 1.0 / (1.0 + age / REPORT_HALF_AGE.as_secs_f64());
    let others = (reported - f64::from(server.local_at_report)).max(0.0);
    let corrected = (reported + local_since).max(0.0);
    report_weight * corrected + (1.0 - report_weight) * (f64::from(local) + others)
}

/// Returns whether a server is much slower than the mean of the others.
fn is_degraded(server: &ServerRecord, sums: &DomainLoad) -> bool {
    let latency = server.latency_micros as f64;
    if latency == 0.0 || sums.timed_servers < 2.0 {
        return false;
    }
    latency > DEGRADED_LATENCY_RATIO * (sums.latency_micros - latency) / (sums.timed_servers - 1.0)
}

/// Hashes the name of a server with FNV-1a.
fn name_hash(server: &ServerRecord) -> u64 {
    let bytes = server.name.as_str().bytes();
    bytes.fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
    })
}

/// Mixes the bits of a hash with the finalizer of SplitMix64.
pub(crate) const fn mix_hash(hash: u64) -> u64 {
    let hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
