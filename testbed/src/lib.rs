//! Whole deployments of entry hosts and stand-ins in one process, for tests and examples only.

pub mod caller;
pub mod deployment;
pub mod deployment_config;

pub use caller::{Caller, CallerReply};
pub use deployment::{Deployment, DeploymentOptions};
pub use deployment_config::publish_config;
