//! Tests of the operator protocol and the command `admin` against an entry host in this process.

mod brake_script;
mod changes;
mod declared;
mod exports;
mod log_lines;
mod metrics;
mod quickstart;
mod refusals;
mod rollout_script;
mod rollout_steps;
mod secrets;
mod support;
mod tls;
