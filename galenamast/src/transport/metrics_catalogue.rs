//! Every metric with its name, kind, unit and tags.

/// How a metric is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MetricKind {
    /// Grows with each event.
    Counter,
    /// Holds the last value.
    Gauge,
    /// Is distributed over its values.
    Timer,
}

/// A metric and its documentation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MetricInfo {
    /// Name without the prefix of the settings.
    pub name: &'static str,
    /// How it is counted.
    pub kind: MetricKind,
    /// Unit of its values.
    pub unit: &'static str,
    /// Tags that its values carry.
    pub tags: &'static [&'static str],
    /// What it shows.
    pub description: &'static str,
}

/// Creates the description of a metric.
const fn metric(
    name: &'static str,
    kind: MetricKind,
    unit: &'static str,
    tags: &'static [&'static str],
    description: &'static str,
) -> MetricInfo {
    MetricInfo {
        name,
        kind,
        unit,
        tags,
        description,
    }
}

/// Routing decisions.
pub const DECISIONS: MetricInfo = metric(
    "decisions",
    MetricKind::Counter,
    "decisions",
    &["workspace", "outcome"],
    "Routing decisions by outcome: dispatch, cascade, queue or refuse.",
);
/// Refused requests.
pub const REFUSALS: MetricInfo = metric(
    "refusals",
    MetricKind::Counter,
    "requests",
    &["workspace", "reason"],
    "Requests that were refused without being run, by reason.",
);
/// Further attempts.
pub const RETRIES: MetricInfo = metric(
    "retries",
    MetricKind::Counter,
    "attempts",
    &["workspace"],
    "Decisions for a second or later attempt of a request, hedges included.",
);
/// Billed requests.
pub const REQUESTS_BILLED: MetricInfo = metric(
    "usage.requests",
    MetricKind::Counter,
    "requests",
    &["workspace"],
    "Requests that were billed.",
);
/// Billed prompt tokens.
pub const INPUT_TOKENS: MetricInfo = metric(
    "usage.input_tokens",
    MetricKind::Counter,
    "tokens",
    &["workspace"],
    "Prompt tokens of billed requests.",
);
/// Billed generated tokens.
pub const OUTPUT_TOKENS: MetricInfo = metric(
    "usage.output_tokens",
    MetricKind::Counter,
    "tokens",
    &["workspace"],
    "Generated tokens of billed requests.",
);
/// Billed price.
pub const PRICE: MetricInfo = metric(
    "usage.price",
    MetricKind::Counter,
    "micro-units of currency",
    &["workspace"],
    "Price of billed requests.",
);
/// Faults that the host recovers from.
pub const FAULTS: MetricInfo = metric(
    "faults",
    MetricKind::Counter,
    "faults",
    &["part"],
    "Faults that the host recovers from by itself, those left out of the log included.",
);
/// Changes of the configuration.
pub const CHANGES: MetricInfo = metric(
    "operator.changes",
    MetricKind::Counter,
    "changes",
    &[],
    "Changes of the configuration that operators made through this host.",
);
/// Refused operator calls.
pub const CALLS_REFUSED: MetricInfo = metric(
    "operator.refusals",
    MetricKind::Counter,
    "calls",
    &["code"],
    "Operator calls that were refused, by code.",
);
/// Generation in force.
pub const GENERATION: MetricInfo = metric(
    "config.generation",
    MetricKind::Gauge,
    "generation",
    &[],
    "Generation of the configuration in force on this host.",
);
/// Age of the confirmed configuration.
pub const FRESHNESS_AGE: MetricInfo = metric(
    "config.age",
    MetricKind::Gauge,
    "ms",
    &[],
    "Time since the configuration was last confirmed.",
);
/// Live backend servers.
pub const SERVERS_LIVE: MetricInfo = metric(
    "servers.live",
    MetricKind::Gauge,
    "servers",
    &[],
    "Backend servers that take work.",
);
/// Braked versions.
pub const BRAKES: MetricInfo = metric(
    "brakes",
    MetricKind::Gauge,
    "versions",
    &[],
    "Versions that are braked on this host.",
);

/// Steps of roll-outs.
pub const ROLLOUT_STEPS: MetricInfo = metric(
    "rollout.steps",
    MetricKind::Counter,
    "steps",
    &["rollout"],
    "Steps that this host took as the controller of a roll-out, brakes included.",
);
/// Placement decisions.
pub const PLACEMENTS: MetricInfo = metric(
    "placement.moves",
    MetricKind::Counter,
    "moves",
    &["domain"],
    "Placement decisions that this host took.",
);
/// Requests that a shutdown cut.
pub const ABANDONED: MetricInfo = metric(
    "requests.abandoned",
    MetricKind::Counter,
    "requests",
    &[],
    "Requests that were still in flight when the host stopped.",
);
/// Requests in flight.
pub const IN_FLIGHT: MetricInfo = metric(
    "requests.in_flight",
    MetricKind::Gauge,
    "requests",
    &[],
    "Requests in flight on this host.",
);
/// Requests that wait.
pub const WAITING: MetricInfo = metric(
    "requests.waiting",
    MetricKind::Gauge,
    "requests",
    &[],
    "Requests that wait on this host for a free backend server.",
);
/// Usage records that wait.
pub const USAGE_HELD: MetricInfo = metric(
    "usage.held",
    MetricKind::Gauge,
    "bytes",
    &[],
    "Size of the usage records that are not on the platform yet.",
);
/// Age of the oldest usage record that waits.
pub const USAGE_AGE: MetricInfo = metric(
    "usage.age",
    MetricKind::Gauge,
    "ms",
    &[],
    "How long the oldest usage record has waited for the platform.",
);
/// Suspected requests.
pub const ACCUSED: MetricInfo = metric(
    "quarantine.accused",
    MetricKind::Gauge,
    "fingerprints",
    &[],
    "Request fingerprints with a server's death on record.",
);
/// Calls of the object API.
pub const PLATFORM_CALLS: MetricInfo = metric(
    "platform.calls",
    MetricKind::Gauge,
    "calls",
    &["kind"],
    "Calls of the object API since the start of the process, by kind; `failed`, `over_budget` and `short_circuited` count those without an answer or not sent.",
);

/// Lists every metric.
pub const METRICS: &[MetricInfo] = &[
    DECISIONS,
    REFUSALS,
    RETRIES,
    REQUESTS_BILLED,
    INPUT_TOKENS,
    OUTPUT_TOKENS,
    PRICE,
    FAULTS,
    CHANGES,
    CALLS_REFUSED,
    GENERATION,
    FRESHNESS_AGE,
    SERVERS_LIVE,
    BRAKES,
    ROLLOUT_STEPS,
    PLACEMENTS,
    ABANDONED,
    IN_FLIGHT,
    WAITING,
    USAGE_HELD,
    USAGE_AGE,
    ACCUSED,
    PLATFORM_CALLS,
];
