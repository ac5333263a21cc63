//! Sockets, HTTP, TLS, timers and signals; performs what the layers below decide.

pub mod backend_client;
pub mod call_counters;
pub mod caller_server;
pub mod claim_cleaner;
pub mod claim_request;
pub mod claim_runner;
pub mod config_loader;
pub mod config_writer;
pub mod host_context;
pub mod host_list_poller;
pub mod http_client;
pub mod object_calls;
pub mod object_client;
pub mod placement_runner;
pub mod rollout_runner;
pub mod timer_service;
pub mod transport_error;
pub mod usage_export;
pub mod usage_ledger;

pub use backend_client::{BackendClient, BackendReply};
pub use call_counters::{CallCounters, CallCounts, CallKind};
pub use claim_cleaner::ClaimCleaner;
pub use claim_request::{ClaimRequest, ClaimResolution, ClaimSettings, ClaimTicket, ClaimVerdict};
pub use claim_runner::ClaimRunner;
pub use config_writer::ConfigWriter;
pub use host_context::HostContext;
pub use http_client::HttpClient;
pub use object_calls::{CallFuture, ObjectCalls, PageRequest};
pub use object_client::{CallLimits, ObjectClient};
pub use placement_runner::{PassEnd, PlacementRunner, PlacementRunnerSettings, PlacementSources};
pub use rollout_runner::{ChangeFuture, RolloutRunner, RolloutSources};
pub use timer_service::{ManualClock, TimerService, TimerSubscription};
pub use transport_error::TransportError;
pub use usage_export::{ExportRange, UsageExport, export_usage};
pub use usage_ledger::{
    CopyCall, LedgerSettings, LedgerStatus, UsageHold, UsageLedger, UsageReservation,
};
