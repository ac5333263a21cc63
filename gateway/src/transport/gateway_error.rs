//! Errors that keep an entry host from starting.

use std::io;
use std::net::SocketAddr;

use thiserror::Error;

/// An entry host cannot start or go on.
#[derive(Debug, Error)]
pub enum GatewayError {
    /// An address cannot be listened on.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Why not.
        source: io::Error,
    },
    /// Signals cannot be received.
    #[error("cannot receive signals: {0}")]
    Signals(io::Error),
}
