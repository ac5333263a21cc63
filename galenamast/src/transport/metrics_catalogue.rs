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
];
