//! Routes and the services behind them.

use std::sync::Arc;
use std::time::Duration;

use galenamast::state::TimePoint;

/// Time before the caller's deadline at which the response is sent, so that it arrives in time.
const ANSWER_MARGIN: Duration = Duration::from_millis(15);

/// Returns when a caller must be answered whose request arrived at `started_at` and who waits for `allowed`.
pub fn answer_deadline(allowed: Duration, started_at: TimePoint) -> TimePoint {
    started_at + allowed.saturating_sub(ANSWER_MARGIN)
}

/// Kind of requests on a route, which determines whether they may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// Idempotent requests that are answered as a whole.
    Safe,
    /// Requests that must run at most once.
    Unsafe,
    /// Requests that are answered by a stream of events.
    Stream,
}

/// A service behind a route, with its weight.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteTarget {
    /// Name of the service.
    pub service: Arc<str>,
    /// Relative weight among the targets of the route.
    pub weight: u32,
}

/// A route from a host name and path prefix to services.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceRoute {
    /// Name of the route.
    pub name: Arc<str>,
    /// Host name in lower case.
    pub host: Arc<str>,
    /// Path prefix, which starts and ends with a slash.
    pub path_prefix: Arc<str>,
    /// Kind of the route's requests.
    pub kind: RouteKind,
    /// Longest time for which a caller waits for an answer.
    pub timeout: Duration,
    /// Time within which an answer has its full value.
    pub goal: Duration,
    /// Longest pause between the events of a stream that is on time; `None` if there is no such
    /// goal.
    pub gap_goal: Option<Duration>,
    /// Priority of the route; 0 is the most urgent.
    pub priority: u8,
    /// Greatest number of servers that may run one request.
    pub attempts: u32,
    /// Whether callers need no credential.
    pub public: bool,
    /// Whether another server may continue a stream that broke off.
    pub resumable: bool,
    /// Models to choose from, smallest first; empty if the caller names the model.
    pub models: Vec<Arc<str>>,
    /// Services behind the route; each request goes to one of them.
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

    /// Returns when a request must be answered that arrived at `started_at`. `time_allowed` is the time for
    /// which the caller waits, if it states one.
    pub fn deadline(&self, time_allowed: Option<Duration>, started_at: TimePoint) -> TimePoint {
        let allowed = time_allowed.unwrap_or(self.timeout).min(self.timeout);
        answer_deadline(allowed, started_at)
    }

    /// Picks a target by weight, given a uniformly distributed random number.
    pub fn pick_target(&self, random: u64) -> Option<&RouteTarget> {
        let total: u64 = self
            .targets
            .iter()
            .map(|target| u64::from(target.weight))
            .sum();
        if total == 0 {
            return self.targets.first();
        }
        let mut remaining = random % total;
        self.targets.iter().find(|target| {
            let weight = u64::from(target.weight);
            let found = remaining < weight;
            remaining = remaining.saturating_sub(weight);
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

/// What the servers of a service tolerate for a time after their start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdSpec {
    /// Time after a start for which a server is cold.
    pub duration: Duration,
    /// Requests per second that a cold server tolerates, of all hosts together.
    pub rate: f64,
}

/// A service and what its servers run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceSpec {
    /// Name of the service.
    pub name: Arc<str>,
    /// Number of requests that each engine runs concurrently; `None` if the service has no engines.
    pub engine_slots: Option<u32>,
    /// Models that its engines run.
    pub models: Vec<EngineModel>,
    /// Tokens that the requests of an engine and its cache share; `None` if that is not stated.
    pub engine_tokens: Option<u64>,
    /// What its servers tolerate after a start; `None` if they are never cold.
    pub cold: Option<ColdSpec>,
}
