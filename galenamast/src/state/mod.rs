//! Configuration values, tables of server load and answer quality, and the routing decision.
//!
//! Nothing here does I/O or reads a clock.

pub mod cascade_choice;
pub mod config_generation;
pub mod config_image;
pub(crate) mod decision_inputs;
pub mod in_flight_counter;
pub mod key_digest;
pub mod model_spec;
pub mod names;
pub mod pool_spec;
pub mod quality_digest;
pub mod quality_estimate;
pub mod quality_sums;
pub mod quality_table;
pub mod request_id;
pub mod rollout_spec;
pub mod route_decision;
pub mod route_planner;
pub mod route_request;
pub mod route_tables;
pub mod run_state;
pub(crate) mod server_choice;
pub mod server_record;
pub mod server_table;
pub mod session_keys;
pub mod state_error;
pub mod time_point;
pub(crate) mod version_choice;
pub(crate) mod version_filter;
pub mod version_key;
pub mod workspace_spec;

pub use config_generation::ConfigGeneration;
pub use config_image::ConfigImage;
pub use in_flight_counter::InFlightCounter;
pub use key_digest::KeyDigest;
pub use model_spec::{ModelSpec, VersionSpec, VersionStage};
pub use names::{
    DomainName, HostName, LeaseName, ModelName, PoolName, RolloutName, ServerName, ServiceName,
    SessionName, TaskName, VersionName, WorkspaceName,
};
pub use pool_spec::{PoolKind, PoolSpec, ServiceRule, ServiceSpec};
pub use quality_digest::{LengthBucket, QualityCell, QualityDigest, QualityEntry, QualityOrigin};
pub use quality_estimate::QualityEstimate;
pub use quality_sums::QualitySums;
pub use quality_table::{QualityObservation, QualityTable};
pub use request_id::{AttemptId, RequestId};
pub use rollout_spec::{RolloutPhase, RolloutSpec};
pub use route_decision::{
    CascadePlan, ChoiceReason, RefusalReason, RouteDecision, RouteOutcome, RouteTarget,
    VersionReport, VersionVerdict,
};
pub use route_planner::plan_route;
pub use route_request::{RequestPriority, RouteRequest};
pub use route_tables::RouteTables;
pub use run_state::RunState;
pub use server_record::{ServerLifecycle, ServerLoad, ServerRecord};
pub use server_table::{DomainServers, ServerTable};
pub use session_keys::{SecretKey, SessionKeys};
pub use state_error::StateError;
pub use time_point::TimePoint;
pub use version_key::VersionKey;
pub use workspace_spec::{ObjectiveWeights, WithdrawnPolicy, WorkspaceLimits, WorkspaceSpec};
