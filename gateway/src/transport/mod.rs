//! Network I/O: callers, backend servers, the platform's store, other hosts, readiness and metrics,
//! and signals.

mod attempt_guard;
mod attempt_runner;
mod caller_listener;
mod caller_socket;
mod cold_notices;
mod connection_pool;
mod counted_body;
mod crash_check;
mod crash_reports;
mod evacuation_feed;
mod exchange_failure;
mod gateway_context;
mod gateway_error;
mod gateway_host;
mod gateway_metrics;
mod gateway_settings;
mod kind_reads;
mod object_defects;
mod object_reads;
mod peer_gossip;
mod reach_probe;
mod ready_listener;
mod record_log;
mod request_admission;
mod request_exchange;
mod response_body;
mod rollout_writer;
mod send_permit;
mod server_demands;
mod server_watch;
mod speed_gossip;
mod store_client;
mod store_confirmer;
mod store_feeds;
mod store_follower;
mod stream_ahead;
mod stream_relay;

pub use connection_pool::{BackendConnection, ConnectionPool};
pub use gateway_context::GatewayContext;
pub use gateway_error::GatewayError;
pub use gateway_host::{GatewayHost, run_gateway};
pub use gateway_metrics::GatewayMetrics;
pub use gateway_settings::GatewaySettings;
pub use record_log::{RecordLog, log_record};
pub use store_client::{StoreClient, StoreError, StoreResponse};
