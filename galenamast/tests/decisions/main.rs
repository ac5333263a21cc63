//! Tests of the routing decision, the sequential tests and the replay.

mod brake_table;
mod cascade_choice;
mod decision_log;
mod evidence_merge;
mod fixture;
mod quality_merge;
mod rollout_test;
mod server_choice;
mod trace_file;
mod trace_replay;
mod version_choice;
