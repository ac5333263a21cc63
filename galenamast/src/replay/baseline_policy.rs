//! Routing policies of a replay: the production one, and baselines to compare it with.

use std::str::FromStr;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::state::{
    ConfigImage, RouteRequest, RouteTables, RouteTarget, ServerLifecycle, ServerRecord, TimePoint,
    VersionKey, VersionSpec, VersionStage, plan_route,
};
use crate::state::{RouteDecision, RouteOutcome};

/// Routing policy of a replay.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PolicyName {
    /// The routing decision used in production.
    Galenamast,
    /// The routing decision used in production, with roll-outs analysed every ten minutes instead
    /// of tested sequentially.
    FixedInterval,
    /// A random allowed version on a random server.
    RandomEligible,
    /// Established versions and servers in rotation.
    RoundRobin,
    /// The established version with the highest expected quality, on a random server.
    AlwaysBest,
    /// The cheapest established version, on a random server.
    AlwaysCheapest,
    /// A random established version on its least loaded server.
    LeastLoaded,
}

/// Names of the policies on the command line.
pub const POLICY_NAMES: [(&str, PolicyName); 7] = [
    ("galenamast", PolicyName::Galenamast),
    ("fixed-interval", PolicyName::FixedInterval),
    ("random-eligible", PolicyName::RandomEligible),
    ("round-robin", PolicyName::RoundRobin),
    ("always-best", PolicyName::AlwaysBest),
    ("always-cheapest", PolicyName::AlwaysCheapest),
    ("least-loaded", PolicyName::LeastLoaded),
];

impl PolicyName {
    /// Returns the name on the command line.
    ///
    /// ```
    /// use galenamast::replay::PolicyName;
    ///
    /// assert_eq!(PolicyName::RoundRobin.label(), "round-robin");
    /// ```
    pub fn label(self) -> &'static str {
        let named = POLICY_NAMES.iter().find(|(_, policy)| *policy == self);
        named.map_or("unknown", |(name, _)| name)
    }

    /// Returns whether the policy uses the routing decision used in production.
    pub fn uses_planner(self) -> bool {
        matches!(self, Self::Galenamast | Self::FixedInterval)
    }
}

impl FromStr for PolicyName {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let named = POLICY_NAMES.iter().find(|(name, _)| *name == text);
        named
            .map(|(_, policy)| *policy)
            .ok_or_else(|| format!("`{text}` is not a policy"))
    }
}

/// Routes a request by a policy.
///
/// Policies that rotate choose by `rotation`.
pub(crate) fn decide(
    policy: PolicyName,
    request: &RouteRequest,
    image: &ConfigImage,
    tables: &RouteTables,
    now: TimePoint,
    seed: u64,
    rotation: usize,
) -> RouteDecision {
    let mut decision = plan_route(request, image, tables, now, seed);
    if policy.uses_planner() {
        return decision;
    }
    let mut generator = ChaCha8Rng::seed_from_u64(seed);
    let version = choose_version(policy, request, image, seed, rotation, &mut generator);
    let target = version
        .and_then(|key| choose_server(policy, &key, image, tables, now, rotation, &mut generator));
    if let Some(target) = target {
        decision.outcome = RouteOutcome::Dispatch(target);
    }
    decision
}

/// Chooses a version by a baseline policy.
///
/// Some of the requests for the baseline of a roll-out get its candidate, according to the share of
/// the current step.
fn choose_version(
    policy: PolicyName,
    request: &RouteRequest,
    image: &ConfigImage,
    seed: u64,
    rotation: usize,
    generator: &mut ChaCha8Rng,
) -> Option<VersionKey> {
    if request.pinned.is_some() {
        return request.pinned.clone();
    }
    let workspace = image.workspaces.get(&request.workspace)?;
    let mut known: Vec<(VersionKey, &VersionSpec)> = Vec::new();
    for (model, versions) in &workspace.allowed {
        for version in versions {
            let key = VersionKey {
                model: model.clone(),
                version: version.clone(),
            };
            if let Some(spec) = image.version(&key) {
                known.push((key, spec));
            }
        }
    }
    if policy == PolicyName::RandomEligible {
        let index = generator.random_range(0..known.len());
        return known.get(index).map(|(key, _)| key.clone());
    }
    let established: Vec<_> = known
        .iter()
        .filter(|(_, spec)| spec.stage == VersionStage::Established)
        .collect();
    let tokens = u64::from(request.max_output_tokens);
    let price = |spec: &VersionSpec| spec.price_of(u64::from(request.prompt_tokens), tokens);
    let chosen = match policy {
        PolicyName::AlwaysBest => established
            .iter()
            .max_by(|left, right| left.1.prior_quality.total_cmp(&right.1.prior_quality)),
        PolicyName::AlwaysCheapest => established.iter().min_by_key(|(_, spec)| price(spec)),
        PolicyName::LeastLoaded => established.get(generator.random_range(0..established.len())),
        _ => established.get(rotation % established.len()),
    };
    let (chosen, _) = chosen?;
    let rollout = image.rollouts.values().find(|rollout| {
        rollout.model == chosen.model
            && rollout.baseline == chosen.version
            && seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) % 1_000 < u64::from(rollout.current_share())
    });
    Some(VersionKey {
        model: chosen.model.clone(),
        version: rollout
            .map_or(&chosen.version, |found| &found.candidate)
            .clone(),
    })
}

/// Chooses a server by a baseline policy.
fn choose_server(
    policy: PolicyName,
    key: &VersionKey,
    image: &ConfigImage,
    tables: &RouteTables,
    now: TimePoint,
    rotation: usize,
    generator: &mut ChaCha8Rng,
) -> Option<RouteTarget> {
    let pool = &image.version(key)?.pool;
    let servers: Vec<&ServerRecord> = tables
        .servers
        .servers_in(pool)
        .map(AsRef::as_ref)
        .filter(|server| server.lifecycle == ServerLifecycle::Live && server.versions.contains(key))
        .collect();
    if servers.is_empty() {
        return None;
    }
    let load_of = |server: &&&ServerRecord| {
        let reported = server.load.running + server.load.waiting;
        let own = server
            .in_flight
            .get()
            .saturating_sub(server.local_at_report);
        (reported + own, now.since(server.reported_at))
    };
    let server = match policy {
        PolicyName::LeastLoaded => servers.iter().min_by_key(load_of)?,
        PolicyName::RoundRobin => &servers[rotation % servers.len()],
        _ => &servers[generator.random_range(0..servers.len())],
    };
    Some(RouteTarget {
        version: key.clone(),
        pool: pool.clone(),
        server: server.name.clone(),
        address: server.address.clone(),
        domain: server.domain.clone(),
    })
}
