//! Tests of the request path.

mod admission;
mod backend_faults;
mod bad_input;
mod claims;
mod failure_table;
mod machine_faults;
mod machine_model;
mod quarantine;
mod server_life;
mod services;
mod sessions;
mod shutdown;
mod streams;
mod support;
mod tls;
