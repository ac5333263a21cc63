//! Replay of traces in virtual time against the decision code used in production.

pub mod baseline_policy;
pub mod interval_analysis;
pub mod replay_fleet;
pub mod replay_host;
pub mod replay_plot;
pub mod replay_report;
pub mod replay_server;
pub mod static_mix;
pub mod trace_error;
pub mod trace_file;
pub mod trace_format;
pub mod trace_synth;
pub mod workload_shape;

pub use baseline_policy::PolicyName;
pub use replay_fleet::replay_trace;
pub use replay_plot::plot_reports;
pub use replay_report::{AnswerRecord, ReplayReport, check_outcomes};
pub use static_mix::{StaticMix, cheapest_mix, cheapest_pooled_mix};
pub use trace_error::TraceError;
pub use trace_file::{read_trace, write_trace};
pub use trace_format::{
    ExpectedOutcomes, FaultEvent, Trace, TraceAnswer, TraceEvent, TraceHeader, TraceHost,
    TraceRequest, TraceServer,
};
pub use trace_synth::{FaultName, SynthSettings, synthesize_trace};
pub use workload_shape::WorkloadName;
