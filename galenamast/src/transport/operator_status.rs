//! Operator call that reports the state of a host, its peers and its backend servers.

use std::collections::BTreeSet;
use std::sync::atomic::Ordering;
use std::sync::{Arc, PoisonError};
use std::time::Duration;

use tonic::{Request, Response, Status, async_trait};

use crate::coordination::DomainProgress;
use crate::generated::operator as wire;
use crate::generated::operator::status_service_server::StatusService;
use crate::protocol::operator_json::snake_name;
use crate::protocol::operator_objects::{milliseconds, version_to_wire};
use crate::protocol::operator_refusal::OperatorRefusal;
use crate::protocol::operator_rollout::rollout_to_wire;
use crate::protocol::operator_tokens::OperatorRole;
use crate::state::{ConfigGeneration, ServerRecord};
use crate::transport::host_context::HostContext;
use crate::transport::operator_context::{OperatorContext, answer};

/// Age above which the progress of a failure domain counts as unknown.
const MAX_PROGRESS_AGE: Duration = Duration::from_secs(15);

/// Serves `GetStatus`.
#[derive(Debug)]
pub struct StatusCalls {
    operator: Arc<OperatorContext>,
}

impl StatusCalls {
    /// Creates the service for the operator protocol of one host.
    pub fn new(operator: Arc<OperatorContext>) -> Self {
        Self { operator }
    }

    /// Reports the state of the called host.
    fn report(
        &self,
        request: &Request<wire::GetStatusRequest>,
    ) -> Result<wire::Status, OperatorRefusal> {
        self.operator.authorise(request, OperatorRole::Read)?;
        let asked = request.get_ref().generation.map(ConfigGeneration);
        Ok(status_of(&self.operator.host, asked))
    }
}

/// Builds the status of a host; `asked` is the generation to report the propagation of.
fn status_of(host: &HostContext, asked: Option<ConfigGeneration>) -> wire::Status {
    let image = host.image.load();
    let tables = host.tables.load();
    let draining = host.draining.load(Ordering::Relaxed);
    let own = &host.settings.host;
    wire::Status {
        host: own.name.to_string(),
        domain: own.domain.to_string(),
        program_version: env!("CARGO_PKG_VERSION").into(),
        generation: image.generation.0,
        ready: host.is_ready(),
        draining,
        hosts: host_statuses(host),
        servers: tables
            .servers
            .servers()
            .map(|server| server_status(server))
            .collect(),
        rollouts: image
            .rollouts
            .values()
            .map(|spec| rollout_to_wire(spec))
            .collect(),
        brakes: brake_statuses(host),
        leases: lease_statuses(host),
        buffers: Some(buffer_status(host)),
        propagation: Some(propagation_of(host, asked.unwrap_or(image.generation))),
        freshness_age_ms: (image.generation.0 > 0).then(|| milliseconds(tables.config_age)),
    }
}

/// Builds the status of the brakes in force.
fn brake_statuses(host: &HostContext) -> Vec<wire::BrakeStatus> {
    let tables = host.tables.load();
    let notes = host.brake_notes.load();
    let now = host.timers.now();
    let brakes = tables.brakes.iter().filter(|(_, expiry)| **expiry > now);
    let described = brakes.map(|(key, _)| {
        let note = notes.iter().find(|note| note.version == *key);
        wire::BrakeStatus {
            version: Some(version_to_wire(key)),
            host: note.map(|note| note.origin.to_string()).unwrap_or_default(),
            evidence: note
                .map(|note| snake_name(&note.verdict))
                .unwrap_or_default(),
        }
    });
    described.collect()
}

/// Builds the status of the leases that the host holds or contends for.
fn lease_statuses(host: &HostContext) -> Vec<wire::LeaseStatus> {
    let views = host.leases.as_ref().map(|leases| leases.views());
    let now = host.timers.now();
    let described = views.into_iter().flatten().map(|view| wire::LeaseStatus {
        lease: view.lease.to_string(),
        holder: view
            .holder_at(now)
            .map(ToString::to_string)
            .unwrap_or_default(),
        term: view.term,
    });
    described.collect()
}

/// Builds the fill levels of the buffers and queues of the host.
fn buffer_status(host: &HostContext) -> wire::BufferStatus {
    let ledger = host.ledger.as_ref().map(|ledger| ledger.status());
    let quarantine = host
        .quarantine
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    wire::BufferStatus {
        usage_held_bytes: ledger.as_ref().map_or(0, |status| status.held_bytes as u64),
        usage_age_ms: ledger.map_or(0, |status| milliseconds(status.oldest_age)),
        accused_requests: quarantine.fingerprint_count() as u64,
        queued_requests: host.queue.waiting() as u64,
        requests_in_flight: host.request_registry.len() as u64,
    }
}

/// Builds the status of a backend server.
fn server_status(server: &ServerRecord) -> wire::ServerStatus {
    wire::ServerStatus {
        server: server.name.to_string(),
        pool: server.pool.to_string(),
        domain: server.domain.to_string(),
        state: snake_name(&server.lifecycle),
        running_requests: server.load.running,
        queued_requests: server.load.waiting,
    }
}

/// Returns where a generation is in force, as far as the called host knows.
///
/// The known failure domains are those of known hosts and backend servers.
pub(crate) fn propagation_of(host: &HostContext, asked: ConfigGeneration) -> wire::Propagation {
    let domain_progress = recent_progress(host);
    let mut not_reached = known_domains(host);
    for progress in &domain_progress {
        not_reached.remove(progress.domain.as_str());
    }
    let in_force = |progress: &DomainProgress| progress.hosts > 0 && progress.lowest >= asked;
    wire::Propagation {
        generation: asked.0,
        everywhere: not_reached.is_empty() && domain_progress.iter().all(in_force),
        domains: domain_progress
            .iter()
            .map(|progress| progress_to_wire(progress, asked))
            .collect(),
        domains_not_reached: not_reached.into_iter().collect(),
    }
}

/// Returns the recent progress of failure domains.
///
/// A host without live peers in its own failure domain reports the progress of that domain itself.
fn recent_progress(host: &HostContext) -> Vec<DomainProgress> {
    let domain_progress = host.config.get().map(|config| config.domain_progress());
    let mut domain_progress = domain_progress.unwrap_or_default();
    domain_progress.retain(|progress| progress.age <= MAX_PROGRESS_AGE);
    let own = &host.settings.host;
    let peers = host.peers.get().map(|peers| peers.members());
    let alone = peers.is_none_or(|members| members.live_peers().next().is_none());
    if alone
        && !domain_progress
            .iter()
            .any(|progress| progress.domain == own.domain)
    {
        domain_progress.push(DomainProgress {
            domain: own.domain.clone(),
            hosts: 1,
            lowest: host.image.load().generation,
            behind: vec![own.name.clone()],
            age: Duration::ZERO,
        });
    }
    domain_progress
}

/// Lists the failure domains of known hosts and backend servers.
fn known_domains(host: &HostContext) -> BTreeSet<String> {
    let tables = host.tables.load();
    let servers = tables.servers.servers();
    let mut domains: BTreeSet<String> = servers.map(|server| server.domain.to_string()).collect();
    domains.insert(host.settings.host.domain.to_string());
    if let Some(peers) = host.peers.get() {
        let members = peers.members();
        let contacts = members.contacts.values();
        domains.extend(contacts.map(|record| record.domain.to_string()));
    }
    domains
}

/// Converts the progress of a failure domain.
fn progress_to_wire(progress: &DomainProgress, asked: ConfigGeneration) -> wire::DomainPropagation {
    let behind = progress.behind.iter().filter(|_| progress.lowest < asked);
    wire::DomainPropagation {
        domain: progress.domain.to_string(),
        live_hosts: progress.hosts,
        lowest_generation: progress.lowest.0,
        hosts_behind: behind.map(ToString::to_string).collect(),
        age_ms: milliseconds(progress.age),
    }
}

/// Builds the status of the entry hosts that the called host knows, itself first.
fn host_statuses(host: &HostContext) -> Vec<wire::HostStatus> {
    let own = &host.settings.host;
    let generation = host.image.load().generation;
    let mut statuses = vec![wire::HostStatus {
        host: own.name.to_string(),
        domain: own.domain.to_string(),
        state: "alive".into(),
        generation: Some(generation.0),
    }];
    let Some(peers) = host.peers.get() else {
        return statuses;
    };
    let members = peers.members();
    let known = members.members.values().chain(members.contacts.values());
    let others = known.filter(|record| record.name != own.name);
    statuses.extend(others.map(|record| wire::HostStatus {
        host: record.name.to_string(),
        domain: record.domain.to_string(),
        state: snake_name(&record.status),
        generation: None,
    }));
    statuses
}

#[async_trait]
impl StatusService for StatusCalls {
    async fn get_status(
        &self,
        request: Request<wire::GetStatusRequest>,
    ) -> Result<Response<wire::Status>, Status> {
        answer("GetStatus", self.report(&request))
    }
}
