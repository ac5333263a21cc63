//! Deployments of entry hosts and stand-ins in one process, for tests and examples only.

pub mod advice_scenarios;
pub mod brake_scenario;
pub mod caller;
pub mod deployment;
pub mod deployment_config;
pub mod fleet;
mod fleet_settings;
pub mod host_runtime;
pub mod platform_image;
pub mod scenario_context;
pub mod scenario_report;
pub mod usage_scenario;
pub mod wait;

pub use advice_scenarios::{check_cascade, check_claim, check_session, start_advice};
pub use brake_scenario::{check_brake, start_rollout};
pub use caller::{Caller, CallerReply};
pub use deployment::{Deployment, DeploymentOptions};
pub use deployment_config::publish_config;
pub use fleet::{CutSide, Fleet, FleetHost};
pub use platform_image::load_config;
pub use scenario_context::ScenarioContext;
pub use scenario_report::{ScenarioError, ScenarioReport, ScenarioRow};
pub use usage_scenario::check_usage;
pub use wait::wait_until;
