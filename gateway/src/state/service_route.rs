//! Routes and the services that they lead to.

use std::sync::Arc;
use std::time::Duration;

/// What may be repeated on a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// Idempotent requests with a whole answer.
    Safe,
    /// Requests that run at most once.
    Unsafe,
    /// Requests that are answered by a series of events.
    Stream,
}

/// A service that a route leads to, with its weight.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteTarget {
    /// Name of the service.
    pub service: Arc<str>,
    /// Weight among the targets of the route.
    pub weight: u32,
}

/// A route.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceRoute {
    /// Name of the route.
    pub name: Arc<str>,
    /// Host name in lower case.
    pub host: Arc<str>,
    /// Prefix of the path; starts and ends with a slash.
    pub path_prefix: Arc<str>,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time for which a caller is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer earns its full worth.
    pub goal: Duration,
    /// Longest pause between events of an answer that is on time.
    pub gap_goal: Option<Duration>,
    /// Rank of the route; 0 is the most urgent.
    pub priority: u8,
    /// Greatest number of servers that may run one request.
    pub attempts: u32,
    /// Whether callers need no credential.
    pub public: bool,
    /// Whether a broken answer may go on at another server.
    pub resumable: bool,
    /// Models to choose from, smallest first; empty if the caller names the model.
    pub models: Vec<Arc<str>>,
    /// Services, of which one serves a request.
    pub targets: Vec<RouteTarget>,
}

impl ServiceRoute {
    /// Returns whether a request may be sent to a second server after it may have run.
    pub fn is_retryable(&self) -> bool {
        match self.kind {
            RouteKind::Safe => true,
            RouteKind::Unsafe => false,
            RouteKind::Stream => self.resumable,
        }
    }

    /// Picks a target by weight; `point` is a uniformly distributed number.
    pub fn pick_target(&self, point: u64) -> Option<&RouteTarget> {
        let total: u64 = self
            .targets
            .iter()
            .map(|target| u64::from(target.weight))
            .sum();
        if total == 0 {
            return self.targets.first();
        }
        let mut rest = point % total;
        self.targets.iter().find(|target| {
            let weight = u64::from(target.weight);
            let found = rest < weight;
            rest = rest.saturating_sub(weight);
            found
        })
    }
}

/// A model that the engines of a service run.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineModel {
    /// Name of the model.
    pub name: Arc<str>,
    /// Price of 1,000 generated tokens.
    pub cost: f64,
}

/// A service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSpec {
    /// Name of the service.
    pub name: Arc<str>,
    /// Requests that one of its engines runs at once; `None` if they are no engines.
    pub engine_slots: Option<u32>,
    /// Models of its engines.
    pub models: Vec<EngineModel>,
}
