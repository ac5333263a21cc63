//! Catalogue of all metrics with their name, kind, unit, tags and description.

/// Statsd type of a metric.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MetricKind {
    /// Sum that grows with each event.
    Counter,
    /// Most recent value.
    Gauge,
    /// Distribution of durations.
    Timer,
}

/// Name and documentation of a metric.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MetricInfo {
    /// Name without the prefix, which the settings define.
    pub name: &'static str,
    /// Statsd type.
    pub kind: MetricKind,
    /// Unit of the values.
    pub unit: &'static str,
    /// Tags of the values, in the order in which they are passed to the sink.
    pub tags: &'static [&'static str],
    /// Meaning of the metric, for the reference page.
    pub description: &'static str,
}

/// Creates the entry of a metric.
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

/// Counts routing decisions by workspace and outcome.
pub const DECISIONS: MetricInfo = metric(
    "decisions",
    MetricKind::Counter,
    "decisions",
    &["workspace", "outcome"],
    "Routing decisions by outcome: dispatch, cascade, queue or refuse.",
);
/// Counts refused requests by workspace and reason.
pub const REFUSALS: MetricInfo = metric(
    "refusals",
    MetricKind::Counter,
    "requests",
    &["workspace", "reason"],
    "Requests that were refused without being run, by reason.",
);
/// Counts decisions for second and later attempts by workspace.
pub const RETRIES: MetricInfo = metric(
    "retries",
    MetricKind::Counter,
    "attempts",
    &["workspace"],
    "Routing decisions for the second or a later attempt of a request, including hedges.",
);
/// Counts billed requests by workspace.
pub const REQUESTS_BILLED: MetricInfo = metric(
    "usage.requests",
    MetricKind::Counter,
    "requests",
    &["workspace"],
    "Requests that were billed.",
);
/// Counts prompt tokens of billed requests by workspace.
pub const INPUT_TOKENS: MetricInfo = metric(
    "usage.input_tokens",
    MetricKind::Counter,
    "tokens",
    &["workspace"],
    "Prompt tokens of billed requests.",
);
/// Counts generated tokens of billed requests by workspace.
pub const OUTPUT_TOKENS: MetricInfo = metric(
    "usage.output_tokens",
    MetricKind::Counter,
    "tokens",
    &["workspace"],
    "Generated tokens of billed requests.",
);
/// Sums up the price of billed requests by workspace, in micro-units of currency.
pub const PRICE: MetricInfo = metric(
    "usage.price",
    MetricKind::Counter,
    "micro-units of currency",
    &["workspace"],
    "Price of billed requests.",
);
/// Counts faults by part of the host.
pub const FAULTS: MetricInfo = metric(
    "faults",
    MetricKind::Counter,
    "faults",
    &["part"],
    "Faults that the host recovers from by itself, including those suppressed in the log.",
);
/// Counts configuration changes made by operators, without dry runs and repeated calls.
pub const CHANGES: MetricInfo = metric(
    "operator.changes",
    MetricKind::Counter,
    "changes",
    &[],
    "Configuration changes that operators made through this host.",
);
/// Counts refused operator calls by refusal code.
pub const CALLS_REFUSED: MetricInfo = metric(
    "operator.refusals",
    MetricKind::Counter,
    "calls",
    &["code"],
    "Operator calls that were refused, by code.",
);
/// Shows the configuration generation in force.
pub const GENERATION: MetricInfo = metric(
    "config.generation",
    MetricKind::Gauge,
    "generation",
    &[],
    "Generation of the configuration in force on this host.",
);
/// Shows the time since the configuration was last confirmed, in milliseconds.
pub const FRESHNESS_AGE: MetricInfo = metric(
    "config.age",
    MetricKind::Gauge,
    "ms",
    &[],
    "Time since the configuration was last confirmed.",
);
/// Shows the number of live backend servers.
pub const SERVERS_LIVE: MetricInfo = metric(
    "servers.live",
    MetricKind::Gauge,
    "servers",
    &[],
    "Backend servers that accept work.",
);
/// Shows the number of braked versions.
pub const BRAKES: MetricInfo = metric(
    "brakes",
    MetricKind::Gauge,
    "versions",
    &[],
    "Versions that are braked on this host.",
);

/// Counts steps of roll-outs by roll-out.
pub const ROLLOUT_STEPS: MetricInfo = metric(
    "rollout.steps",
    MetricKind::Counter,
    "steps",
    &["rollout"],
    "Steps that this host took as the controller of a roll-out, brakes included.",
);
/// Counts placement decisions by failure domain.
pub const PLACEMENTS: MetricInfo = metric(
    "placement.moves",
    MetricKind::Counter,
    "moves",
    &["domain"],
    "Placement decisions that this host made.",
);
/// Counts requests that a shutdown interrupted.
pub const ABANDONED: MetricInfo = metric(
    "requests.abandoned",
    MetricKind::Counter,
    "requests",
    &[],
    "Requests that were still in flight when the host stopped.",
);
/// Shows the number of requests in flight.
pub const IN_FLIGHT: MetricInfo = metric(
    "requests.in_flight",
    MetricKind::Gauge,
    "requests",
    &[],
    "Requests in flight on this host.",
);
/// Shows the number of queued requests.
pub const WAITING: MetricInfo = metric(
    "requests.waiting",
    MetricKind::Gauge,
    "requests",
    &[],
    "Requests that wait on this host for a free backend server.",
);
/// Shows the size of buffered usage records, in bytes.
pub const USAGE_HELD: MetricInfo = metric(
    "usage.held",
    MetricKind::Gauge,
    "bytes",
    &[],
    "Size of the usage records that are not yet on the platform.",
);
/// Shows the age of the oldest buffered usage record, in milliseconds.
pub const USAGE_AGE: MetricInfo = metric(
    "usage.age",
    MetricKind::Gauge,
    "ms",
    &[],
    "Age of the oldest usage record that is not yet on the platform.",
);
/// Shows the number of request fingerprints under suspicion of crashing servers.
pub const ACCUSED: MetricInfo = metric(
    "quarantine.accused",
    MetricKind::Gauge,
    "fingerprints",
    &[],
    "Request fingerprints for which at least one server crash is recorded.",
);
/// Shows the calls of the object API by kind since the start of the process.
pub const PLATFORM_CALLS: MetricInfo = metric(
    "platform.calls",
    MetricKind::Gauge,
    "calls",
    &["kind"],
    "Calls of the object API since the start of the process, by kind; `failed` counts calls without a usable answer, `over_budget` and `short_circuited` calls that were not sent.",
);

/// All metrics, in the order of the reference page.
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
