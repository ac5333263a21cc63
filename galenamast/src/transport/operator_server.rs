//! Serves the operator protocol.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio_stream::wrappers::TcpListenerStream;
use tokio_util::sync::CancellationToken;
use tonic::transport::{Certificate, Identity, Server, ServerTlsConfig};

use crate::config::OperatorsSettings;
use crate::generated::operator::claim_service_server::ClaimServiceServer;
use crate::generated::operator::configuration_service_server::ConfigurationServiceServer;
use crate::generated::operator::decision_service_server::DecisionServiceServer;
use crate::generated::operator::drain_service_server::DrainServiceServer;
use crate::generated::operator::key_service_server::KeyServiceServer;
use crate::generated::operator::rollout_service_server::RolloutServiceServer;
use crate::generated::operator::status_service_server::StatusServiceServer;
use crate::generated::operator::usage_service_server::UsageServiceServer;
use crate::logging::log_fault;
use crate::protocol::ProtocolError;
use crate::transport::host_context::HostContext;
use crate::transport::operator_claims::ClaimCalls;
use crate::transport::operator_configuration::ConfigurationCalls;
use crate::transport::operator_context::OperatorContext;
use crate::transport::operator_decisions::DecisionCalls;
use crate::transport::operator_drains::DrainCalls;
use crate::transport::operator_keys::KeyCalls;
use crate::transport::operator_rollouts::RolloutCalls;
use crate::transport::operator_status::StatusCalls;
use crate::transport::operator_usage::UsageCalls;
use crate::transport::transport_error::TransportError;

/// Maximum number of concurrent calls on one connection.
const CALLS_PER_CONNECTION: usize = 32;

/// A running server of the operator protocol.
#[derive(Debug)]
pub struct OperatorServer {
    /// Address that operators connect to.
    pub address: SocketAddr,
    /// Task that serves until the shutdown is complete.
    pub serving: JoinHandle<()>,
}

/// Serves the operator protocol in a task until `shutdown` is cancelled.
///
/// # Errors
///
/// Returns an error if the socket cannot be opened or a file of the settings cannot be used.
pub async fn start_operator_server(
    host: Arc<HostContext>,
    shutdown: CancellationToken,
) -> Result<OperatorServer, TransportError> {
    let settings = host.settings.operators.clone();
    let operator = OperatorContext::new(host)?;
    let mut builder = Server::builder().concurrency_limit_per_connection(CALLS_PER_CONNECTION);
    if let Some(tls) = read_tls(&settings)? {
        builder = builder
            .tls_config(tls)
            .map_err(|error| invalid_tls(&error))?;
    }
    let router = builder
        .add_service(ConfigurationServiceServer::new(ConfigurationCalls::new(
            operator.clone(),
        )))
        .add_service(RolloutServiceServer::new(RolloutCalls::new(
            operator.clone(),
        )))
        .add_service(KeyServiceServer::new(KeyCalls::new(operator.clone())))
        .add_service(DrainServiceServer::new(DrainCalls::new(operator.clone())))
        .add_service(StatusServiceServer::new(StatusCalls::new(operator.clone())))
        .add_service(ClaimServiceServer::new(ClaimCalls::new(operator.clone())))
        .add_service(UsageServiceServer::new(UsageCalls::new(operator.clone())))
        .add_service(DecisionServiceServer::new(DecisionCalls::new(operator)));
    let address = settings.listen;
    let listen_error = |source| TransportError::Listen { address, source };
    let listener = TcpListener::bind(address).await.map_err(listen_error)?;
    let address = listener.local_addr().map_err(listen_error)?;
    let incoming = TcpListenerStream::new(listener);
    let serving = tokio::spawn(async move {
        let stopped = shutdown.cancelled_owned();
        let served = router.serve_with_incoming_shutdown(incoming, stopped);
        if let Err(error) = served.await {
            log_fault("operators", &error);
        }
    });
    Ok(OperatorServer { address, serving })
}

/// Reads the TLS files that the settings name; `None` if no certificate and key are set.
fn read_tls(settings: &OperatorsSettings) -> Result<Option<ServerTlsConfig>, TransportError> {
    let (Some(certificate), Some(key)) = (&settings.tls_certificate, &settings.tls_key) else {
        return Ok(None);
    };
    let identity = Identity::from_pem(read_file(certificate)?, read_file(key)?);
    let mut tls = ServerTlsConfig::new().identity(identity);
    if let Some(authority) = &settings.client_authority {
        let authority = Certificate::from_pem(read_file(authority)?);
        tls = tls.client_ca_root(authority).client_auth_optional(true);
    }
    Ok(Some(tls))
}

/// Reads a file that the settings name.
fn read_file(path: &PathBuf) -> Result<Vec<u8>, TransportError> {
    std::fs::read(path)
        .map_err(|error| invalid_tls(&format!("cannot read {}: {error}", path.display())).into())
}

/// Returns the error for an unusable certificate or key.
fn invalid_tls(reason: &impl ToString) -> ProtocolError {
    ProtocolError::Invalid {
        what: "operator certificate",
        reason: reason.to_string(),
    }
}
