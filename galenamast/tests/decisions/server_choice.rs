//! Which backend server a decision takes.

use std::collections::BTreeMap;
use std::time::Duration;

use galenamast::state::{
    RefusalReason, RouteOutcome, RouteTables, ServerLifecycle, ServerLoad, ServerRecord, TimePoint,
    plan_route,
};

use crate::fixture::{image, request, server, tables};

fn chosen(tables: &RouteTables, prefix_hash: u64, seed: u64) -> String {
    let mut request = request();
    request.prefix_hash = prefix_hash;
    let decision = plan_route(&request, &image(), tables, TimePoint::ZERO, seed);
    match decision.outcome {
        RouteOutcome::Dispatch(target) => target.server.to_string(),
        other => format!("{other:?}"),
    }
}

fn loaded(name: &str, domain: &str, running: u32) -> ServerRecord {
    let load = ServerLoad {
        running,
        ..Default::default()
    };
    ServerRecord {
        load,
        ..server(name, domain)
    }
}

#[test]
fn the_own_domain_is_preferred_and_overflow_goes_to_the_nearest_domain() {
    let distances = BTreeMap::from([
        ("near".into(), Duration::from_micros(500)),
        ("far".into(), Duration::from_millis(5)),
    ]);
    let cases = [(0, 0, "own"), (99, 0, "near"), (99, 99, "far")];
    for (own, near, expected) in cases {
        let servers = [loaded("own", "here", own), loaded("near", "near", near)];
        let mut tables = tables(servers.into_iter().chain([loaded("far", "far", 0)]));
        tables.distances = distances.clone();
        for seed in 0..20 {
            assert_eq!(chosen(&tables, 0, seed), expected);
        }
    }
}

#[test]
fn requests_queue_for_full_servers_and_are_refused_without_a_server() {
    let full = tables([loaded("s1", "here", 99)]);
    let decision = plan_route(&request(), &image(), &full, TimePoint::ZERO, 1);
    assert_eq!(decision.outcome, RouteOutcome::Queue("runners".into()));
    let draining = ServerRecord {
        lifecycle: ServerLifecycle::Draining,
        ..server("s1", "here")
    };
    let decision = plan_route(
        &request(),
        &image(),
        &tables([draining]),
        TimePoint::ZERO,
        1,
    );
    assert_eq!(
        decision.outcome,
        RouteOutcome::Refuse(RefusalReason::NoServer)
    );
}

#[test]
fn a_suspect_server_is_chosen_only_without_a_live_one() {
    let suspect = || ServerRecord {
        lifecycle: ServerLifecycle::Suspect,
        ..server("s1", "here")
    };
    let both = tables([suspect(), server("s2", "there")]);
    assert!((0..20).all(|seed| chosen(&both, 0, seed) == "s2"));
    assert_eq!(chosen(&tables([suspect()]), 0, 1), "s1");
}

#[test]
fn a_degraded_server_is_avoided() {
    let mut servers: Vec<ServerRecord> = Vec::new();
    for index in 0..4 {
        let latency_micros = if index == 0 { 10_000 } else { 1_000 };
        let name = format!("s{index}");
        servers.push(ServerRecord {
            latency_micros,
            ..server(&name, "here")
        });
    }
    let tables = tables(servers);
    assert!((0..200).all(|seed| chosen(&tables, seed, seed) != "s0"));
}

#[test]
fn own_requests_in_flight_count_immediately() {
    let busy = server("s1", "here");
    let counter = busy.in_flight.clone();
    let tables = tables([busy, server("s2", "here")]);
    let count_chosen = |tables: &RouteTables| {
        (0..100)
            .filter(|seed| chosen(tables, 0, *seed) == "s1")
            .count()
    };
    assert!(count_chosen(&tables) > 20);
    (0..3).for_each(|_| counter.increment());
    // The busy server is chosen only if both random draws pick it: a quarter of the decisions.
    assert!(count_chosen(&tables) < 40);
    (0..9).for_each(|_| counter.increment());
    assert_eq!(count_chosen(&tables), 0);
}

#[test]
fn a_prefix_stays_on_its_server_until_that_server_is_overloaded() {
    let names = ["s1", "s2", "s3", "s4"];
    let idle = tables(names.map(|name| server(name, "here")));
    let preferred = chosen(&idle, 42, 0);
    assert!((0..50).all(|seed| chosen(&idle, 42, seed) == preferred));
    let overloaded =
        tables(names.map(|name| loaded(name, "here", if name == preferred { 6 } else { 0 })));
    let moved = (0..50)
        .filter(|seed| chosen(&overloaded, 42, *seed) != preferred)
        .count();
    assert!(moved > 40, "{moved}");
}
