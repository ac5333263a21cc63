//! Trace format: a header and then one event per line, each as JSON.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::state::{
    ConfigImage, DomainName, HostName, PoolName, RolloutName, ServerName, TaskName, VersionKey,
    WorkspaceName,
};

/// Name of the format in the header.
pub const FORMAT_NAME: &str = "galenamast-trace";
/// Version of the format that is written and read; other versions are rejected.
pub const FORMAT_VERSION: u32 = 1;

/// A whole trace.
#[derive(Clone, Debug, PartialEq)]
pub struct Trace {
    /// Header, the first line.
    pub header: TraceHeader,
    /// Events, one per further line, ordered by time.
    pub events: Vec<TraceEvent>,
}

/// Header of a trace, its first line.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TraceHeader {
    /// Name of the format, [`FORMAT_NAME`].
    pub format: String,
    /// Version of the format, [`FORMAT_VERSION`].
    pub version: u32,
    /// Name of the workload that the trace was synthesised for.
    pub workload: String,
    /// Seed of the trace's synthesis and of the replay's random choices.
    pub seed: u64,
    /// Duration of the trace, in milliseconds.
    pub duration_ms: u64,
    /// Duration of the warm-up, whose answers are not measured, in milliseconds.
    pub warm_up_ms: u64,
    /// Length of the windows over which mean quality is compared with the targets, in milliseconds.
    pub window_ms: u64,
    /// Time between digests that an entry host sends, in milliseconds.
    pub digest_period_ms: u64,
    /// Time until a digest reaches the other entry hosts, in milliseconds.
    pub digest_lag_ms: u64,
    /// Configuration at the start of the trace.
    pub image: ConfigImage,
    /// Entry hosts; requests refer to them by index.
    pub hosts: Vec<TraceHost>,
    /// Backend servers.
    pub servers: Vec<TraceServer>,
    /// Outcomes that a replay must achieve.
    #[serde(default)]
    pub outcomes: ExpectedOutcomes,
}

/// An entry host of a trace.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TraceHost {
    /// Name of the host.
    pub name: HostName,
    /// Failure domain of the host.
    pub domain: DomainName,
}

/// A backend server of a trace.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TraceServer {
    /// Name of the server.
    pub name: ServerName,
    /// Failure domain of the server.
    pub domain: DomainName,
    /// Pool of the server.
    pub pool: PoolName,
    /// Number of requests that the server runs concurrently.
    pub slots: u32,
    /// Versions that the server has loaded.
    pub versions: Vec<VersionKey>,
}

/// Outcomes that a replay must achieve. Those that are `None` are not checked.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ExpectedOutcomes {
    /// Whether the mean quality of each task must meet its target in every window after the
    /// warm-up.
    pub quality_in_every_window: Option<bool>,
    /// Largest cost relative to the cheapest static mix that meets the target of each task.
    pub max_cost_ratio: Option<f64>,
    /// Largest number of attempts on versions after they turned bad.
    pub max_exposure: Option<u64>,
    /// Largest number of brakes on versions that had not turned bad.
    pub max_false_brakes: Option<u64>,
    /// Largest 99th percentile of latency, in milliseconds.
    pub max_p99_ms: Option<u64>,
    /// Largest number of requests without an answer.
    pub max_refused: Option<u64>,
}

/// An event, one line after the header.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TraceEvent {
    /// Time of the event, in milliseconds from the start of the trace.
    pub at_ms: u64,
    /// Kind of the event, with its details.
    #[serde(flatten)]
    pub kind: EventKind,
}

/// Kind of an event.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum EventKind {
    /// A request arrives at an entry host.
    Request(TraceRequest),
    /// A component fails or recovers.
    Fault(FaultEvent),
    /// A roll-out moves to a step.
    RolloutStep {
        /// Name of the roll-out.
        rollout: RolloutName,
        /// Index of the step.
        step: u32,
    },
}

/// A request of a trace.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TraceRequest {
    /// Number of the request, unique within the trace.
    pub id: u64,
    /// Index of the receiving entry host in the header.
    pub host: usize,
    /// Workspace of the caller.
    pub workspace: WorkspaceName,
    /// Task of the request.
    pub task: TaskName,
    /// Number of the caller's session, if any. Requests of a session keep the version of the first
    /// one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub session: Option<u64>,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// Length of the answer, in tokens.
    pub output_tokens: u32,
    /// Hash of the start of the prompt.
    pub prefix: u64,
    /// Time from the request's arrival until the caller's deadline, in milliseconds.
    pub deadline_ms: u64,
    /// Whether the request may be run more than once.
    pub idempotent: bool,
    /// Whether the answer is streamed.
    pub streamed: bool,
    /// Answer that each version would give, by `model@version`.
    pub answers: BTreeMap<String, TraceAnswer>,
}

/// Answer that a version would give to a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TraceAnswer {
    /// Quality of the answer, from 0 to 1.
    pub quality: f64,
    /// Rating that the rating service would give, from 0 to 1.
    pub rating: f64,
    /// Time until the rating is known, in milliseconds; `None` if the answer is not sampled for
    /// rating.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rating_lag_ms: Option<u64>,
    /// Time that a healthy server needs for the request, in milliseconds.
    pub service_ms: u64,
}

/// Failure or recovery of a component.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "fault", rename_all = "snake_case")]
pub enum FaultEvent {
    /// A version turns bad. The answers of later requests show its lower quality.
    VersionTurns {
        /// Version that turns bad.
        version: VersionKey,
    },
    /// A server gets slower, or is healthy again.
    ServerSlow {
        /// Name of the server.
        server: ServerName,
        /// Factor on the time of each request; 1 for a healthy server.
        factor: f64,
    },
    /// A server crashes. Its running and waiting requests are lost.
    ServerDown {
        /// Name of the server.
        server: ServerName,
    },
    /// A crashed server is up again.
    ServerUp {
        /// Name of the server.
        server: ServerName,
    },
    /// The platform becomes unavailable: the configuration is not confirmed, and roll-outs do not
    /// advance.
    PlatformOut,
    /// The platform is available again.
    PlatformBack,
    /// A failure domain is partitioned from the others.
    DomainCut {
        /// Name of the failure domain.
        domain: DomainName,
    },
    /// A failure domain is connected again.
    DomainHealed {
        /// Name of the failure domain.
        domain: DomainName,
    },
}
