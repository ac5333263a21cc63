//! Shares the demand of workspaces between entry hosts.

use std::collections::BTreeSet;
use std::sync::{Arc, MutexGuard, PoisonError};
use std::time::Duration;

use crate::coordination::{AdmissionControl, PeerScope, rank_hosts};
use crate::logging::log_fault;
use crate::protocol::SoftState;
use crate::state::{DomainName, HostName};
use crate::transport::host_context::HostContext;
use crate::transport::peer_mesh::SoftStateHandler;

/// Time between two publications of the demand.
const DEMAND_PERIOD: Duration = Duration::from_secs(1);
/// Rendezvous task that selects the host that sums up the demand of its failure domain.
const DEMAND_TASK: &str = "domain-demand";

/// Subscribes to the demand of other entry hosts and failure domains.
pub fn subscribe_demand(context: &Arc<HostContext>) {
    let Some(mesh) = context.peers.get() else {
        return;
    };
    // The context owns the mesh; a strong reference in its handler would leak both.
    let context = Arc::downgrade(context);
    let handler: SoftStateHandler = Arc::new(move |_: &HostName, state: &SoftState| {
        let Some(context) = context.upgrade() else {
            return;
        };
        match state {
            SoftState::Demand(digest) => control(&context).shares.merge_host_demand(digest),
            SoftState::DomainDemand(demand) => control(&context).shares.merge_domain_demand(demand),
            _ => {}
        }
    });
    mesh.on_soft_state(&handler);
}

/// Publishes the demand of this host until the task is aborted.
pub async fn publish_demand(context: Arc<HostContext>) {
    let mut ticks = context.timers.subscribe(DEMAND_PERIOD);
    loop {
        publish_once(&context);
        ticks.tick().await;
    }
}

/// Broadcasts the changed demand of this host to its failure domain and, if this host is selected,
/// the sum of its domain to the fleet.
fn publish_once(context: &HostContext) {
    let Some(mesh) = context.peers.get() else {
        return;
    };
    let members = mesh.members();
    let hosts: BTreeSet<HostName> = members.live().map(|record| record.name.clone()).collect();
    let contacts = members.contacts.values();
    let contacts = contacts.filter(|record| record.is_live());
    let domains: BTreeSet<DomainName> = contacts.map(|record| record.domain.clone()).collect();
    let is_summarizer = rank_hosts(DEMAND_TASK, &hosts).first() == Some(mesh.own());
    let now = context.timers.now();
    let (digest, summary) = {
        let mut control = control(context);
        control.shares.set_members(&hosts, domains, now);
        let digest = control.shares.tick(now);
        let summary = is_summarizer
            .then(|| control.shares.publish_domain_demand(now))
            .flatten();
        (digest, summary)
    };
    let digest = digest.map(|digest| (PeerScope::DomainPeriodic, SoftState::Demand(digest)));
    let summary = summary.map(|demand| (PeerScope::FleetPeriodic, SoftState::DomainDemand(demand)));
    for (scope, state) in digest.into_iter().chain(summary) {
        if let Err(error) = mesh.broadcast(scope, &state) {
            log_fault("demand", &error);
        }
    }
}

/// Locks the admission control; a poisoned lock is used as it is.
fn control(context: &HostContext) -> MutexGuard<'_, AdmissionControl> {
    context
        .admission
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
}
