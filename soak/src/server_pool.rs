//! The servers of a run, also those that have left.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

use galenamast_platform_standin::{
    RunPace, ServerKind, ServerOptions, StandInServer, StandInStore,
};

use crate::platform_config::{ENGINE_SERVICE, PLAIN_SERVICE};

/// Number of engines.
const ENGINES: usize = 9;
/// Number of plain servers.
const PLAIN_SERVERS: usize = 4;

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
    /// Course that the run takes unless it is cancelled.
    pub(crate) pace: Option<RunPace>,
}

/// Starts and replaces servers, and collects what they saw.
#[derive(Debug)]
pub(crate) struct ServerPool {
    seed: u64,
    pacing: RunPacing,
    zones: Vec<String>,
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
            servers: Mutex::new(Vec::new()),
        };
        for number in 0..ENGINES + PLAIN_SERVERS {
            pool.add(number < ENGINES, store).await;
        }
        pool
    }

    /// Starts a server of one of the services and registers it; returns its identifier.
    pub(crate) async fn add(&self, is_engine: bool, store: &StandInStore) -> String {
        let number = self.servers().len();
        let options = ServerOptions {
            id: format!("{}-{number}", if is_engine { "e" } else { "p" }),
            service: if is_engine {
                ENGINE_SERVICE
            } else {
                PLAIN_SERVICE
            }
            .to_owned(),
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
        let id = server.id().to_owned();
        let mut servers = self.servers.lock().unwrap_or_else(PoisonError::into_inner);
        servers.push(server);
        id
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
            let runs = server.runs();
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
