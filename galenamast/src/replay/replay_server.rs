//! Simulated backend server with slots, a queue and a slowdown factor.

use std::collections::{BTreeMap, VecDeque};

use crate::replay::trace_format::TraceServer;
use crate::state::ServerLoad;

/// A request that runs or waits on a server.
#[derive(Clone, Debug)]
pub(crate) struct ServerJob {
    /// Number of the attempt.
    pub(crate) attempt: u64,
    /// Time that a healthy server needs for it, in milliseconds.
    pub(crate) service_ms: u64,
}

/// A simulated backend server.
#[derive(Clone, Debug)]
pub(crate) struct ReplayServer {
    /// Description from the trace.
    pub(crate) spec: TraceServer,
    /// Slowdown factor; 1 for a healthy server.
    pub(crate) factor: f64,
    /// Whether the server is up.
    pub(crate) up: bool,
    running: BTreeMap<u64, ()>,
    waiting: VecDeque<ServerJob>,
}

/// A started job and the time at which it ends, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StartedJob {
    pub(crate) attempt: u64,
    pub(crate) ends_ms: u64,
}

impl ReplayServer {
    /// Creates a healthy server.
    pub(crate) fn new(spec: TraceServer) -> Self {
        Self {
            spec,
            factor: 1.0,
            up: true,
            running: BTreeMap::new(),
            waiting: VecDeque::new(),
        }
    }

    /// Queues a job, and starts the next one if a slot is free.
    pub(crate) fn accept(&mut self, job: ServerJob, now_ms: u64) -> Option<StartedJob> {
        self.waiting.push_back(job);
        self.start_next(now_ms)
    }

    /// Ends a job and starts the next one.
    pub(crate) fn finish(&mut self, attempt: u64, now_ms: u64) -> Option<StartedJob> {
        self.running.remove(&attempt);
        self.start_next(now_ms)
    }

    /// Returns whether an attempt is running.
    pub(crate) fn runs(&self, attempt: u64) -> bool {
        self.running.contains_key(&attempt)
    }

    /// Starts the next waiting job if a slot is free.
    fn start_next(&mut self, now_ms: u64) -> Option<StartedJob> {
        if self.running.len() >= self.spec.slots as usize {
            return None;
        }
        let job = self.waiting.pop_front()?;
        self.running.insert(job.attempt, ());
        Some(StartedJob {
            attempt: job.attempt,
            ends_ms: now_ms + (job.service_ms as f64 * self.factor) as u64,
        })
    }

    /// Crashes the server; returns the attempts that were running or waiting.
    pub(crate) fn crash(&mut self) -> Vec<u64> {
        self.up = false;
        let mut lost: Vec<u64> = std::mem::take(&mut self.running).into_keys().collect();
        lost.extend(self.waiting.drain(..).map(|job| job.attempt));
        lost
    }

    /// Returns the load that the server reports.
    pub(crate) fn load(&self) -> ServerLoad {
        ServerLoad {
            running: self.running.len() as u32,
            waiting: self.waiting.len() as u32,
            cache_used: 0,
        }
    }
}
