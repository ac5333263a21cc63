//! Decides which requests this host may send to which backend server.

mod server_permits;

pub use server_permits::{LimitChange, ServerPermits};
