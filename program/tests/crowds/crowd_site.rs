//! A host before a store and servers, and an ordinary caller.

use std::time::Duration;

use galenamast_platform_standin::{
    CallerRequest, RunPace, ServerKind, ServerOptions, StandInCaller, StandInServer, StandInStore,
};
use http::{Method, StatusCode};
use serde_json::{Value, json};

use crate::front_process::{FrontProcess, ProcessLimits};

/// Most tries until the host is ready.
const READY_TRIES: usize = 400;
/// Number of events of a stream, of some 50 bytes each.
const EVENTS: u64 = 8_000;
/// Time that a slow server takes.
const SLOW_TIME: Duration = Duration::from_millis(2_500);

/// A host before a store and servers.
pub(crate) struct CrowdSite {
    /// The host.
    pub(crate) host: FrontProcess,
    _servers: Vec<StandInServer>,
    _store: StandInStore,
}

impl CrowdSite {
    /// Starts a host and waits until it serves.
    pub(crate) async fn start(limits: ProcessLimits) -> Self {
        let store = StandInStore::start().await;
        store.put("config", "main", &configuration());
        let mut servers = Vec::new();
        for (id, service) in [
            ("d-1", "desk"),
            ("d-2", "desk"),
            ("e-1", "engines"),
            ("e-2", "engines"),
        ] {
            let server = StandInServer::start(ServerOptions {
                id: id.into(),
                service: service.into(),
                kind: if service == "desk" {
                    ServerKind::Plain
                } else {
                    ServerKind::Engine
                },
                slots: 2_000,
                pacing: Some(pace),
                keeps_bodies: false,
                ..ServerOptions::default()
            });
            let server = server.await;
            store.put("servers", id, &server.entry());
            servers.push(server);
        }
        let host = FrontProcess::start(&store, limits);
        let site = Self {
            host,
            _servers: servers,
            _store: store,
        };
        for number in 0..READY_TRIES {
            if site.send(&format!("ready-{number}")).await == Some(StatusCode::OK) {
                return site;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        panic!("the host is not ready");
    }

    /// Sends an ordinary request; panics unless it is answered.
    pub(crate) async fn ask(&self, when: &str) {
        let status = self.send(&when.replace(' ', "-")).await;
        assert_eq!(status, Some(StatusCode::OK), "{when}");
    }

    /// Returns whether the host tells a balancer that it is ready.
    pub(crate) async fn is_ready(&self) -> bool {
        let caller = StandInCaller {
            address: self.host.readiness(),
        };
        let probe = CallerRequest::new("probe", Method::GET, "/api/readiness");
        caller.send(probe).await.status == Some(StatusCode::OK)
    }

    /// Sends a request and returns its status.
    async fn send(&self, id: &str) -> Option<StatusCode> {
        let caller = StandInCaller {
            address: self.host.callers,
        };
        let request = CallerRequest {
            timeout: Duration::from_secs(20),
            ..CallerRequest::new(id, Method::GET, "/lookup/1")
        };
        let answer = caller.send(request).await;
        answer.status.filter(|_| answer.is_whole)
    }
}

/// Returns the course of a run.
fn pace(_seed: u64, _request: &str, path: &str) -> RunPace {
    let is_slow = path.starts_with("/slow/");
    RunPace {
        events: EVENTS,
        first_delay: if is_slow {
            SLOW_TIME
        } else {
            Duration::from_millis(1)
        },
        gap: Duration::ZERO,
        silence: None,
        break_after: None,
        failure: None,
    }
}

/// Returns the configuration.
fn configuration() -> Value {
    let route = |name: &str, kind: &str, service: &str| {
        json!({
            "name": name, "host": "desk.example", "path_prefix": format!("/{name}/"),
            "kind": kind, "timeout_ms": 20_000, "goal_ms": 2_000, "priority": 1,
            "service": service, "attempts": 2, "public": false, "resumable": true,
            "gap_goal_ms": 800, "sizes": [],
        })
    };
    let service =
        |name: &str| json!({"name": name, "health_path": "/health", "connection_limit": 4_000});
    json!({
        "version": 1,
        "routes": [
            route("lookup", "safe", "desk"), route("slow", "safe", "desk"),
            route("hold", "unsafe", "desk"), route("advice", "stream", "engines"),
        ],
        "services": [service("desk"), service("engines")],
        "limits": {"header_bytes": 16_384, "body_bytes": 4_194_304, "header_timeout_ms": 3_000,
                   "idle_timeout_ms": 15_000},
        "tenants": [{"name": "lodge", "keys": ["key-1"]}],
    })
}
