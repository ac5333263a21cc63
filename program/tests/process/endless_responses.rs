//! Servers that answer without end: the memory of a host, and the requests of other callers.

use std::time::{Duration, Instant};

use galenamast_platform_standin::{
    ByteFault, CallerAnswer, CallerRequest, EndlessBytes, RunFailure, RunPace, ServerKind,
    ServerOptions, StandInCaller, StandInServer, StandInStore,
};
use http::{Method, StatusCode};
use serde_json::{Value, json};
use tokio::task::JoinSet;

use crate::front_process::{FrontProcess, ProcessLimits};

/// Memory that the host may use, in MB.
const MEMORY_MB: usize = 110;
/// Number of requests whose servers answer without end, at the same time.
const ENDLESS: usize = 80;
/// Number of requests whose servers are sound, sent one after the other beside these.
const SOUND: usize = 40;
/// Time limit of the routes.
const LIMIT: Duration = Duration::from_secs(3);
/// Time within which a sound request is answered; its server takes a few milliseconds.
const SOUND_TIME: Duration = Duration::from_secs(1);
/// Time beyond the limit within which a request is answered.
const ANSWER_SLACK: Duration = Duration::from_millis(500);
/// Maximum time until the host is ready.
const READY_TIME: Duration = Duration::from_secs(20);

/// Returns a configuration with a route to sound servers and one to servers without end.
fn configuration() -> Value {
    let route = |name: &str, service: &str| {
        json!({
            "name": name, "host": "desk.example", "path_prefix": format!("/{name}/"),
            "kind": "stream", "timeout_ms": LIMIT.as_millis(), "goal_ms": 1000, "priority": 1,
            "service": service, "attempts": 2, "public": true, "resumable": true,
            "gap_goal_ms": 800, "sizes": [],
        })
    };
    let service =
        |name: &str| json!({"name": name, "health_path": "/health", "connection_limit": 400});
    json!({
        "version": 1,
        "routes": [route("sound", "sound"), route("endless", "endless")],
        "services": [service("sound"), service("endless")],
        "limits": {"header_bytes": 16384, "body_bytes": 65536, "header_timeout_ms": 3000,
                   "idle_timeout_ms": 15000},
        "tenants": [],
    })
}

/// Returns the course of a run without end; the server's seed is the index of its kind.
fn endless_pace(seed: u64, _request: &str, _path: &str) -> RunPace {
    let kind = EndlessBytes::ALL[seed as usize];
    RunPace {
        events: 5,
        first_delay: Duration::from_millis(1),
        gap: Duration::from_millis(1),
        silence: None,
        break_after: None,
        failure: Some(RunFailure::Bytes(ByteFault::Endless(kind))),
    }
}

/// Sends a request and returns the answer with the time that it took.
async fn send(caller: StandInCaller, route: &str, number: usize) -> (CallerAnswer, Duration) {
    let path = format!("/{route}/1");
    let request = CallerRequest {
        timeout: LIMIT,
        ..CallerRequest::new(&format!("{route}-{number}"), Method::POST, &path)
    };
    let started = Instant::now();
    let answer = caller.send(request).await;
    (answer, started.elapsed())
}

/// Plays requests to servers of a kind beside sound ones.
async fn play(kind: EndlessBytes) {
    let store = StandInStore::start().await;
    store.put("config", "main", &configuration());
    let index = EndlessBytes::ALL.iter().position(|other| *other == kind);
    let seed = index.expect("the kind is listed") as u64;
    let mut servers = Vec::new();
    for (id, service) in [
        ("s-1", "sound"),
        ("s-2", "sound"),
        ("e-1", "endless"),
        ("e-2", "endless"),
    ] {
        let server = StandInServer::start(ServerOptions {
            id: id.into(),
            service: service.into(),
            kind: ServerKind::Engine,
            slots: 400,
            seed,
            pacing: (service == "endless").then_some(endless_pace),
            ..ServerOptions::default()
        });
        let server = server.await;
        store.put("servers", id, &server.entry());
        servers.push(server);
    }
    let limits = ProcessLimits {
        memory_mb: MEMORY_MB,
        descriptors: 4_100,
    };
    let host = FrontProcess::start(&store, limits);
    let caller = StandInCaller {
        address: host.callers,
    };
    let started = Instant::now();
    while send(caller, "sound", started.elapsed().as_millis() as usize)
        .await
        .0
        .status
        != Some(StatusCode::OK)
    {
        assert!(started.elapsed() < READY_TIME, "the host is not ready");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let mut endless = JoinSet::new();
    for number in 0..ENDLESS {
        endless.spawn(send(caller, "endless", number));
    }
    for number in 0..SOUND {
        let (answer, took) = send(caller, "sound", 100_000 + number).await;
        assert_eq!(
            answer.status,
            Some(StatusCode::OK),
            "{kind:?}: sound request {number}"
        );
        assert!(
            answer.is_whole && took < SOUND_TIME,
            "{kind:?}: {number} took {took:?}"
        );
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    while let Some(ended) = endless.join_next().await {
        let (answer, took) = ended.expect("the caller does not panic");
        assert!(answer.status.is_some(), "{kind:?}: no answer");
        assert!(
            took < LIMIT + ANSWER_SLACK,
            "{kind:?}: answered after {took:?}"
        );
    }
    let peak = host.peak_bytes() / 1_000_000;
    println!("{kind:?}: peak of {peak} MB");
    assert!(peak < MEMORY_MB, "{kind:?}: {peak} MB");
}

// A host ran out of memory by blank lines, and served nothing else while interim heads or zeros in the size
// of a chunk arrived.
#[tokio::test(flavor = "multi_thread")]
async fn endless_responses_use_up_neither_memory_nor_processor() {
    for kind in EndlessBytes::ALL {
        play(kind).await;
    }
}
