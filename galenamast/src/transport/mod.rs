//! Sockets, HTTP, TLS, timers and signals; performs what the layers below decide.

pub mod backend_attempt;
pub mod backend_client;
pub mod backend_stream;
pub mod caller_admission;
pub mod caller_channel;
pub mod caller_chat;
pub mod caller_input;
pub mod caller_reply;
pub mod caller_request;
pub mod caller_server;
pub mod caller_service;
pub mod caller_tls;
pub mod config_loader;
pub mod host_context;
pub mod host_list_poller;
pub mod http_client;
pub mod object_client;
pub mod queue_gate;
pub mod rating_client;
pub mod request_board;
pub mod request_router;
pub mod request_runner;
pub mod timer_service;
pub mod transport_error;

pub use backend_client::{BackendClient, BackendReply};
pub use host_context::HostContext;
pub use http_client::HttpClient;
pub use object_client::ObjectClient;
pub use timer_service::{ManualClock, TimerService, TimerSubscription};
pub use transport_error::TransportError;
