//! The servers of a run, also those that have left.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

use galenamast_platform_standin::{
    RunPace, ServedRun, ServerKind, ServerOptions, StandInServer, StandInStore,
};

use crate::config_plan::{ENGINE_SERVICES, PLAIN_SERVICES};

/// Number of engines.
const ENGINES: usize = 9;
/// Number of plain servers.
const PLAIN_SERVERS: usize = 4;
/// Number of servers of each service to which changes move routes.
const OTHER_SERVERS: usize = 3;
/// Version of the servers' software before any roll-out.
pub(crate) const FIRST_VERSION: &str = "v1";
/// Target of health checks.
pub(crate) const HEALTH_PATH: &str = "/health";

/// Returns the course of a run from a seed, a request and its path.
pub(crate) type RunPacing = fn(u64, &str, &str) -> RunPace;

/// What one server did with a request.
#[derive(Clone, Debug)]
pub(crate) struct ServerVisit {
    /// Identifier of the server.
    pub(crate) server: String,
    /// When the request was read.
    pub(crate) at: Instant,
    /// Whether it ran.
    pub(crate) ran: bool,
    /// When its run ended.
    pub(crate) ended: Option<Instant>,
    /// Whether the run ended before its response was complete.
    pub(crate) was_cancelled: bool,
    /// Whether the server itself broke the response off.
    pub(crate) broke_off: bool,
    /// Service of the server.
    pub(crate) service: String,
    /// Version of the server's software.
    pub(crate) version: String,
    /// What the server ran.
    pub(crate) run: Option<ServedRun>,
    /// Course that the run takes unless it is cancelled.
    pub(crate) pace: Option<RunPace>,
}

/// A server that is to be started.
#[derive(Clone, Debug)]
pub(crate) struct ServerSpec {
    /// Service of the server.
    pub(crate) service: &'static str,
    /// Whether it streams events.
    pub(crate) is_engine: bool,
    /// Version of its software.
    pub(crate) version: String,
    /// Fraction of its responses that are failures.
    pub(crate) failure_ratio: f64,
}

impl ServerSpec {
    /// Returns a sound server of the first version.
    fn first(service: &'static str, is_engine: bool) -> Self {
        Self {
            service,
            is_engine,
            version: FIRST_VERSION.to_owned(),
            failure_ratio: 0.0,
        }
    }
}

/// Starts and replaces servers, and collects what they saw.
#[derive(Debug)]
pub(crate) struct ServerPool {
    seed: u64,
    pacing: RunPacing,
    zones: Vec<String>,
    number: AtomicUsize,
    servers: Mutex<Vec<Arc<StandInServer>>>,
}

impl ServerPool {
    /// Starts the servers and registers them in the store.
    pub(crate) async fn start(
        seed: u64,
        pacing: RunPacing,
        zones: &[String],
        store: &StandInStore,
    ) -> Self {
        let pool = Self {
            seed,
            pacing,
            zones: zones.to_vec(),
            number: AtomicUsize::new(0),
            servers: Mutex::new(Vec::new()),
        };
        for number in 0..ENGINES + PLAIN_SERVERS {
            pool.add(number < ENGINES, store).await;
        }
        pool
    }

    /// Starts the servers of the services to which changes move routes.
    pub(crate) async fn add_others(&self, store: &StandInStore) {
        for (service, is_engine) in [(ENGINE_SERVICES[1], true), (PLAIN_SERVICES[1], false)] {
            for _ in 0..OTHER_SERVERS {
                self.start_server(ServerSpec::first(service, is_engine), store)
                    .await;
            }
        }
    }

    /// Starts a server of one of the services and registers it; returns its identifier.
    pub(crate) async fn add(&self, is_engine: bool, store: &StandInStore) -> String {
        let service = if is_engine {
            ENGINE_SERVICES[0]
        } else {
            PLAIN_SERVICES[0]
        };
        let spec = ServerSpec::first(service, is_engine);
        self.start_server(spec, store).await.id().to_owned()
    }

    /// Starts a server and registers it.
    pub(crate) async fn start_server(
        &self,
        spec: ServerSpec,
        store: &StandInStore,
    ) -> Arc<StandInServer> {
        let is_engine = spec.is_engine;
        let number = self.number.fetch_add(1, Ordering::SeqCst);
        let options = ServerOptions {
            id: format!("{}-{number}", if is_engine { "e" } else { "p" }),
            service: spec.service.to_owned(),
            version: spec.version,
            failure_ratio: spec.failure_ratio,
            zone: self.zones[number % self.zones.len()].clone(),
            kind: if is_engine {
                ServerKind::Engine
            } else {
                ServerKind::Plain
            },
            slots: if is_engine { 64 } else { 6 },
            seed: self.seed.wrapping_mul(1_000).wrapping_add(number as u64),
            pacing: Some(self.pacing),
            keeps_bodies: false,
            ..ServerOptions::default()
        };
        let server = Arc::new(StandInServer::start(options).await);
        store.put("servers", server.id(), &server.entry());
        let mut servers = self.servers.lock().unwrap_or_else(PoisonError::into_inner);
        servers.push(server.clone());
        server
    }

    /// Returns all servers that were started.
    pub(crate) fn servers(&self) -> Vec<Arc<StandInServer>> {
        self.servers
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Returns the addresses of all servers that were started.
    pub(crate) fn addresses(&self) -> Vec<SocketAddr> {
        let servers = self.servers();
        servers.iter().map(|server| server.address()).collect()
    }

    /// Returns the visits of each request, in order of time.
    pub(crate) fn visits(&self) -> BTreeMap<String, Vec<ServerVisit>> {
        let mut visits: BTreeMap<String, Vec<ServerVisit>> = BTreeMap::new();
        for server in self.servers() {
            let (runs, entry) = (server.runs(), server.entry());
            let text = |name: &str| entry[name].as_str().unwrap_or_default().to_owned();
            let mut runs_of: BTreeMap<&str, Vec<_>> = BTreeMap::new();
            for run in &runs {
                runs_of.entry(run.request.as_str()).or_default().push(run);
            }
            for arrival in server.arrivals() {
                let runs = runs_of.get_mut(arrival.request.as_str());
                let run = runs
                    .filter(|runs| arrival.ran && !runs.is_empty())
                    .map(|runs| runs.remove(0));
                let visit = ServerVisit {
                    server: server.id().to_owned(),
                    at: arrival.at,
                    ran: arrival.ran,
                    ended: run.and_then(|run| run.ended),
                    was_cancelled: run.is_some_and(|run| run.was_cancelled),
                    broke_off: run.is_some_and(|run| run.broke_off),
                    service: text("service"),
                    version: text("version"),
                    run: run.cloned(),
                    pace: run.map(|run| run.pace),
                };
                visits
                    .entry(arrival.request.clone())
                    .or_default()
                    .push(visit);
            }
        }
        for visits in visits.values_mut() {
            visits.sort_by_key(|visit| visit.at);
        }
        visits
    }
}
