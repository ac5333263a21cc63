//! The gateway part of an entry host: it serves callers on a platform whose store holds routes,
//! backend servers and roll-outs.
//!
//! The layers, each of which uses only those below it, are [`transport`], [`protocol`],
//! [`coordination`] and [`state`]. Names and formats of the platform enter only through
//! [`protocol::PlatformFormat`].

pub mod coordination;
pub mod protocol;
pub mod state;
pub mod transport;
