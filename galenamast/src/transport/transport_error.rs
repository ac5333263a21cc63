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
        /// Address that was to be listened on.
        address: SocketAddr,
        /// Why it could not be.
        source: std::io::Error,
    },
    /// No connection to the remote end was made, so that it saw nothing of the request.
    #[error("cannot connect to {address}: {reason}")]
    Connect {
        /// Address of the remote end.
        address: String,
        /// Why no connection was made.
        reason: String,
    },
    /// The connection failed after part of the request may have been sent.
    #[error("connection to {address} failed: {reason}")]
    Broken {
        /// Address of the remote end.
        address: String,
        /// How it failed.
        reason: String,
    },
    /// The remote end did not answer in time.
    #[error("{address} did not answer within {timeout:?}")]
    Timeout {
        /// Address of the remote end.
        address: String,
        /// How long was waited.
        timeout: Duration,
    },
    /// The remote end answered with a status that is not expected.
    #[error("{address} answered with status {status}")]
    Status {
        /// Address of the remote end.
        address: String,
        /// The HTTP status.
        status: u16,
    },
    /// The host's budget of calls had none left in time; nothing was sent.
    #[error("the budget of calls of {address} is spent")]
    BudgetExhausted {
        /// Address of the remote end.
        address: String,
    },
    /// The remote end keeps failing, so that nothing was sent.
    #[error("{address} keeps failing; the call was not sent")]
    CircuitOpen {
        /// Address of the remote end.
        address: String,
    },
    /// A certificate, key or TLS setting cannot be used.
    #[error("cannot use the {what}: {reason}")]
    Tls {
        /// What cannot be used.
        what: &'static str,
        /// Why it cannot be used.
        reason: String,
    },
    /// An entry host is not known or does not answer.
    #[error("entry host {host} cannot be reached: {reason}")]
    Peer {
        /// Name or address of the host.
        host: String,
        /// Why it cannot be reached.
        reason: String,
    },
    /// A setting that the part needs is missing.
    #[error("the setting [{section}] {name} is needed")]
    MissingSetting {
        /// Section of the setting.
        section: &'static str,
        /// Name of the setting.
        name: &'static str,
    },
    /// A certificate or its key cannot be used.
    #[error("cannot use the certificate {} or its key: {source}", path.display())]
    Certificate {
        /// File of the certificate.
        path: PathBuf,
        /// Why it cannot be used.
        source: std::io::Error,
    },
    /// The coordination layer refused something.
    #[error(transparent)]
    Coordination(#[from] CoordinationError),
    /// The protocol layer refused something.
    #[error(transparent)]
    Protocol(#[from] ProtocolError),
    /// The state layer refused something.
    #[error(transparent)]
    State(#[from] StateError),
}
