//! The routing decision as a pure function of its inputs and a seed.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::state::config_image::ConfigImage;
use crate::state::model_spec::VersionStage;
use crate::state::route_decision::{
    RefusalReason, RouteDecision, RouteOutcome, RouteTarget, VersionReport, VersionVerdict,
};
use crate::state::route_request::RouteRequest;
use crate::state::route_tables::RouteTables;
use crate::state::server_record::{ServerLife, ServerRecord};
use crate::state::time_point::TimePoint;
use crate::state::version_key::VersionKey;
use crate::state::workspace_spec::WorkspaceSpec;

/// Decides where a request goes.
///
/// The same inputs and seed give the same decision.
///
/// ```
/// use galenamast::state::{
///     ConfigImage, RefusalReason, RouteOutcome, RouteRequest, RouteTables, TimePoint, plan_route,
/// };
///
/// let image = ConfigImage::default();
/// let tables = RouteTables::default();
/// let decision = plan_route(&RouteRequest::default(), &image, &tables, TimePoint::ZERO, 7);
/// assert_eq!(decision.outcome, RouteOutcome::Refuse(RefusalReason::UnknownWorkspace));
/// ```
pub fn plan_route(
    request: &RouteRequest,
    image: &ConfigImage,
    tables: &RouteTables,
    now: TimePoint,
    seed: u64,
) -> RouteDecision {
    let mut decision = RouteDecision {
        generation: image.generation,
        seed,
        outcome: RouteOutcome::Refuse(RefusalReason::UnknownWorkspace),
        candidates: Vec::new(),
    };
    let Some(workspace) = image.workspaces.get(&request.workspace) else {
        return decision;
    };
    let allowed = allowed_versions(request, workspace);
    if allowed.is_empty() {
        decision.outcome = RouteOutcome::Refuse(RefusalReason::ModelNotAllowed);
        return decision;
    }
    decision.candidates = allowed
        .into_iter()
        .map(|key| report_version(key, request, image, tables, now))
        .collect();
    decision.outcome = choose_target(&mut decision.candidates, request, image, tables, seed);
    decision
}

/// Lists the versions that the workspace may use for the request.
fn allowed_versions(request: &RouteRequest, workspace: &WorkspaceSpec) -> Vec<VersionKey> {
    let mut keys = Vec::new();
    for (model, versions) in &workspace.allowed {
        if request.model.as_ref().is_some_and(|asked| asked != model) {
            continue;
        }
        for version in versions {
            keys.push(VersionKey {
                model: model.clone(),
                version: version.clone(),
            });
        }
    }
    keys
}

/// Judges whether a version may take the request.
fn report_version(
    key: VersionKey,
    request: &RouteRequest,
    image: &ConfigImage,
    tables: &RouteTables,
    now: TimePoint,
) -> VersionReport {
    let Some(spec) = image.version(&key) else {
        let verdict = VersionVerdict::Unknown;
        return VersionReport {
            version: key,
            verdict,
            quality: 0.0,
            quality_bound: 0.0,
            price: 0,
        };
    };
    let price = spec.price_of(
        u64::from(request.prompt_tokens),
        u64::from(request.max_output_tokens),
    );
    let stale = spec
        .freshness_limit()
        .is_some_and(|limit| tables.config_age > limit);
    let braked = tables.brakes.get(&key).is_some_and(|expiry| *expiry > now);
    let verdict = if spec.stage == VersionStage::Withdrawn {
        VersionVerdict::Withdrawn
    } else if request.pinned.as_ref().is_some_and(|pinned| *pinned != key) {
        VersionVerdict::NotPinned
    } else if braked {
        VersionVerdict::Braked
    } else if stale {
        VersionVerdict::Stale
    } else {
        VersionVerdict::Outranked
    };
    let quality = spec.prior_quality;
    VersionReport {
        version: key,
        verdict,
        quality,
        quality_bound: quality,
        price,
    }
}

/// Chooses a version and a server among the versions that may take the request.
fn choose_target(
    candidates: &mut [VersionReport],
    request: &RouteRequest,
    image: &ConfigImage,
    tables: &RouteTables,
    seed: u64,
) -> RouteOutcome {
    let mut generator = ChaCha8Rng::seed_from_u64(seed);
    let mut eligible: Vec<usize> = (0..candidates.len())
        .filter(|index| candidates[*index].verdict == VersionVerdict::Outranked)
        .collect();
    if eligible.is_empty() {
        return RouteOutcome::Refuse(refusal_without_version(candidates));
    }
    while !eligible.is_empty() {
        let index = eligible.swap_remove(generator.random_range(0..eligible.len()));
        let report = &mut candidates[index];
        if let Some(target) = choose_server(&report.version, request, image, tables, &mut generator)
        {
            report.verdict = VersionVerdict::Chosen;
            return RouteOutcome::Dispatch(target);
        }
        report.verdict = VersionVerdict::NoServer;
    }
    RouteOutcome::Refuse(RefusalReason::NoServer)
}

/// Names the reason why no version may take the request.
fn refusal_without_version(candidates: &[VersionReport]) -> RefusalReason {
    let withdrawn = candidates
        .iter()
        .any(|report| report.verdict == VersionVerdict::Withdrawn);
    let pinned = candidates
        .iter()
        .any(|report| report.verdict == VersionVerdict::NotPinned);
    if withdrawn && pinned {
        return RefusalReason::VersionWithdrawn;
    }
    RefusalReason::NoEligibleVersion
}

/// Chooses a server that takes work for a version.
fn choose_server(
    key: &VersionKey,
    request: &RouteRequest,
    image: &ConfigImage,
    tables: &RouteTables,
    generator: &mut ChaCha8Rng,
) -> Option<RouteTarget> {
    let pool = &image.version(key)?.pool;
    let usable: Vec<&ServerRecord> = tables
        .servers
        .servers_in(pool)
        .map(AsRef::as_ref)
        .filter(|server| server.life == ServerLife::Live)
        .filter(|server| server.versions.contains(key))
        .filter(|server| !request.excluded.contains(&server.name))
        .collect();
    if usable.is_empty() {
        return None;
    }
    let server = usable[generator.random_range(0..usable.len())];
    Some(RouteTarget {
        version: key.clone(),
        pool: pool.clone(),
        server: server.name.clone(),
        address: server.address.clone(),
        domain: server.domain.clone(),
    })
}
