//! Background jobs that one host at a time runs: placement, roll-outs and the clean-up of claims.

use std::sync::Arc;
use std::time::Duration;

use tokio::task::JoinHandle;

use crate::coordination::placement_needs::required_replicas;
use crate::coordination::{CallPriority, ClaimRetention, PlacementSettings, VersionDemand};
use crate::logging::log_fault;
use crate::state::{
    ConfigImage, DomainName, RolloutSpec, ServerLifecycle, ServerRecord, ServerTable, VersionKey,
};
use crate::transport::claim_cleaner::ClaimCleaner;
use crate::transport::config_writer::ConfigWriter;
use crate::transport::host_context::HostContext;
use crate::transport::job_lease::JobLease;
use crate::transport::object_calls::ObjectCalls;
use crate::transport::placement_runner::{
    PlacementRunner, PlacementRunnerSettings, PlacementSources,
};
use crate::transport::rollout_runner::{RolloutRunner, RolloutSources};

/// Time between updates of which job leases this host contends for.
const CONTENTION_PERIOD: Duration = Duration::from_secs(1);
/// Time between passes over the roll-outs.
const ROLLOUT_PERIOD: Duration = Duration::from_secs(1);
/// Time between pages of the clean-up of claims.
const CLEAN_PERIOD: Duration = Duration::from_secs(1);
/// Claims on one page of the clean-up, so that a page with stored answers stays below 2 MiB.
const CLEAN_PAGE: usize = 16;
/// Hosts of a failure domain that contend for its placement.
const PLACEMENT_CONTENDERS: usize = 2;
/// Hosts of each failure domain that contend for a job of the whole fleet.
const FLEET_CONTENDERS: usize = 1;

/// Starts the jobs of a host; returns no task without a peer mesh or an object API.
pub fn start_singleton_jobs(context: &Arc<HostContext>) -> Vec<JoinHandle<()>> {
    if context.leases.is_none() || context.peers.get().is_none() {
        return Vec::new();
    }
    let domain = &context.settings.host.domain;
    let placement = format!("placement-{domain}");
    let placement = JobLease::new(context, &placement, PLACEMENT_CONTENDERS);
    let rollouts = JobLease::new(context, "rollouts", FLEET_CONTENDERS);
    let cleanup = JobLease::new(context, "claim-cleanup", FLEET_CONTENDERS);
    let leases = [placement.clone(), rollouts.clone(), cleanup.clone()];
    vec![
        tokio::spawn(refresh_leases(context.clone(), leases)),
        tokio::spawn(placement_runner(context, placement).run()),
        tokio::spawn(run_rollouts(context.clone(), rollouts)),
        tokio::spawn(clean_claims(context.clone(), cleanup)),
    ]
}

/// Updates periodically which job leases the host contends for.
async fn refresh_leases(context: Arc<HostContext>, leases: [Arc<JobLease>; 3]) {
    let mut ticks = context.timers.subscribe(CONTENTION_PERIOD);
    loop {
        ticks.tick().await;
        leases.iter().for_each(|lease| lease.refresh());
    }
}

/// Creates the placement runner of the host's failure domain.
fn placement_runner(context: &Arc<HostContext>, lease: Arc<JobLease>) -> PlacementRunner {
    let [image, servers, demand] = [(); 3].map(|()| context.clone());
    let domain = context.settings.host.domain.clone();
    let settings = PlacementRunnerSettings {
        host: context.settings.host.name.clone(),
        domain: domain.clone(),
        ..Default::default()
    };
    let held = lease.clone();
    let sources = PlacementSources {
        image: Arc::new(move || image.image.load_full()),
        servers: Arc::new(move || server_records(&servers.tables.load().servers)),
        demand: Arc::new(move || estimate_demand(&demand.tables.load().servers, &domain)),
        held_term: Arc::new(move || held.term()),
        confirm_term: Arc::new(move |term| {
            let lease = lease.clone();
            Box::pin(async move { lease.confirm(term).await })
        }),
    };
    PlacementRunner::new(
        context.client.clone(),
        context.timers.clone(),
        settings,
        sources,
    )
}

/// Runs the roll-out controller while the host holds the lease.
async fn run_rollouts(context: Arc<HostContext>, lease: Arc<JobLease>) {
    let Some(objects) = &context.objects else {
        return;
    };
    let writer = Arc::new(ConfigWriter::new(objects, context.timers.clone()));
    let [image, brakes, ratings, capacity] = [(); 4].map(|()| context.clone());
    let sources = RolloutSources {
        image: Arc::new(move || image.image.load_full()),
        holds_lease: Arc::new(move |_| lease.term().is_some()),
        is_braked: Arc::new(move |version| {
            let tables = brakes.tables.load();
            let until = tables.brakes.get(version);
            until.is_some_and(|until| *until > brakes.timers.now())
        }),
        ratings: Arc::new(move |version| {
            let call = ratings.rated_answers.load_full();
            call.map_or(0, |call| call(version))
        }),
        has_capacity: Arc::new(move |rollout| {
            let tables = capacity.tables.load();
            has_capacity(&capacity.image.load(), &tables.servers, rollout)
        }),
        apply: Arc::new(move |change| {
            let writer = writer.clone();
            Box::pin(async move { writer.apply(&change, false).await })
        }),
    };
    let host = context.settings.host.name.clone();
    let runner = RolloutRunner::new(host, context.timers.clone(), sources);
    runner.run(ROLLOUT_PERIOD).await;
}

/// Deletes claims past their retention, one page at a time, while the host holds the lease.
async fn clean_claims(context: Arc<HostContext>, lease: Arc<JobLease>) {
    let Some(objects) = &context.objects else {
        return;
    };
    let calls = ObjectCalls::from_client(&objects.with_priority(CallPriority::Status));
    let retention = ClaimRetention {
        window: context.settings.routing.claim_retention,
        ..Default::default()
    };
    let mut cleaner = ClaimCleaner::new(calls, retention);
    let mut ticks = context.timers.subscribe(CLEAN_PERIOD);
    loop {
        ticks.tick().await;
        if lease.term().is_none() {
            continue;
        }
        let unix_ms = context.timers.unix_millis();
        if let Err(error) = cleaner.clean_page(CLEAN_PAGE, unix_ms).await {
            log_fault("claims", &error);
        }
    }
}

/// Returns copies of the records of all servers.
fn server_records(servers: &ServerTable) -> Vec<ServerRecord> {
    servers
        .servers()
        .map(|record| ServerRecord::clone(record))
        .collect()
}

/// Estimates the demand for each version in a failure domain, in running and waiting requests.
///
/// Servers report only their total load, which is divided evenly among the versions they serve.
fn estimate_demand(servers: &ServerTable, domain: &DomainName) -> VersionDemand {
    let mut demand = VersionDemand::new();
    for record in servers.servers().filter(|record| record.domain == *domain) {
        let requests = f64::from(record.load.running + record.load.waiting);
        let share = requests / record.versions.len().max(1) as f64;
        for version in &record.versions {
            *demand.entry(version.clone()).or_default() += share;
        }
    }
    demand
}

/// Returns whether every failure domain has enough live replicas of the candidate for its demand.
fn has_capacity(image: &ConfigImage, servers: &ServerTable, rollout: &RolloutSpec) -> bool {
    let candidate = VersionKey {
        model: rollout.model.clone(),
        version: rollout.candidate.clone(),
    };
    let Some(spec) = image.version(&candidate) else {
        return false;
    };
    let engines: Vec<_> = servers.servers_in(&spec.pool).collect();
    engines.iter().all(|engine| {
        let domain = &engine.domain;
        let demand = estimate_demand(servers, domain);
        let needs = required_replicas(image, &demand, &PlacementSettings::default());
        let needed = needs.get(&candidate).map_or(0, |need| need.needed);
        let serving = engines.iter().filter(|other| {
            let live = other.lifecycle == ServerLifecycle::Live && other.domain == *domain;
            live && other.versions.contains(&candidate)
        });
        serving.count() >= needed
    })
}
