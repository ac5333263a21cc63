//! Decides how a host that reaches no server of a service goes on serving its callers.
//!
//! Covers hosts that are partitioned from all servers while callers, the store and the other hosts
//! still reach them.

mod peer_reach;
mod relay_pick;
mod service_reach;

pub use peer_reach::{PeerReach, PeerSettings, PeerStanding};
pub use relay_pick::pick_relay;
pub use service_reach::{ReachChange, ReachSettings, ServiceReach};
