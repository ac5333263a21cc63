//! Operator call that reports what a host and its peers are doing.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use tonic::{Request, Response, Status, async_trait};

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

/// Serves the call that reports the state of a host.
#[derive(Debug)]
pub struct StatusCalls {
    operator: Arc<OperatorContext>,
}

impl StatusCalls {
    /// Creates the calls.
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

/// Describes a host.
fn status_of(host: &HostContext, asked: Option<ConfigGeneration>) -> wire::Status {
    let image = host.image.load();
    let tables = host.tables.load();
    let now = host.timers.now();
    let draining = host.draining.load(Ordering::Relaxed);
    let own = &host.settings.host;
    let brakes = tables.brakes.iter().filter(|(_, expiry)| **expiry > now);
    wire::Status {
        host: own.name.to_string(),
        domain: own.domain.to_string(),
        program_version: env!("CARGO_PKG_VERSION").into(),
        generation: image.generation.0,
        ready: image.generation.0 > 0 && !draining,
        draining,
        hosts: vec![wire::HostStatus {
            host: own.name.to_string(),
            domain: own.domain.to_string(),
            state: "alive".into(),
            generation: image.generation.0,
        }],
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
        brakes: brakes
            .map(|(key, _)| wire::BrakeStatus {
                version: Some(version_to_wire(key)),
                ..Default::default()
            })
            .collect(),
        leases: Vec::new(),
        buffers: None,
        propagation: Some(propagation_of(host, asked.unwrap_or(image.generation))),
        freshness_age_ms: (image.generation.0 > 0).then(|| milliseconds(tables.config_age)),
    }
}

/// Describes a backend server.
fn server_status(server: &ServerRecord) -> wire::ServerStatus {
    wire::ServerStatus {
        server: server.name.to_string(),
        pool: server.pool.to_string(),
        domain: server.domain.to_string(),
        state: snake_name(&server.life),
        running_requests: server.load.running,
        queued_requests: server.load.waiting,
    }
}

/// Says where a generation is in force, as far as the called host knows.
///
/// Failure domains are those of known hosts and backend servers; one of which no host answers for
/// the generation is not reached.
pub(crate) fn propagation_of(host: &HostContext, asked: ConfigGeneration) -> wire::Propagation {
    let own = &host.settings.host;
    let in_force = host.image.load().generation >= asked;
    let tables = host.tables.load();
    let servers = tables.servers.servers();
    let mut domains: BTreeSet<String> = servers.map(|server| server.domain.to_string()).collect();
    domains.remove(own.domain.as_str());
    let own_name = vec![own.name.to_string()];
    let (hosts_in_force, hosts_behind) = match in_force {
        true => (own_name, Vec::new()),
        false => (Vec::new(), own_name),
    };
    wire::Propagation {
        generation: asked.0,
        hosts_in_force,
        hosts_behind,
        domains_not_reached: domains.into_iter().collect(),
        this_host_only: true,
    }
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
