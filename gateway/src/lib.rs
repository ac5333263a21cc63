//! The part of an entry host that serves callers on a platform whose store holds routes, backend
//! servers and roll-outs.
//!
//! The layers, each of which uses only those below it: [`transport`], [`protocol`],
//! [`coordination`], [`state`]. The platform's own names and formats reach it only through
//! [`protocol::PlatformFormat`].

pub mod coordination;
pub mod protocol;
pub mod state;
pub mod transport;
