//! The routing decision as a pure function of its inputs and a seed.

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::state::config_image::ConfigImage;
use crate::state::decision_inputs::DecisionInputs;
use crate::state::model_spec::VersionStage;
use crate::state::route_decision::{
    CascadePlan, ChoiceReason, RefusalReason, RouteDecision, RouteOutcome, RouteTarget,
    VersionVerdict,
};
use crate::state::route_request::RouteRequest;
use crate::state::route_tables::RouteTables;
use crate::state::server_choice::{ServerShortage, choose_server};
use crate::state::time_point::TimePoint;
use crate::state::version_choice::choose_version;
use crate::state::version_filter::{
    VersionCandidate, allowed_versions, evaluate_version, keeps_pin,
};

/// Slots assumed for a server whose pool is not configured.
const DEFAULT_SLOTS: u32 = 32;

/// Decides where a request goes.
///
/// The same inputs and seed always give the same decision.
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
        reason: None,
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
    let mut inputs = DecisionInputs {
        request,
        workspace,
        image,
        tables,
        now,
        seed,
        pinned: false,
    };
    inputs.pinned = keeps_pin(&inputs);
    let mut candidates = Vec::with_capacity(allowed.len());
    for key in allowed {
        match evaluate_version(key, &inputs) {
            Ok(candidate) => candidates.push(candidate),
            Err(report) => decision.candidates.push(report),
        }
    }
    let (outcome, reason) = inputs.choose_target(&mut candidates);
    decision.outcome = outcome;
    decision.reason = reason;
    let reports = candidates.into_iter().map(|candidate| candidate.report);
    decision.candidates.extend(reports);
    decision
}

impl DecisionInputs<'_> {
    /// Tries the eligible versions in order of preference until a server takes the request.
    fn choose_target(
        &self,
        candidates: &mut [VersionCandidate<'_>],
    ) -> (RouteOutcome, Option<ChoiceReason>) {
        let mut generator = ChaCha8Rng::seed_from_u64(self.seed);
        let mut full_pool = None;
        let mut tried = false;
        while let Some(choice) = choose_version(
            candidates,
            self.request,
            self.workspace,
            self.pinned,
            &mut generator,
        ) {
            tried = true;
            let candidate = &mut candidates[choice.index];
            match self.choose_server(candidate, &mut generator) {
                Ok(first) => {
                    candidate.report.verdict = VersionVerdict::Chosen;
                    self.mark_below_target(candidates);
                    let outcome = match choice.cascade {
                        Some((escalation, estimate)) => RouteOutcome::Cascade(CascadePlan {
                            first,
                            escalation: candidates[escalation].report.version.clone(),
                            accept_rating: estimate.accept_rating,
                        }),
                        None => RouteOutcome::Dispatch(first),
                    };
                    return (outcome, Some(choice.reason));
                }
                Err(ServerShortage::Saturated) => {
                    candidate.report.verdict = VersionVerdict::Saturated;
                    full_pool.get_or_insert_with(|| candidate.spec.pool.clone());
                }
                Err(ServerShortage::NoServer) => {
                    candidate.report.verdict = VersionVerdict::NoServer;
                }
            }
        }
        if let Some(pool) = full_pool {
            return (RouteOutcome::Queue(pool), None);
        }
        if tried {
            return (RouteOutcome::Refuse(RefusalReason::NoServer), None);
        }
        let reason = self.refusal_without_version(candidates);
        (RouteOutcome::Refuse(reason), None)
    }

    /// Marks the outranked versions whose quality bound is below the target.
    fn mark_below_target(&self, candidates: &mut [VersionCandidate<'_>]) {
        let target = self.workspace.target_for(&self.request.task);
        for candidate in candidates {
            let report = &mut candidate.report;
            if report.verdict == VersionVerdict::Outranked && report.quality_bound < target {
                report.verdict = VersionVerdict::BelowTarget;
            }
        }
    }

    /// Returns the refusal reason for a request that no version may take.
    fn refusal_without_version(&self, candidates: &[VersionCandidate<'_>]) -> RefusalReason {
        let withdrawn = self.request.pinned.as_ref().is_some_and(|pinned| {
            let spec = self.image.version(pinned);
            spec.is_none_or(|spec| spec.stage == VersionStage::Withdrawn)
        });
        let unlisted = self.request.pinned.as_ref().is_some_and(|pinned| {
            candidates
                .iter()
                .all(|candidate| candidate.report.version != *pinned)
        });
        if self.pinned && (withdrawn || unlisted) {
            return RefusalReason::VersionWithdrawn;
        }
        RefusalReason::NoEligibleVersion
    }

    /// Chooses a server that takes work for a version.
    fn choose_server(
        &self,
        candidate: &VersionCandidate<'_>,
        generator: &mut ChaCha8Rng,
    ) -> Result<RouteTarget, ServerShortage> {
        let key = &candidate.report.version;
        let pool = &candidate.spec.pool;
        let domains = self.tables.servers.servers_of(pool, key);
        let pool_spec = self.image.pools.get(pool);
        let slots = pool_spec.map_or(DEFAULT_SLOTS, |pool| pool.slots_per_server);
        let server = choose_server(
            domains,
            slots,
            self.request,
            self.tables,
            self.now,
            generator,
        )?;
        Ok(RouteTarget {
            version: key.clone(),
            pool: pool.clone(),
            server: server.name.clone(),
            address: server.address.clone(),
            domain: server.domain.clone(),
        })
    }
}
