//! Measures the time of a server choice for several fleet sizes, and of leaving evacuated servers out.

use std::hint::black_box;
use std::net::SocketAddr;
use std::time::Duration;

use criterion::{BenchmarkId, Criterion};
use galenamast::state::TimePoint;
use galenamast_gateway::coordination::evacuations::DomainEvacuations;
use galenamast_gateway::coordination::liveness::{LivenessSettings, ServerLiveness};
use galenamast_gateway::coordination::permits::{ColdSettings, LimitSettings, ServerPermits};
use galenamast_gateway::coordination::placement::{
    LoadEstimator, LoadSettings, PickQuery, PickSettings, PrefixCacheIndex, PrefixCacheSettings,
    PromptPrefixes, pick_server, short_server_id,
};
use galenamast_gateway::state::{ColdSpec, PromptPart, ServerEntry, StorePosition};

/// Number of failure domains that the servers are spread over.
const DOMAINS: usize = 4;
/// Number of servers that each host has sent work to.
const LOADED_SERVERS_PER_HOST: usize = 8;
/// Number of servers among which evacuated ones are left out.
const EVACUATION_SERVERS: usize = 240;
/// Fleet sizes, as numbers of servers and hosts.
const FLEET_SIZES: [(usize, usize); 3] = [(9, 9), (90, 63), (600, 400)];

/// Returns the servers of a fleet.
fn servers(count: usize) -> Vec<ServerEntry> {
    let server = |number: usize| ServerEntry {
        id: format!("i-{number}").into(),
        service: "engines".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 9_000 + number as u16)),
        domain: format!("domain-{}", number % DOMAINS).into(),
        version: "v1".into(),
        slots: 64,
        draining: false,
        started_ms: None,
        cold_for: Duration::ZERO,
    };
    (0..count).map(server).collect()
}

/// Returns a host's load estimator after all other hosts reported their load.
fn estimator_with_reports(servers: &[ServerEntry], hosts: usize, now: TimePoint) -> LoadEstimator {
    let mut estimator = LoadEstimator::new(LoadSettings::default());
    for host in 0..hosts {
        let mut other = LoadEstimator::new(LoadSettings::default());
        for load in 0..LOADED_SERVERS_PER_HOST {
            let server = &servers[(host * LOADED_SERVERS_PER_HOST + load) % servers.len()];
            other.record_sent(&server.id, 0.1);
        }
        let peer = SocketAddr::from(([127, 0, 0, 1], 1_000 + host as u16));
        estimator.record_remote(peer, &other.local_loads(), now);
    }
    estimator
}

/// Measures which of 240 servers a host may send a request to, while all are in use and while half of
/// them are cold.
fn bench_cold_denials(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("cold_denials");
    let now = TimePoint::from_millis(10_000);
    for cold in [0, 120] {
        let servers = servers(240);
        let settings = ColdSettings {
            rate_factor: 1.5,
            slack: 5.0,
        };
        let mut permits =
            ServerPermits::new("host-0".into(), LimitSettings::default()).with_cold(Some(settings));
        let spec = ColdSpec {
            duration: Duration::from_secs(3),
            rate: 6.1,
        };
        permits
            .cold()
            .set_specs([("engines".into(), spec)].into_iter().collect());
        for (number, server) in servers.iter().enumerate() {
            let is_cold = number < cold;
            let cold_for = Duration::from_secs(if is_cold { 3 } else { 0 });
            let entry = ServerEntry {
                cold_for,
                ..server.clone()
            };
            permits.cold().record_entry(&entry, true, now);
            for seconds in [7, 8, 9] {
                let used = std::iter::once(short_server_id(&server.id));
                let used_at = TimePoint::from_millis(seconds * 1_000 + 500);
                permits.cold().record_peer_use(used, used_at);
            }
        }
        group.bench_function(BenchmarkId::new("cold", cold), |bencher| {
            bencher.iter(|| {
                let is_permitted = |server: &&ServerEntry| permits.denial(server, now).is_none();
                black_box(servers.iter().filter(is_permitted).count())
            });
        });
    }
    group.finish();
}

/// Measures the next step of an attempt among 1,000 that wait at 240 servers.
fn bench_liveness(criterion: &mut Criterion) {
    let mut liveness = ServerLiveness::new(LivenessSettings::default());
    let servers = servers(240);
    let waiting: Vec<_> = (0..1_000)
        .map(|number| {
            let server = servers[number % servers.len()].id.clone();
            let ticket = liveness.record_sent(&server, Duration::from_secs(60), TimePoint::ZERO);
            (server, ticket)
        })
        .collect();
    let mut number = 0;
    criterion.bench_function("liveness/next_step", |bencher| {
        bencher.iter(|| {
            number = (number + 1) % waiting.len();
            let (server, ticket) = &waiting[number];
            let now = TimePoint::from_millis(number as u64);
            liveness.record_byte(server, now);
            black_box(liveness.next_step(server, *ticket, now))
        });
    });
}

fn main() {
    let mut criterion = Criterion::default()
        .measurement_time(Duration::from_secs(2))
        .warm_up_time(Duration::from_millis(500))
        .configure_from_args();
    let now = TimePoint::from_millis(1_000);
    let parts = [(7, 13_000), (8, 4_000)].map(|(digest, tokens)| PromptPart { digest, tokens });
    let prefixes = PromptPrefixes::new("large", &parts);
    let mut group = criterion.benchmark_group("pick_decision");
    for (count, hosts) in FLEET_SIZES {
        let servers = servers(count);
        let serving: Vec<&ServerEntry> = servers.iter().collect();
        let estimator = estimator_with_reports(&servers, hosts, now);
        let mut kept = PrefixCacheIndex::new(PrefixCacheSettings::default());
        kept.record_read(&prefixes, &servers[count / 2].id, now);
        let settings = PickSettings::default();
        group.bench_function(BenchmarkId::new("servers", count), |bencher| {
            bencher.iter(|| {
                let query = PickQuery {
                    domain: "domain-0",
                    prompt: Some(&prefixes),
                    prompt_tokens: 17_000,
                    kept: kept.kept_tokens(&prefixes, now),
                    read_price: 3e-5,
                    bytes: 20_000.0,
                    work: 0.5,
                    ..PickQuery::default()
                };
                black_box(pick_server(&serving, &query, &estimator, &settings, now))
            });
        });
    }
    group.finish();
    bench_cold_denials(&mut criterion);
    bench_liveness(&mut criterion);
    let servers = servers(EVACUATION_SERVERS);
    let mut evacuations = DomainEvacuations::default();
    let position = StorePosition::default();
    evacuations.replace(&[("domain-1".into(), position)], position, now);
    criterion.bench_function("evacuated_servers", |bencher| {
        bencher.iter(|| {
            let mut serving: Vec<&ServerEntry> = servers.iter().collect();
            serving.retain(|entry| !evacuations.is_evacuated(&entry.domain, now));
            black_box(serving.len())
        });
    });
    criterion.final_summary();
}
