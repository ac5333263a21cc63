//! Synthesis of traces with believable shapes and faults.

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

/// Model, pool, roll-out and candidate of a synthesised trace.
const MODEL: &str = "assist";
const POOL: &str = "runners";
const ROLLOUT: &str = "medium-next";
const CANDIDATE: &str = "medium-next";
/// Index in `VERSIONS` of the version that the candidate is rolled out against.
const BASELINE: usize = 1;
/// Backend servers and entry hosts of a trace.
const SERVERS: usize = 10;
const HOSTS: usize = 8;
/// Requests that a server runs at once.
const SLOTS: u32 = 8;
/// Share of answers that are sampled for rating.
const RATED_SHARE: f64 = 0.7;
/// Greatest time until a rating is known, in milliseconds.
const RATING_LAG_MS: f64 = 20_000.0;
/// Standard deviations of the difficulty of requests and of the noise of ratings.
const DIFFICULTY_DEVIATION: f64 = 0.06;
const RATING_DEVIATION: f64 = 0.08;
/// Share of requests that belong to a session, length of a session and sessions at a time.
const SESSION_SHARE: f64 = 0.4;
const SESSION_MS: f64 = 120_000.0;
const SESSIONS_AT_ONCE: u64 = 40;
/// Bound of the number of tasks, by which sessions are numbered.
const SESSION_TASKS: u64 = 8;
/// Time over which a version that turns bad slowly does so, in milliseconds.
const SLOW_TURN_MS: f64 = 600_000.0;

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
    /// The established cheapest version turns bad.
    EstablishedBad,
    /// A server runs ten times slower.
    ServerSlow,
    /// A server crashes and comes back.
    ServerDown,
    /// All servers but one crash for two minutes.
    PoolOut,
    /// The platform is out for a third of the trace.
    PlatformOut,
    /// A failure domain is cut off for a third of the trace.
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

/// What to synthesise.
#[derive(Clone, Debug, PartialEq)]
pub struct SynthSettings {
    /// Workload.
    pub workload: WorkloadName,
    /// Seed.
    pub seed: u64,
    /// Faults.
    pub faults: BTreeSet<FaultName>,
    /// Length of the trace.
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

/// Synthesises a trace; the same settings give the same trace.
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
    let turn_ms = (duration_ms as f64 * generator.random_range(0.35..0.65)) as u64;
    let header = header_of(settings, &shape, duration_ms);
    let mut events = request_events(settings, &shape, duration_ms, turn_ms, &mut generator);
    events.extend(step_events(duration_ms));
    for fault in &settings.faults {
        events.extend(fault_events(*fault, &header, turn_ms));
    }
    events.sort_by_key(|event| event.at_ms);
    Trace { header, events }
}

/// Builds the header.
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

/// Returns the name of a server.
fn server_name(index: usize) -> ServerName {
    format!("runner-{index}").as_str().into()
}

/// Builds the configuration.
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

/// Builds the configuration of a version.
fn spec_of(version: &VersionShape) -> VersionSpec {
    VersionSpec {
        pool: POOL.into(),
        input_price: version.input_price,
        output_price: version.output_price,
        prior_quality: version.prior,
        ..Default::default()
    }
}

/// Builds the steps of the roll-out.
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

/// Builds the requests.
fn request_events(
    settings: &SynthSettings,
    shape: &WorkloadShape,
    duration_ms: u64,
    turn_ms: u64,
    generator: &mut ChaCha8Rng,
) -> Vec<TraceEvent> {
    let mut events = Vec::new();
    let mean_rate = shape.rates.iter().sum::<f64>() / shape.rates.len() as f64;
    let mut at_ms = 0.0;
    let mut id = 0;
    loop {
        let place = at_ms / duration_ms as f64 * shape.rates.len() as f64;
        let relative = shape.rates[(place as usize).min(shape.rates.len() - 1)] / mean_rate;
        let uniform: f64 = generator.random_range(f64::EPSILON..1.0);
        at_ms += -uniform.ln() * 1_000.0 / (settings.rate * relative);
        if at_ms >= duration_ms as f64 {
            return events;
        }
        id += 1;
        let request = request_of(id, at_ms, settings, shape, turn_ms, generator);
        events.push(TraceEvent {
            at_ms: at_ms as u64,
            kind: EventKind::Request(request),
        });
    }
}

/// Builds a request.
fn request_of(
    id: u64,
    at_ms: f64,
    settings: &SynthSettings,
    shape: &WorkloadShape,
    turn_ms: u64,
    generator: &mut ChaCha8Rng,
) -> TraceRequest {
    let (place, task) = draw_task(shape, generator);
    let prompt_tokens = (task.tokens.0 * (0.5 * normal(generator)).exp()).max(8.0) as u32;
    let output_tokens = (task.tokens.1 * (0.4 * normal(generator)).exp()).max(4.0) as u32;
    let difficulty = DIFFICULTY_DEVIATION * normal(generator);
    let sampled = generator.random_bool(RATED_SHARE);
    let lag_ms = (RATING_LAG_MS * generator.random::<f64>().powi(2)) as u64 + 500;
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
        let long = if prompt_tokens >= 2_048 {
            version.long_loss
        } else {
            0.0
        };
        let turned = TurnState {
            elapsed_ms: at_ms - turn_ms as f64,
            partly_bad,
            second_task: place == 1,
        };
        let harm = harm_of(&settings.faults, is_candidate, index, &turned);
        let quality = (task.quality[index] - long + difficulty - harm).clamp(0.0, 1.0);
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
            .then(|| draw_session(at_ms, place, generator)),
        prompt_tokens,
        output_tokens,
        prefix: generator.random_range(1..=40),
        deadline_ms: task.deadline_ms,
        idempotent: generator.random_bool(0.9),
        streamed: generator.random_bool(task.streamed_share),
        answers,
    }
}

/// Draws the task of a request.
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

/// Draws the session of a request among those under way; a session keeps to one task.
fn draw_session(at_ms: f64, task: usize, generator: &mut ChaCha8Rng) -> u64 {
    let generation = (at_ms / SESSION_MS) as u64;
    let session = generation * SESSIONS_AT_ONCE + generator.random_range(0..SESSIONS_AT_ONCE);
    session * SESSION_TASKS + task as u64
}

/// What the harm of a turned version depends on.
struct TurnState {
    elapsed_ms: f64,
    partly_bad: bool,
    second_task: bool,
}

/// Returns the quality that a version has lost.
fn harm_of(
    faults: &BTreeSet<FaultName>,
    is_candidate: bool,
    index: usize,
    turned: &TurnState,
) -> f64 {
    if turned.elapsed_ms < 0.0 {
        return 0.0;
    }
    let harms = faults.iter().map(|fault| match fault {
        FaultName::VersionBad if is_candidate => 0.4,
        FaultName::VersionPartlyBad if is_candidate && turned.partly_bad => 0.4,
        FaultName::VersionTaskBad if is_candidate && turned.second_task => 0.4,
        FaultName::VersionSlowlyBad if is_candidate => {
            0.4 * (turned.elapsed_ms / SLOW_TURN_MS).min(1.0)
        }
        FaultName::EstablishedBad if !is_candidate && index == 0 => 0.4,
        _ => 0.0,
    });
    harms.fold(0.0, f64::max)
}

/// Builds the events of a fault.
fn fault_events(fault: FaultName, header: &TraceHeader, turn_ms: u64) -> Vec<TraceEvent> {
    let third = header.duration_ms / 3;
    let at = |at_ms: u64, fault: FaultEvent| TraceEvent {
        at_ms: at_ms.min(header.duration_ms),
        kind: EventKind::Fault(fault),
    };
    let turns = |name: &str| FaultEvent::VersionTurns {
        version: VersionKey::new(MODEL, name),
    };
    let down = |server| FaultEvent::ServerDown { server };
    let up = |server| FaultEvent::ServerUp { server };
    let domain = header.hosts[0].domain.clone();
    match fault {
        FaultName::VersionBad
        | FaultName::VersionPartlyBad
        | FaultName::VersionTaskBad
        | FaultName::VersionSlowlyBad => vec![at(turn_ms, turns(CANDIDATE))],
        FaultName::EstablishedBad => vec![at(turn_ms, turns(VERSIONS[0].name))],
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

/// Draws from the standard normal distribution.
fn normal(generator: &mut ChaCha8Rng) -> f64 {
    let first: f64 = generator.random_range(f64::EPSILON..1.0);
    let second: f64 = generator.random();
    (-2.0 * first.ln()).sqrt() * (2.0 * std::f64::consts::PI * second).cos()
}

/// Rounds to thousandths, to keep lines short.
fn round(value: f64) -> f64 {
    (value * 1_000.0).round() / 1_000.0
}
