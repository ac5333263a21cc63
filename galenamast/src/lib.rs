//! galenamast, a model-aware router for versions and cascades.
//!
//! The crate has four layers, each of which uses only the ones after it in this list:
//! [`transport`], [`protocol`], [`coordination`] and [`state`]. [`cli`], [`config`], [`logging`]
//! and [`event_loop`], which runs an entry host, do not belong to a layer.

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
