//! Errors that prevent an entry host from starting.

use std::io;
use std::net::SocketAddr;

use thiserror::Error;

/// An entry host cannot start.
#[derive(Debug, Error)]
pub enum GatewayError {
    /// A socket cannot be opened at an address.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// Address that was to be opened.
        address: SocketAddr,
        /// Cause reported by the operating system.
        source: io::Error,
    },
    /// A signal handler cannot be installed.
    #[error("cannot install a signal handler: {0}")]
    Signals(io::Error),
}
