//! The trace format: a header line and one event a line, as JSON.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::state::{
    ConfigImage, DomainName, HostName, PoolName, RolloutName, ServerName, TaskName, VersionKey,
    WorkspaceName,
};

/// Name of the format in the header.
pub const FORMAT_NAME: &str = "galenamast-trace";
/// Version of the format that is written and read.
pub const FORMAT_VERSION: u32 = 1;

/// A whole trace.
#[derive(Clone, Debug, PartialEq)]
pub struct Trace {
    /// First line.
    pub header: TraceHeader,
    /// Other lines, in the order of time.
    pub events: Vec<TraceEvent>,
}

/// First line of a trace.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TraceHeader {
    /// Name of the format.
    pub format: String,
    /// Version of the format.
    pub version: u32,
    /// Name of the workload.
    pub workload: String,
    /// Seed of the trace and of the replay's random choices.
    pub seed: u64,
    /// Length of the trace, in milliseconds.
    pub duration_ms: u64,
    /// Time before which quality is not judged, in milliseconds.
    pub warm_up_ms: u64,
    /// Length of the windows in which quality is judged, in milliseconds.
    pub window_ms: u64,
    /// Time between digests of an entry host, in milliseconds.
    pub digest_period_ms: u64,
    /// Time that a digest takes to another entry host, in milliseconds.
    pub digest_lag_ms: u64,
    /// Configuration at the start.
    pub image: ConfigImage,
    /// Entry hosts.
    pub hosts: Vec<TraceHost>,
    /// Backend servers.
    pub servers: Vec<TraceServer>,
    /// Outcomes that a replay must show.
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
    /// Requests that it runs at once.
    pub slots: u32,
    /// Versions that it has loaded.
    pub versions: Vec<VersionKey>,
}

/// Outcomes that a replay must show; those left out are not checked.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ExpectedOutcomes {
    /// Whether mean quality reaches the target in every window after the warm-up.
    pub quality_in_every_window: Option<bool>,
    /// Greatest cost relative to the cheapest adequate static mix.
    pub max_cost_ratio: Option<f64>,
    /// Greatest number of answers by versions after they turned bad.
    pub max_exposure: Option<u64>,
    /// Greatest number of brakes on versions that did not turn bad.
    pub max_false_brakes: Option<u64>,
    /// Greatest 99th percentile of latency, in milliseconds.
    pub max_p99_ms: Option<u64>,
    /// Greatest number of refused requests.
    pub max_refused: Option<u64>,
}

/// A line after the header.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TraceEvent {
    /// Time of the event, in milliseconds from the start of the trace.
    pub at_ms: u64,
    /// What happens.
    #[serde(flatten)]
    pub kind: EventKind,
}

/// What happens in an event.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum EventKind {
    /// A request arrives at an entry host.
    Request(TraceRequest),
    /// Something fails or heals.
    Fault(FaultEvent),
    /// A roll-out comes to a step.
    RolloutStep {
        /// Roll-out.
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
    /// Index of the entry host.
    pub host: usize,
    /// Workspace of the caller.
    pub workspace: WorkspaceName,
    /// Task of the request.
    pub task: TaskName,
    /// Number of the caller's session; requests of a session keep the first one's version.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub session: Option<u64>,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// Length of the answer, in tokens.
    pub output_tokens: u32,
    /// Hash of the start of the prompt.
    pub prefix: u64,
    /// Time until the caller's deadline, in milliseconds.
    pub deadline_ms: u64,
    /// Whether the request may be run again.
    pub idempotent: bool,
    /// Whether the answer is streamed.
    pub streamed: bool,
    /// What each version would answer, by `model@version`.
    pub answers: BTreeMap<String, TraceAnswer>,
}

/// What a version would answer to a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TraceAnswer {
    /// Quality of the answer, from 0 to 1.
    pub quality: f64,
    /// What the rating service says of it, from 0 to 1.
    pub rating: f64,
    /// Time until the rating is known; `None` if the answer is not sampled for rating.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rating_lag_ms: Option<u64>,
    /// Time that a healthy server runs the request, in milliseconds.
    pub service_ms: u64,
}

/// Something that fails or heals.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "fault", rename_all = "snake_case")]
pub enum FaultEvent {
    /// A version turns bad; the answers after it show how.
    VersionTurns {
        /// Version that turns bad.
        version: VersionKey,
    },
    /// A server runs each request slower by a factor.
    ServerSlow {
        /// Server.
        server: ServerName,
        /// Factor, one for a healthy server.
        factor: f64,
    },
    /// A server crashes; what it ran is lost.
    ServerDown {
        /// Server.
        server: ServerName,
    },
    /// A crashed server is back.
    ServerUp {
        /// Server.
        server: ServerName,
    },
    /// The platform is out: the configuration is not confirmed, and no roll-out step is taken.
    PlatformOut,
    /// The platform is back.
    PlatformBack,
    /// A failure domain is cut off from the others.
    DomainCut {
        /// Failure domain.
        domain: DomainName,
    },
    /// A failure domain is connected again.
    DomainHealed {
        /// Failure domain.
        domain: DomainName,
    },
}
