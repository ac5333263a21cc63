//! Tests of the request path.

mod failure_table;
mod machine_faults;
mod machine_model;
