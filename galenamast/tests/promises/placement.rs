//! Placement keeps the minimum number of replicas, loads before it unloads and moves few replicas.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use proptest::collection::vec;
use proptest::prelude::any;
use proptest::test_runner::TestCaseError;

use galenamast::coordination::{
    MoveKind, MoveReason, PlacementPlan, PlacementServer, PlacementSettings, VersionDemand,
    plan_placement,
};
use galenamast::state::{
    ConfigImage, ModelSpec, PoolSpec, RolloutSpec, ServerLifecycle, VersionKey, VersionSpec,
    VersionStage,
};

use crate::support::property_runner;

/// Versions of the model `fit`; each takes half of the memory of an engine.
const VERSIONS: [&str; 3] = ["v1", "v2", "v3"];

pub(crate) fn image(stages: [VersionStage; 3], minimum: u32) -> ConfigImage {
    let pool = PoolSpec {
        name: "advice".into(),
        memory_mib: 100,
        slots_per_server: 10,
        ..Default::default()
    };
    let version = |stage| VersionSpec {
        pool: "advice".into(),
        weights_mib: 50,
        min_replicas: minimum,
        stage,
        ..Default::default()
    };
    let versions = VERSIONS.iter().zip(stages);
    let model = ModelSpec {
        name: "fit".into(),
        versions: versions
            .map(|(name, stage)| ((*name).into(), version(stage)))
            .collect(),
    };
    ConfigImage {
        pools: BTreeMap::from([("advice".into(), Arc::new(pool))]),
        models: BTreeMap::from([("fit".into(), Arc::new(model))]),
        ..Default::default()
    }
}

fn key(version: &str) -> VersionKey {
    VersionKey::new("fit", version)
}

fn version_set(versions: &[&str]) -> BTreeSet<VersionKey> {
    versions.iter().map(|version| key(version)).collect()
}

fn server(name: &str, loaded: &[&str]) -> PlacementServer {
    PlacementServer {
        name: name.into(),
        pool: "advice".into(),
        lifecycle: ServerLifecycle::Live,
        loaded: version_set(loaded),
        ordered: version_set(loaded),
        ..Default::default()
    }
}

const ESTABLISHED: [VersionStage; 3] = [VersionStage::Established; 3];
const TWO_ESTABLISHED: [VersionStage; 3] = [
    VersionStage::Established,
    VersionStage::Established,
    VersionStage::Withdrawn,
];

fn plan(image: &ConfigImage, servers: &[PlacementServer], demand: &VersionDemand) -> PlacementPlan {
    plan_placement(image, servers, demand, &PlacementSettings::default())
}

#[test]
fn a_lost_engine_is_replaced_and_a_stable_placement_is_unchanged() {
    let image = image(TWO_ESTABLISHED, 2);
    let mut servers = [
        server("a", &["v1", "v2"]),
        server("b", &["v1", "v2"]),
        server("c", &[]),
    ];
    assert_eq!(plan(&image, &servers, &VersionDemand::new()).moves, []);
    servers[0].lifecycle = ServerLifecycle::Gone;
    let repaired = plan(&image, &servers, &VersionDemand::new());
    assert_eq!(repaired.desired[&"c".into()], version_set(&["v1", "v2"]));
    assert!(
        repaired
            .moves
            .iter()
            .all(|change| change.reason == MoveReason::BelowMinimum)
    );
}

#[test]
fn demand_adds_replicas_where_there_is_room() {
    let demand = VersionDemand::from([(key("v1"), 14.1)]);
    let servers = [
        server("a", &["v1", "v2"]),
        server("b", &[]),
        server("c", &[]),
    ];
    let grown = plan(&image(TWO_ESTABLISHED, 1), &servers, &demand);
    assert_eq!(grown.replicas[&key("v1")].needed, 3);
    assert_eq!(grown.replicas[&key("v1")].planned, 3);
    assert!(!grown.has_capacity(&key("v1")));
}

#[test]
fn withdrawn_versions_are_unloaded() {
    let shrunk = plan(
        &image(TWO_ESTABLISHED, 1),
        &[server("a", &["v1", "v3"]), server("b", &["v2"])],
        &VersionDemand::new(),
    );
    assert_eq!(shrunk.desired[&"a".into()], version_set(&["v1"]));
    assert_eq!(shrunk.moves[0].reason, MoveReason::Withdrawn);
}

#[test]
fn the_only_serving_replica_is_not_unloaded_to_make_room() {
    let image = image(ESTABLISHED, 1);
    let mut servers = [server("a", &["v1", "v2"])];
    assert_eq!(plan(&image, &servers, &VersionDemand::new()).moves, []);
    // A replica that is still being loaded elsewhere does not count.
    let mut loading = server("b", &[]);
    loading.ordered = version_set(&["v1", "v2"]);
    servers = [servers[0].clone()];
    let both = [servers[0].clone(), loading];
    assert_eq!(plan(&image, &both, &VersionDemand::new()).moves, []);
    // Once it serves, one of the two makes room.
    let served = [servers[0].clone(), server("b", &["v1", "v2"])];
    let moved = plan(&image, &served, &VersionDemand::new());
    let kinds: Vec<MoveKind> = moved.moves.iter().map(|change| change.kind).collect();
    assert_eq!(kinds, [MoveKind::Unload, MoveKind::Load]);
}

#[test]
fn loads_stay_within_the_limit_of_the_weight_store() {
    let image = image(ESTABLISHED, 2);
    let empty = ["a", "b", "c"].map(|name| server(name, &[]));
    let first = plan(&image, &empty, &VersionDemand::new());
    assert_eq!(first.moves.len(), 2);
    let mut busy = empty.clone();
    busy[0].ordered = version_set(&["v1", "v2"]);
    assert_eq!(plan(&image, &busy, &VersionDemand::new()).moves, []);
}

#[test]
fn a_rollout_gets_the_replicas_of_its_next_step_first() {
    let stages = [
        VersionStage::Established,
        VersionStage::RollingOut,
        VersionStage::Withdrawn,
    ];
    let mut image = image(stages, 1);
    let rollout = RolloutSpec {
        name: "r".into(),
        model: "fit".into(),
        candidate: "v2".into(),
        baseline: "v1".into(),
        step_shares: vec![10, 500],
        ..Default::default()
    };
    image.rollouts.insert("r".into(), Arc::new(rollout));
    let demand = VersionDemand::from([(key("v1"), 28.0)]);
    let servers = ["a", "b", "c", "d"].map(|name| server(name, &["v1"]));
    let grown = plan(&image, &servers, &demand);
    assert_eq!(grown.replicas[&key("v2")].needed, 2);
    assert_eq!(grown.replicas[&key("v2")].planned, 2);
}

#[test]
fn a_replica_is_relocated_to_make_room_for_another_version() {
    let image = image(ESTABLISHED, 2);
    let servers = [
        server("a", &["v1", "v2"]),
        server("b", &["v1", "v2"]),
        server("c", &["v3"]),
    ];
    let moved = plan(&image, &servers, &VersionDemand::new());
    assert_eq!(moved.moves.len(), 1);
    assert_eq!(moved.moves[0].reason, MoveReason::Relocation);
    assert_eq!(moved.moves[0].server, "c".into());
}

#[test]
fn the_minimum_of_one_version_takes_precedence_over_the_demand_of_another() {
    let image = image(ESTABLISHED, 2);
    let demand = VersionDemand::from([(key("v2"), 15.0)]);
    let servers = [
        server("a", &["v1", "v2"]),
        server("b", &["v1", "v2"]),
        server("c", &["v2", "v3"]),
    ];
    let moved = plan(&image, &servers, &demand);
    assert_eq!(moved.replicas[&key("v3")].planned, 2);
    assert_eq!(moved.replicas[&key("v2")].planned, 2);
}

/// Applies plans until no moves remain, and checks each step.
fn converge(seeds: &[(u8, u8)], minimum: u32, demand: &VersionDemand) -> Result<(), TestCaseError> {
    let image = image(ESTABLISHED, minimum);
    let settings = PlacementSettings::default();
    let mut servers: Vec<PlacementServer> = Vec::new();
    for (index, (mask, _)) in seeds.iter().enumerate() {
        let loaded: Vec<&str> = VERSIONS
            .iter()
            .enumerate()
            .filter(|(bit, _)| mask >> bit & 1 == 1)
            .map(|(_, version)| *version)
            .take(2)
            .collect();
        servers.push(server(&index.to_string(), &loaded));
    }
    for _ in 0..40 {
        let before: BTreeMap<VersionKey, usize> = count_loaded(&servers);
        let next = plan_placement(&image, &servers, demand, &settings);
        let loads = next
            .moves
            .iter()
            .filter(|change| change.kind == MoveKind::Load)
            .count();
        check(
            loads <= settings.max_loads,
            "more concurrent loads than the weight store allows",
        )?;
        if next.moves.is_empty() {
            return check_converged(&servers, minimum);
        }
        for server in &mut servers {
            let desired = &next.desired[&server.name];
            check(
                desired.len() <= 2,
                "an engine is ordered to load more versions than it can hold",
            )?;
            server.loaded = &server.loaded & desired;
            server.ordered.clone_from(desired);
        }
        let during = count_loaded(&servers);
        for (version, count) in before {
            let kept = count.min(minimum as usize);
            check(
                during.get(&version).copied().unwrap_or(0) >= kept,
                "a version fell below its minimum",
            )?;
        }
        for server in &mut servers {
            server.loaded = server.ordered.clone();
        }
    }
    Err(TestCaseError::fail("the placement does not converge"))
}

fn count_loaded(servers: &[PlacementServer]) -> BTreeMap<VersionKey, usize> {
    let mut counts = BTreeMap::new();
    for version in servers.iter().flat_map(|server| &server.loaded) {
        *counts.entry(version.clone()).or_default() += 1;
    }
    counts
}

/// Checks that every version has its minimum of replicas if the engines have room for them.
fn check_converged(servers: &[PlacementServer], minimum: u32) -> Result<(), TestCaseError> {
    let counts = count_loaded(servers);
    let room =
        servers.len() * 2 >= VERSIONS.len() * minimum as usize && servers.len() >= minimum as usize;
    for version in VERSIONS {
        let count = counts.get(&key(version)).copied().unwrap_or(0);
        check(
            !room || count >= minimum as usize,
            "a version stays below its minimum",
        )?;
    }
    Ok(())
}

fn check(holds: bool, failure: &str) -> Result<(), TestCaseError> {
    if holds {
        Ok(())
    } else {
        Err(TestCaseError::fail(failure.to_owned()))
    }
}

#[test]
fn any_placement_converges_without_falling_below_the_minimum() {
    let strategy = (vec((0..8u8, any::<u8>()), 1..8), 0..3u32, vec(0..40u8, 3));
    let outcome = property_runner(2_000).run(&strategy, |(seeds, minimum, demand)| {
        let demand = VERSIONS.iter().zip(demand);
        let demand = demand
            .map(|(version, value)| (key(version), f64::from(value)))
            .collect();
        converge(&seeds, minimum, &demand)
    });
    outcome.unwrap();
}
