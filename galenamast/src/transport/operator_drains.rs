//! Operator calls that drain and restore hosts and backend servers.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use log::Level;
use tonic::{Request, Response, Status, async_trait};

use crate::coordination::ConfigObject;
use crate::generated::operator as wire;
use crate::generated::operator::drain_service_server::DrainService;
use crate::logging::log_record;
use crate::protocol::LogRecord;
use crate::protocol::operator_objects::checked_name;
use crate::protocol::operator_refusal::{OperatorRefusal, RefusalCode};
use crate::protocol::operator_tokens::OperatorRole;
use crate::state::{ConfigImage, PoolName, ServerName};
use crate::transport::operator_context::{OperatorContext, answer};

/// Serves `DrainHost` and `DrainServer`.
#[derive(Debug)]
pub struct DrainCalls {
    operator: Arc<OperatorContext>,
}

impl DrainCalls {
    /// Creates the service for the operator protocol of one host.
    pub fn new(operator: Arc<OperatorContext>) -> Self {
        Self { operator }
    }

    /// Drains or restores the called host, without a configuration change.
    fn drain_called_host(
        &self,
        request: &Request<wire::DrainHostRequest>,
    ) -> Result<wire::DrainHostResponse, OperatorRefusal> {
        let identity = self.operator.authorise(request, OperatorRole::Operate)?;
        let message = request.get_ref();
        let host = &self.operator.host;
        let own_name = &host.settings.host.name;
        if message.host != own_name.as_str() {
            let text = format!("this host is `{own_name}`; call `{}` itself", message.host);
            return Err(OperatorRefusal::new(RefusalCode::NotFound, text));
        }
        if message.reason.trim().is_empty() {
            let text = "reason must not be empty";
            return Err(OperatorRefusal::new(RefusalCode::Invalid, text));
        }
        let draining = !message.restore;
        host.draining.store(draining, Ordering::Relaxed);
        let record = LogRecord::HostDrained {
            author: identity.name,
            reason: message.reason.clone(),
            draining,
        };
        log_record(Level::Info, &record);
        Ok(wire::DrainHostResponse { draining })
    }

    /// Drains or restores a backend server by a change of its pool.
    async fn drain_backend(
        &self,
        request: &Request<wire::DrainServerRequest>,
    ) -> Result<wire::ChangeReceipt, OperatorRefusal> {
        let identity = self.operator.authorise(request, OperatorRole::Operate)?;
        let message = request.get_ref();
        let pool = PoolName::new(&message.pool);
        let server = ServerName::new(checked_name("server name", &message.server)?);
        let plan = |image: &ConfigImage| {
            let known = image.pools.get(&pool).ok_or_else(|| {
                let text = format!("no pool `{pool}` exists");
                OperatorRefusal::new(RefusalCode::NotFound, text)
            })?;
            let mut spec = known.as_ref().clone();
            let changed = match message.restore {
                true => spec.drained_servers.remove(&server),
                false => spec.drained_servers.insert(server.clone()),
            };
            if !changed {
                let state = if message.restore {
                    "not drained"
                } else {
                    "drained already"
                };
                let text = format!("server `{server}` of pool `{pool}` is {state}");
                return Err(OperatorRefusal::new(RefusalCode::WrongState, text));
            }
            Ok(vec![ConfigObject::Pool(spec)].into())
        };
        let change = message.change.as_ref();
        self.operator.change(&identity, change, plan).await
    }
}

#[async_trait]
impl DrainService for DrainCalls {
    async fn drain_host(
        &self,
        request: Request<wire::DrainHostRequest>,
    ) -> Result<Response<wire::DrainHostResponse>, Status> {
        answer("DrainHost", self.drain_called_host(&request))
    }

    async fn drain_server(
        &self,
        request: Request<wire::DrainServerRequest>,
    ) -> Result<Response<wire::ChangeReceipt>, Status> {
        answer("DrainServer", self.drain_backend(&request).await)
    }
}
