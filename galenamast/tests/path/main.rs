//! Tests of the request path, from the caller to the backend server.

mod admission;
mod backend_faults;
mod bad_input;
mod billing;
mod claims;
mod endless_bytes;
mod failure_table;
mod machine_faults;
mod machine_model;
mod overload;
mod overload_model;
mod quality;
mod quarantine;
mod reload;
mod server_lifecycle;
mod services;
mod sessions;
mod shutdown;
mod streams;
mod support;
mod tls;
