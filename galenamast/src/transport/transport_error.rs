//! Errors of the transport layer.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use thiserror::Error;

use crate::coordination::CoordinationError;
use crate::protocol::ProtocolError;
use crate::state::StateError;

/// An error of the transport layer.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum TransportError {
    /// A listening socket could not be opened.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// Address of the socket.
        address: SocketAddr,
        /// Cause of the failure.
        source: std::io::Error,
    },
    /// No connection to the remote end was established, so nothing of the request was sent.
    #[error("cannot connect to {address}: {reason}")]
    Connect {
        /// Address of the remote end.
        address: String,
        /// Cause of the failure.
        reason: String,
    },
    /// The connection failed after part of the request may have been sent, so the request may have
    /// run.
    #[error("connection to {address} failed: {reason}")]
    Broken {
        /// Address of the remote end.
        address: String,
        /// Cause of the failure.
        reason: String,
    },
    /// The remote end did not answer in time.
    #[error("{address} did not answer within {timeout:?}")]
    Timeout {
        /// Address of the remote end.
        address: String,
        /// Timeout that was exceeded.
        timeout: Duration,
    },
    /// The remote end answered with an unexpected status.
    #[error("{address} answered with status {status}")]
    Status {
        /// Address of the remote end.
        address: String,
        /// HTTP status of the answer.
        status: u16,
    },
    /// The host's call budget allowed no further call within the timeout; nothing was sent.
    #[error("the call budget for {address} is exhausted; the call was not sent")]
    BudgetExhausted {
        /// Address of the remote end.
        address: String,
    },
    /// The circuit breaker is open because the remote end keeps failing; nothing was sent.
    #[error("the circuit breaker for {address} is open; the call was not sent")]
    CircuitOpen {
        /// Address of the remote end.
        address: String,
    },
    /// A certificate, key or TLS setting is invalid.
    #[error("cannot use the {what}: {reason}")]
    Tls {
        /// Item that is invalid, such as a certificate.
        what: &'static str,
        /// Why it is invalid.
        reason: String,
    },
    /// An entry host is unknown or does not answer.
    #[error("entry host {host} cannot be reached: {reason}")]
    Peer {
        /// Name or address of the host.
        host: String,
        /// Cause of the failure.
        reason: String,
    },
    /// A required setting is missing.
    #[error("the setting [{section}] {name} is missing")]
    MissingSetting {
        /// Section of the setting.
        section: &'static str,
        /// Name of the setting.
        name: &'static str,
    },
    /// A certificate or its key cannot be read or do not match.
    #[error("cannot use the certificate {} or its key: {source}", path.display())]
    Certificate {
        /// File of the certificate.
        path: PathBuf,
        /// Cause of the failure.
        source: std::io::Error,
    },
    /// An error of the coordination layer.
    #[error(transparent)]
    Coordination(#[from] CoordinationError),
    /// An error of the protocol layer.
    #[error(transparent)]
    Protocol(#[from] ProtocolError),
    /// An error of the state layer.
    #[error(transparent)]
    State(#[from] StateError),
}
