//! Decides whether this host may send a request to a backend server now.
//!
//! Covers servers in need that ask all hosts together for fewer requests, servers that
//! leave before the list of servers says so, and servers that refuse with a time to wait, after which
//! hosts return one request at a time, servers that fall over when they refuse many, and servers that tolerate few
//! requests after a start. Every attempt asks here
//! twice: when the server is chosen, and just before the request is written.

mod brittle_servers;
mod cold_server;
mod cold_servers;
mod cold_settings;
mod cold_source;
mod limit_share;
mod server_permits;

pub use brittle_servers::{BrittleServers, BrittleSettings};
pub use cold_servers::{ColdChange, ColdServers};
pub use cold_settings::ColdSettings;
pub use cold_source::ColdSource;
pub use limit_share::{HostShare, LimitSettings, SharePlan, holds_share, plan_shares, plan_slot};
pub use server_permits::{DemandChange, SendDenial, ServerPermits};
