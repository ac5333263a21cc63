//! Tests of how entry hosts share configuration, membership and leases.

mod call_limits;
mod config_change;
mod member_net;
mod membership;
mod object_client;
mod support;
