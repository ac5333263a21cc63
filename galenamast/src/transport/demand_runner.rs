//! Tells other entry hosts the demand of workspaces, and takes in theirs.

use std::collections::BTreeSet;
use std::sync::{Arc, MutexGuard, PoisonError};
use std::time::Duration;

use crate::coordination::{AdmissionControl, PeerScope, rank_hosts};
use crate::logging::log_fault;
use crate::protocol::SoftState;
use crate::state::{DomainName, HostName};
use crate::transport::host_context::HostContext;
use crate::transport::peer_mesh::SoftStateHandler;

/// Time between two looks at the demand.
const DEMAND_PERIOD: Duration = Duration::from_secs(1);
/// Task name by which the host is chosen that sums up for its failure domain.
const DEMAND_TASK: &str = "domain-demand";

/// Takes in the demand that other entry hosts tell from now on.
pub fn subscribe_demand(context: &Arc<HostContext>) {
    let Some(mesh) = context.peers.get() else {
        return;
    };
    // The mesh belongs to the context, which a strong reference would keep for ever.
    let context = Arc::downgrade(context);
    let handler: SoftStateHandler = Arc::new(move |_: &HostName, state: &SoftState| {
        let Some(context) = context.upgrade() else {
            return;
        };
        match state {
            SoftState::Demand(digest) => control(&context).shares.merge_host_demand(digest),
            SoftState::DomainDemand(told) => control(&context).shares.merge_domain_demand(told),
            _ => {}
        }
    });
    mesh.on_soft_state(&handler);
}

/// Tells the demand of this host until the task is aborted.
pub async fn publish_demand(context: Arc<HostContext>) {
    let mut ticks = context.timers.subscribe(DEMAND_PERIOD);
    loop {
        tell_once(&context);
        ticks.tick().await;
    }
}

/// Tells what changed since the last look.
fn tell_once(context: &HostContext) {
    let Some(mesh) = context.peers.get() else {
        return;
    };
    let members = mesh.members();
    let hosts: BTreeSet<HostName> = members.live().map(|record| record.name.clone()).collect();
    let contacts = members.contacts.values();
    let contacts = contacts.filter(|record| record.is_live());
    let domains: BTreeSet<DomainName> = contacts.map(|record| record.domain.clone()).collect();
    let sums_up = rank_hosts(DEMAND_TASK, &hosts).first() == Some(mesh.own());
    let now = context.timers.now();
    let (digest, summary) = {
        let mut control = control(context);
        control.shares.set_members(&hosts, domains, now);
        let digest = control.shares.tick(now);
        let summary = sums_up
            .then(|| control.shares.publish_domain_demand(now))
            .flatten();
        (digest, summary)
    };
    let digest = digest.map(|digest| (PeerScope::DomainPeriodic, SoftState::Demand(digest)));
    let summary = summary.map(|told| (PeerScope::FleetPeriodic, SoftState::DomainDemand(told)));
    for (scope, state) in digest.into_iter().chain(summary) {
        if let Err(error) = mesh.broadcast(scope, &state) {
            log_fault("demand", &error);
        }
    }
}

/// Locks the limits of the workspaces.
fn control(context: &HostContext) -> MutexGuard<'_, AdmissionControl> {
    context
        .admission
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
}
