//! Tests of the operator protocol, the command `admin`, log lines and metrics, with entry hosts that
//! run in the test process.

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
