//! A small configuration with two established versions and one under roll-out.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use galenamast::state::{
    ConfigGeneration, ConfigImage, ModelSpec, PoolSpec, QualityCell, QualityObservation,
    RolloutSpec, RouteRequest, RouteTables, ServerRecord, ServerTable, TimePoint, VersionKey,
    VersionSpec, VersionStage, VersionVerdict, WorkspaceSpec, plan_route,
};
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

/// Returns a runner for property tests with a fixed seed.
pub(crate) fn runner() -> TestRunner {
    let config = Config {
        cases: 64,
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]))
}

pub(crate) fn key(version: &str) -> VersionKey {
    VersionKey::new("assist", version)
}

/// Returns a configuration with the versions `small` (cheap, prior quality 0.7), `large`
/// (expensive, 0.95) and `next` (being rolled out against `large`).
pub(crate) fn image() -> ConfigImage {
    let spec = |prior_quality, price, stage| VersionSpec {
        pool: "runners".into(),
        input_price: price,
        output_price: price,
        prior_quality,
        stage,
        ..Default::default()
    };
    let model = ModelSpec {
        name: "assist".into(),
        versions: BTreeMap::from([
            ("small".into(), spec(0.7, 100, VersionStage::Established)),
            ("large".into(), spec(0.95, 1_000, VersionStage::Established)),
            ("next".into(), spec(0.95, 1_000, VersionStage::RollingOut)),
        ]),
    };
    let mut workspace = WorkspaceSpec {
        name: "desk".into(),
        cascades: false,
        ..Default::default()
    };
    let names = model.versions.keys().cloned().collect();
    workspace.allowed.insert("assist".into(), names);
    let rollout = RolloutSpec {
        model: "assist".into(),
        candidate: "next".into(),
        baseline: "large".into(),
        step: 1,
        ..Default::default()
    };
    let pool = PoolSpec {
        slots_per_server: 4,
        ..Default::default()
    };
    ConfigImage {
        generation: ConfigGeneration(1),
        workspaces: BTreeMap::from([("desk".into(), Arc::new(workspace))]),
        models: BTreeMap::from([("assist".into(), Arc::new(model))]),
        pools: BTreeMap::from([("runners".into(), Arc::new(pool))]),
        rollouts: BTreeMap::from([("roll".into(), Arc::new(rollout))]),
        ..Default::default()
    }
}

pub(crate) fn edit_workspace(image: &mut ConfigImage, edit: impl Fn(&mut WorkspaceSpec)) {
    let workspace = image
        .workspaces
        .get_mut(&"desk".into())
        .expect("the workspace exists");
    edit(Arc::make_mut(workspace));
}

pub(crate) fn edit_version(image: &mut ConfigImage, name: &str, edit: impl Fn(&mut VersionSpec)) {
    let model = image
        .models
        .get_mut(&"assist".into())
        .expect("the model exists");
    let model = Arc::make_mut(model);
    edit(
        model
            .versions
            .get_mut(&name.into())
            .expect("the version exists"),
    );
}

pub(crate) fn server(name: &str, domain: &str) -> ServerRecord {
    ServerRecord {
        name: name.into(),
        domain: domain.into(),
        pool: "runners".into(),
        versions: ["small", "large", "next"].into_iter().map(key).collect(),
        ..Default::default()
    }
}

pub(crate) fn tables(servers: impl IntoIterator<Item = ServerRecord>) -> RouteTables {
    let mut table = ServerTable::default();
    for server in servers {
        table.insert(server);
    }
    RouteTables {
        domain: "here".into(),
        servers: table,
        ..Default::default()
    }
}

pub(crate) fn request() -> RouteRequest {
    RouteRequest {
        workspace: "desk".into(),
        task: "advice".into(),
        prompt_tokens: 100,
        max_output_tokens: 100,
        time_left: Duration::from_secs(60),
        idempotent: true,
        ..Default::default()
    }
}

/// Records `count` equal ratings of a version in the quality table.
pub(crate) fn rate(tables: &mut RouteTables, version: &str, rating: f64, count: usize) {
    let observation = QualityObservation {
        cell: QualityCell {
            version: key(version),
            task: "advice".into(),
            ..Default::default()
        },
        rating: Some(rating),
        latency: Some(Duration::from_millis(500)),
    };
    for _ in 0..count {
        Arc::make_mut(&mut tables.quality).observe(&observation, TimePoint::ZERO);
    }
}

/// Plans a route and returns the verdict on one version.
pub(crate) fn verdict(
    version: &str,
    request: &RouteRequest,
    image: &ConfigImage,
    tables: &RouteTables,
    seed: u64,
) -> VersionVerdict {
    let decision = plan_route(request, image, tables, TimePoint::ZERO, seed);
    let mut reports = decision.candidates.into_iter();
    let report = reports.find(|report| report.version == key(version));
    report.expect("each allowed version is reported").verdict
}
