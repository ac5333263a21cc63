//! Time of a routing decision by number of servers and of versions.

use std::collections::BTreeMap;
use std::hint::black_box;
use std::sync::Arc;
use std::time::Duration;

use criterion::{BenchmarkId, Criterion};
use galenamast::state::{
    ConfigGeneration, ConfigImage, ModelSpec, PoolSpec, QualityCell, QualityObservation,
    QualityTable, RouteRequest, RouteTables, ServerRecord, ServerTable, TimePoint, VersionKey,
    VersionSpec, WorkspaceSpec, plan_route,
};

/// Number of failure domains over which the servers are spread.
const DOMAIN_COUNT: usize = 5;

fn version_name(index: usize) -> String {
    format!("v{index}")
}

fn config_image(versions: usize) -> ConfigImage {
    let mut model = ModelSpec::default();
    let mut workspace = WorkspaceSpec::default();
    let allowed = workspace.allowed.entry("assist".into()).or_default();
    for index in 0..versions {
        let version = VersionSpec {
            pool: "runners".into(),
            input_price: 100 * (index as u64 + 1),
            prior_quality: 0.7 + 0.02 * index as f64,
            ..Default::default()
        };
        model
            .versions
            .insert(version_name(index).as_str().into(), version);
        allowed.insert(version_name(index).as_str().into());
    }
    ConfigImage {
        generation: ConfigGeneration(1),
        workspaces: BTreeMap::from([("desk".into(), Arc::new(workspace))]),
        models: BTreeMap::from([("assist".into(), Arc::new(model))]),
        pools: BTreeMap::from([("runners".into(), Arc::new(PoolSpec::default()))]),
        ..Default::default()
    }
}

fn route_tables(servers: usize, versions: usize) -> RouteTables {
    let keys = || (0..versions).map(|index| VersionKey::new("assist", &version_name(index)));
    let mut table = ServerTable::default();
    for index in 0..servers {
        table.insert(ServerRecord {
            name: format!("runner-{index}").as_str().into(),
            domain: format!("domain-{}", index % DOMAIN_COUNT).as_str().into(),
            pool: "runners".into(),
            versions: keys().collect(),
            latency_micros: 1_000,
            ..Default::default()
        });
    }
    let mut quality = QualityTable::default();
    for version in keys() {
        for _ in 0..100 {
            let cell = QualityCell {
                version: version.clone(),
                task: "advice".into(),
                ..Default::default()
            };
            let observation = QualityObservation {
                cell,
                rating: Some(0.85),
                latency: Some(Duration::from_millis(500)),
            };
            quality.observe(&observation, TimePoint::ZERO);
        }
    }
    RouteTables {
        domain: "domain-0".into(),
        servers: table,
        quality: Arc::new(quality),
        ..Default::default()
    }
}

fn bench_decision(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("plan_route");
    for versions in [2, 10] {
        for servers in [10, 100, 600] {
            let image = config_image(versions);
            let tables = route_tables(servers, versions);
            let request = RouteRequest {
                workspace: "desk".into(),
                task: "advice".into(),
                prompt_tokens: 400,
                max_output_tokens: 200,
                prefix_hash: 42,
                time_left: Duration::from_secs(30),
                idempotent: true,
                ..Default::default()
            };
            let id = BenchmarkId::new(format!("{versions} versions"), servers);
            let mut seed = 0;
            group.bench_function(id, |bencher| {
                bencher.iter(|| {
                    seed += 1;
                    let now = TimePoint::from_millis(1);
                    black_box(plan_route(&request, &image, &tables, now, seed))
                });
            });
        }
    }
    group.finish();
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    bench_decision(&mut criterion);
    criterion.final_summary();
}
