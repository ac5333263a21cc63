//! Decides how a host that reaches no server of a service goes on serving its callers.
//!
//! Covers hosts that are partitioned from all servers while callers, the store and the other hosts
//! still reach them.

mod service_reach;

pub use service_reach::{ReachChange, ReachSettings, ServiceReach};
