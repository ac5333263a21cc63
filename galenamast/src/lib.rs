//! galenamast, a model-aware router for versions and cascades.
//!
//! The layers, each of which uses only those below it: [`transport`], [`protocol`],
//! [`coordination`], [`state`]. Around them stand [`cli`], [`config`], [`logging`] and the
//! [`event_loop`] that runs an entry host.

pub mod cli;
pub mod commands;
pub mod config;
pub mod coordination;
pub mod event_loop;
pub mod generated;
pub mod logging;
pub mod protocol;
pub mod replay;
pub mod state;
pub mod transport;
