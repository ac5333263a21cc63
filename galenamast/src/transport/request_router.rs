//! Makes and logs the routing decisions of a request.

use std::collections::BTreeSet;

use log::Level;

use crate::coordination::{RequestEvent, choose_service_server};
use crate::logging::log_record;
use crate::protocol::{DecisionRecord, LogRecord};
use crate::state::{RouteDecision, RouteOutcome, RouteRequest, ServerName, VersionKey, plan_route};
use crate::transport::caller_request::{RequestJob, RequestWork};
use crate::transport::host_context::HostContext;

/// Input of one routing decision.
#[derive(Debug)]
pub struct RouteQuery<'a> {
    /// Request to route.
    pub job: &'a RequestJob,
    /// Servers that must not be chosen.
    pub excluded: BTreeSet<ServerName>,
    /// Version that must be chosen; `None` leaves the choice to the router.
    pub version: Option<VersionKey>,
    /// Number of the attempt that the decision is for.
    pub attempt: u32,
    /// Whether the request was just released from the queue.
    pub released: bool,
}

/// Makes and logs a routing decision.
pub fn make_decision(context: &HostContext, query: RouteQuery<'_>) -> RequestEvent {
    let now = context.timers.now();
    let mut request = RouteRequest {
        time_left: query.job.deadline.since(now),
        excluded: query.excluded,
        ..query.job.route.clone()
    };
    if query.version.is_some() {
        request.pinned = query.version;
    }
    let mut decision = match &query.job.work {
        RequestWork::Chat(_) => {
            let (image, tables) = (context.image.load(), context.tables.load());
            plan_route(&request, &image, &tables, now, context.next_seed())
        }
        RequestWork::Service(call) => {
            let (image, tables) = (context.image.load(), context.tables.load());
            let seed = context.next_seed();
            let slots = image
                .pools
                .get(&call.pool)
                .map_or(1, |p| p.slots_per_server);
            let outcome =
                choose_service_server(&call.pool, &tables, &request.excluded, slots, seed);
            RouteDecision {
                generation: image.generation,
                seed,
                outcome,
                reason: None,
                candidates: Vec::new(),
            }
        }
    };
    if !query.released {
        queue_behind_waiters(context, &mut decision.outcome);
    }
    let event = RequestEvent::Routed {
        generation: decision.generation,
        outcome: decision.outcome.clone(),
    };
    log_record(
        Level::Info,
        &LogRecord::Decision(DecisionRecord {
            request_id: request.id,
            attempt: query.attempt,
            workspace: request.workspace,
            task: request.task,
            session: query
                .job
                .session
                .as_ref()
                .map(|known| known.claims.session.clone()),
            decision,
        }),
    );
    event
}

/// Queues a new request if others already wait for the pool that it would be sent to.
fn queue_behind_waiters(context: &HostContext, outcome: &mut RouteOutcome) {
    let pool = match outcome {
        RouteOutcome::Dispatch(target) => &target.pool,
        RouteOutcome::Cascade(plan) => &plan.first.pool,
        RouteOutcome::Queue(_) | RouteOutcome::Refuse(_) => return,
    };
    if context.queue.has_waiters(pool) {
        *outcome = RouteOutcome::Queue(pool.clone());
    }
}
