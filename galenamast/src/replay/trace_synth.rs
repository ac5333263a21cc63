//! Synthesis of traces with realistic workloads and faults.

use std::collections::{BTreeMap, BTreeSet};
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::replay::trace_format::{
    EventKind, ExpectedOutcomes, FORMAT_NAME, FORMAT_VERSION, FaultEvent, Trace, TraceAnswer,
    TraceEvent, TraceHeader, TraceHost, TraceRequest, TraceServer,
};
use crate::replay::workload_shape::{
    TaskShape, VERSIONS, VersionShape, WorkloadName, WorkloadShape, shape_of,
};
use crate::state::{
    ConfigGeneration, ConfigImage, ModelSpec, PoolSpec, RolloutSpec, ServerName, VersionKey,
    VersionSpec, VersionStage, WithdrawnPolicy, WorkspaceSpec,
};

/// Name of the model.
const MODEL: &str = "assist";
/// Name of the pool.
const POOL: &str = "runners";
/// Name of the roll-out.
const ROLLOUT: &str = "medium-next";
/// Version that is rolled out.
const CANDIDATE: &str = "medium-next";
/// Index in `VERSIONS` of the roll-out's baseline.
const BASELINE: usize = 1;
/// Number of backend servers.
const SERVERS: usize = 10;
/// Number of entry hosts.
const HOSTS: usize = 8;
/// Number of requests that a server runs concurrently.
const SLOTS: u32 = 8;
/// Fraction of requests whose answers are sampled for rating.
const RATED_SHARE: f64 = 0.7;
/// Maximum time until a rating is known, on top of the minimum of 500 ms, in milliseconds.
const MAX_RATING_LAG_MS: f64 = 20_000.0;
/// Standard deviation of the requests' difficulty, in units of quality.
const DIFFICULTY_DEVIATION: f64 = 0.06;
/// Standard deviation of the noise of ratings, in units of quality.
const RATING_DEVIATION: f64 = 0.08;
/// Fraction of requests that belong to a session.
const SESSION_SHARE: f64 = 0.4;
/// Length of a session, in milliseconds.
const SESSION_MS: f64 = 120_000.0;
/// Number of concurrent sessions for each task.
const CONCURRENT_SESSIONS: u64 = 40;
/// Upper bound of the number of tasks. Session numbers are multiplied by it and then the task's
/// index is added.
const SESSION_TASKS: u64 = 8;
/// Time over which the quality of a slowly degrading version falls, in milliseconds.
const SLOW_DEGRADATION_MS: f64 = 600_000.0;

/// A fault that a synthesised trace may contain.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FaultName {
    /// The candidate of the roll-out turns bad for every request.
    VersionBad,
    /// The candidate turns bad for a third of the requests.
    VersionPartlyBad,
    /// The candidate turns bad for the workload's second task.
    VersionTaskBad,
    /// The candidate turns bad over ten minutes.
    VersionSlowlyBad,
    /// The cheapest established version turns bad.
    EstablishedBad,
    /// A server becomes ten times slower.
    ServerSlow,
    /// A server crashes for a third of the trace.
    ServerDown,
    /// All servers but one crash for two minutes.
    PoolOut,
    /// The platform is unavailable for a third of the trace.
    PlatformOut,
    /// A failure domain is partitioned from the others for a third of the trace.
    DomainCut,
}

/// Names of the faults on the command line.
pub const FAULT_NAMES: [(&str, FaultName); 10] = [
    ("version-bad", FaultName::VersionBad),
    ("version-partly-bad", FaultName::VersionPartlyBad),
    ("version-task-bad", FaultName::VersionTaskBad),
    ("version-slowly-bad", FaultName::VersionSlowlyBad),
    ("established-bad", FaultName::EstablishedBad),
    ("server-slow", FaultName::ServerSlow),
    ("server-down", FaultName::ServerDown),
    ("pool-out", FaultName::PoolOut),
    ("platform-out", FaultName::PlatformOut),
    ("domain-cut", FaultName::DomainCut),
];

impl FromStr for FaultName {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let known = FAULT_NAMES.iter().find(|(name, _)| *name == text);
        known
            .map(|(_, fault)| *fault)
            .ok_or_else(|| format!("`{text}` is not a fault"))
    }
}

/// Settings of a trace's synthesis.
#[derive(Clone, Debug, PartialEq)]
pub struct SynthSettings {
    /// Workload that the trace models.
    pub workload: WorkloadName,
    /// Seed of all random choices, also of the replay's.
    pub seed: u64,
    /// Faults that the trace contains.
    pub faults: BTreeSet<FaultName>,
    /// Duration of the trace.
    pub duration: Duration,
    /// Mean number of requests per second.
    pub rate: f64,
}

impl Default for SynthSettings {
    fn default() -> Self {
        Self {
            workload: WorkloadName::NieveAlta,
            seed: 1,
            faults: BTreeSet::new(),
            duration: Duration::from_secs(3_600),
            rate: 6.0,
        }
    }
}

/// Synthesises a trace. The same settings always give the same trace.
///
/// ```
/// use std::time::Duration;
/// use galenamast::replay::{SynthSettings, synthesize_trace};
///
/// let settings = SynthSettings { duration: Duration::from_secs(60), ..Default::default() };
/// assert_eq!(synthesize_trace(&settings), synthesize_trace(&settings));
/// ```
pub fn synthesize_trace(settings: &SynthSettings) -> Trace {
    let shape = shape_of(settings.workload);
    let duration_ms = settings.duration.as_millis() as u64;
    let mut generator = ChaCha8Rng::seed_from_u64(settings.seed);
    let degraded_at_ms = (duration_ms as f64 * generator.random_range(0.35..0.65)) as u64;
    let header = header_of(settings, &shape, duration_ms);
    let mut events = request_events(
        settings,
        &shape,
        duration_ms,
        degraded_at_ms,
        &mut generator,
    );
    events.extend(step_events(duration_ms));
    for fault in &settings.faults {
        events.extend(fault_events(*fault, &header, degraded_at_ms));
    }
    events.sort_by_key(|event| event.at_ms);
    Trace { header, events }
}

fn header_of(settings: &SynthSettings, shape: &WorkloadShape, duration_ms: u64) -> TraceHeader {
    let domain = |index: usize| shape.domains[index % shape.domains.len()].into();
    let names = VERSIONS
        .iter()
        .map(|version| version.name)
        .chain([CANDIDATE]);
    let versions: Vec<VersionKey> = names.map(|name| VersionKey::new(MODEL, name)).collect();
    TraceHeader {
        format: FORMAT_NAME.into(),
        version: FORMAT_VERSION,
        workload: shape.label.into(),
        seed: settings.seed,
        duration_ms,
        warm_up_ms: duration_ms / 6,
        window_ms: (duration_ms / 6).max(1),
        digest_period_ms: 1_000,
        digest_lag_ms: 250,
        image: image_of(shape),
        hosts: (0..HOSTS)
            .map(|index| TraceHost {
                name: format!("host-{index}").as_str().into(),
                domain: domain(index),
            })
            .collect(),
        servers: (0..SERVERS)
            .map(|index| TraceServer {
                name: server_name(index),
                domain: domain(index),
                pool: POOL.into(),
                slots: SLOTS,
                versions: versions.clone(),
            })
            .collect(),
        outcomes: ExpectedOutcomes::default(),
    }
}

fn server_name(index: usize) -> ServerName {
    format!("runner-{index}").as_str().into()
}

/// Builds the configuration: one workspace, one model, one pool and one roll-out.
fn image_of(shape: &WorkloadShape) -> ConfigImage {
    let mut model = ModelSpec {
        name: MODEL.into(),
        ..Default::default()
    };
    let mut workspace = WorkspaceSpec {
        name: shape.label.into(),
        quality_target: shape.target,
        weights: shape.weights,
        withdrawn_session: WithdrawnPolicy::Move,
        ..Default::default()
    };
    let allowed = workspace.allowed.entry(MODEL.into()).or_default();
    for version in VERSIONS {
        model
            .versions
            .insert(version.name.into(), spec_of(&version));
        allowed.insert(version.name.into());
    }
    let candidate = VersionSpec {
        stage: VersionStage::RollingOut,
        ..spec_of(&VERSIONS[BASELINE])
    };
    model.versions.insert(CANDIDATE.into(), candidate);
    allowed.insert(CANDIDATE.into());
    let rollout = RolloutSpec {
        name: ROLLOUT.into(),
        model: MODEL.into(),
        candidate: CANDIDATE.into(),
        baseline: VERSIONS[BASELINE].name.into(),
        ..Default::default()
    };
    let pool = PoolSpec {
        name: POOL.into(),
        slots_per_server: SLOTS,
        ..Default::default()
    };
    ConfigImage {
        generation: ConfigGeneration(1),
        workspaces: BTreeMap::from([(shape.label.into(), Arc::new(workspace))]),
        models: BTreeMap::from([(MODEL.into(), Arc::new(model))]),
        pools: BTreeMap::from([(POOL.into(), Arc::new(pool))]),
        rollouts: BTreeMap::from([(ROLLOUT.into(), Arc::new(rollout))]),
        ..Default::default()
    }
}

fn spec_of(version: &VersionShape) -> VersionSpec {
    VersionSpec {
        pool: POOL.into(),
        input_price: version.input_price,
        output_price: version.output_price,
        prior_quality: version.prior,
        ..Default::default()
    }
}

/// Builds the roll-out's step events, at 0, 10, 20 and 30 percent of the duration.
fn step_events(duration_ms: u64) -> impl Iterator<Item = TraceEvent> {
    [0, 10, 20, 30]
        .into_iter()
        .enumerate()
        .map(move |(step, percent)| TraceEvent {
            at_ms: duration_ms * percent / 100,
            kind: EventKind::RolloutStep {
                rollout: ROLLOUT.into(),
                step: step as u32,
            },
        })
}

/// Builds the requests, with exponentially distributed times between them.
fn request_events(
    settings: &SynthSettings,
    shape: &WorkloadShape,
    duration_ms: u64,
    degraded_at_ms: u64,
    generator: &mut ChaCha8Rng,
) -> Vec<TraceEvent> {
    let mut events = Vec::new();
    let mean_rate = shape.rates.iter().sum::<f64>() / shape.rates.len() as f64;
    let mut at_ms = 0.0;
    let mut id = 0;
    loop {
        let position = at_ms / duration_ms as f64 * shape.rates.len() as f64;
        let relative = shape.rates[(position as usize).min(shape.rates.len() - 1)] / mean_rate;
        let uniform: f64 = generator.random_range(f64::EPSILON..1.0);
        at_ms += -uniform.ln() * 1_000.0 / (settings.rate * relative);
        if at_ms >= duration_ms as f64 {
            return events;
        }
        id += 1;
        let request = request_of(id, at_ms, settings, shape, degraded_at_ms, generator);
        events.push(TraceEvent {
            at_ms: at_ms as u64,
            kind: EventKind::Request(request),
        });
    }
}

/// Builds a request with the answer of each version.
fn request_of(
    id: u64,
    at_ms: f64,
    settings: &SynthSettings,
    shape: &WorkloadShape,
    degraded_at_ms: u64,
    generator: &mut ChaCha8Rng,
) -> TraceRequest {
    let (task_index, task) = draw_task(shape, generator);
    let prompt_tokens = (task.tokens.0 * (0.5 * normal(generator)).exp()).max(8.0) as u32;
    let output_tokens = (task.tokens.1 * (0.4 * normal(generator)).exp()).max(4.0) as u32;
    let difficulty = DIFFICULTY_DEVIATION * normal(generator);
    let sampled = generator.random_bool(RATED_SHARE);
    let lag_ms = (MAX_RATING_LAG_MS * generator.random::<f64>().powi(2)) as u64 + 500;
    let partly_bad = generator.random_bool(1.0 / 3.0);
    let mut answers = BTreeMap::new();
    let candidates = VERSIONS.iter().enumerate();
    for (index, version) in candidates.chain([(BASELINE, &VERSIONS[BASELINE])]) {
        let is_candidate = answers.len() == VERSIONS.len();
        let name = if is_candidate {
            CANDIDATE
        } else {
            version.name
        };
        let long_loss = if prompt_tokens >= 2_048 {
            version.long_loss
        } else {
            0.0
        };
        let degradation = Degradation {
            elapsed_ms: at_ms - degraded_at_ms as f64,
            partly_bad,
            second_task: task_index == 1,
        };
        let loss = quality_loss(&settings.faults, is_candidate, index, &degradation);
        let quality = (task.quality[index] - long_loss + difficulty - loss).clamp(0.0, 1.0);
        let rating = (quality + RATING_DEVIATION * normal(generator)).clamp(0.0, 1.0);
        let service = f64::from(output_tokens) * version.token_ms;
        let service = 40.0 + f64::from(prompt_tokens) * 0.05 + service;
        let key = VersionKey::new(MODEL, name).to_string();
        let answer = TraceAnswer {
            quality: round(quality),
            rating: round(rating),
            rating_lag_ms: sampled.then_some(lag_ms),
            service_ms: service as u64,
        };
        answers.insert(key, answer);
    }
    TraceRequest {
        id,
        host: generator.random_range(0..HOSTS),
        workspace: shape.label.into(),
        task: task.name.into(),
        session: generator
            .random_bool(SESSION_SHARE)
            .then(|| draw_session(at_ms, task_index, generator)),
        prompt_tokens,
        output_tokens,
        prefix: generator.random_range(1..=40),
        deadline_ms: task.deadline_ms,
        idempotent: generator.random_bool(0.9),
        streamed: generator.random_bool(task.streamed_share),
        answers,
    }
}

/// Draws a task according to the tasks' shares; returns it with its index.
fn draw_task<'a>(shape: &'a WorkloadShape, generator: &mut ChaCha8Rng) -> (usize, &'a TaskShape) {
    let mut draw: f64 = generator.random();
    for (index, task) in shape.tasks.iter().enumerate() {
        if draw < task.share {
            return (index, task);
        }
        draw -= task.share;
    }
    (0, &shape.tasks[0])
}

/// Draws a request's session from the current ones. All requests of a session have the same task.
fn draw_session(at_ms: f64, task: usize, generator: &mut ChaCha8Rng) -> u64 {
    let generation = (at_ms / SESSION_MS) as u64;
    let session = generation * CONCURRENT_SESSIONS + generator.random_range(0..CONCURRENT_SESSIONS);
    session * SESSION_TASKS + task as u64
}

/// Inputs on which the quality loss of a degraded version depends.
struct Degradation {
    elapsed_ms: f64,
    partly_bad: bool,
    second_task: bool,
}

/// Returns the quality that a version has lost, the largest loss of all faults.
fn quality_loss(
    faults: &BTreeSet<FaultName>,
    is_candidate: bool,
    index: usize,
    degradation: &Degradation,
) -> f64 {
    if degradation.elapsed_ms < 0.0 {
        return 0.0;
    }
    let losses = faults.iter().map(|fault| match fault {
        FaultName::VersionBad if is_candidate => 0.4,
        FaultName::VersionPartlyBad if is_candidate && degradation.partly_bad => 0.4,
        FaultName::VersionTaskBad if is_candidate && degradation.second_task => 0.4,
        FaultName::VersionSlowlyBad if is_candidate => {
            0.4 * (degradation.elapsed_ms / SLOW_DEGRADATION_MS).min(1.0)
        }
        FaultName::EstablishedBad if !is_candidate && index == 0 => 0.4,
        _ => 0.0,
    });
    losses.fold(0.0, f64::max)
}

/// Builds the events of a fault: when it occurs and, if it does, when it ends.
fn fault_events(fault: FaultName, header: &TraceHeader, degraded_at_ms: u64) -> Vec<TraceEvent> {
    let third = header.duration_ms / 3;
    let at = |at_ms: u64, fault: FaultEvent| TraceEvent {
        at_ms: at_ms.min(header.duration_ms),
        kind: EventKind::Fault(fault),
    };
    let degrade = |name: &str| FaultEvent::VersionTurns {
        version: VersionKey::new(MODEL, name),
    };
    let down = |server| FaultEvent::ServerDown { server };
    let up = |server| FaultEvent::ServerUp { server };
    let domain = header.hosts[0].domain.clone();
    match fault {
        FaultName::VersionBad
        | FaultName::VersionPartlyBad
        | FaultName::VersionTaskBad
        | FaultName::VersionSlowlyBad => vec![at(degraded_at_ms, degrade(CANDIDATE))],
        FaultName::EstablishedBad => vec![at(degraded_at_ms, degrade(VERSIONS[0].name))],
        FaultName::ServerSlow => {
            let server = server_name(0);
            vec![at(
                third,
                FaultEvent::ServerSlow {
                    server,
                    factor: 10.0,
                },
            )]
        }
        FaultName::ServerDown => vec![
            at(third, down(server_name(1))),
            at(2 * third, up(server_name(1))),
        ],
        FaultName::PoolOut => (1..SERVERS)
            .flat_map(|index| {
                let name = server_name(index);
                [at(third, down(name.clone())), at(third + 120_000, up(name))]
            })
            .collect(),
        FaultName::PlatformOut => vec![
            at(third, FaultEvent::PlatformOut),
            at(2 * third, FaultEvent::PlatformBack),
        ],
        FaultName::DomainCut => vec![
            at(
                third,
                FaultEvent::DomainCut {
                    domain: domain.clone(),
                },
            ),
            at(2 * third, FaultEvent::DomainHealed { domain }),
        ],
    }
}

/// Draws from the standard normal distribution by the Box-Muller transform.
fn normal(generator: &mut ChaCha8Rng) -> f64 {
    let first: f64 = generator.random_range(f64::EPSILON..1.0);
    let second: f64 = generator.random();
    (-2.0 * first.ln()).sqrt() * (2.0 * std::f64::consts::PI * second).cos()
}

/// Rounds to thousandths, to keep the lines of the trace short.
fn round(value: f64) -> f64 {
    (value * 1_000.0).round() / 1_000.0
}
