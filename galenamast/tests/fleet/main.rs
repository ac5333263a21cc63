//! Tests of how entry hosts share configuration, membership and leases.

mod call_limits;
mod config_change;
mod object_client;
mod support;
