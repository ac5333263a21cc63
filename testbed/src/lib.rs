//! Whole deployments of entry hosts and stand-ins in one process, for tests and examples only.

pub mod caller;
pub mod deployment;
pub mod deployment_config;
pub mod platform_image;

pub use caller::{Caller, CallerReply};
pub use deployment::{Deployment, DeploymentOptions};
pub use deployment_config::publish_config;
pub use platform_image::load_config;
