//! Whole deployments of entry hosts and stand-ins in one process, for tests and examples only.

pub mod caller;
pub mod deployment;
pub mod deployment_config;
pub mod fleet;
mod fleet_settings;
pub mod host_runtime;
pub mod platform_image;
pub mod wait;

pub use caller::{Caller, CallerReply};
pub use deployment::{Deployment, DeploymentOptions};
pub use deployment_config::publish_config;
pub use fleet::{CutSide, Fleet, FleetHost};
pub use platform_image::load_config;
pub use wait::wait_until;
