//! Tests of how entry hosts share configuration, membership and leases.

mod call_limits;
mod config_change;
mod config_spread;
mod config_sync;
mod lease_net;
mod leases;
mod member_net;
mod membership;
mod object_client;
mod peer_mesh;
mod peer_tls;
mod support;
