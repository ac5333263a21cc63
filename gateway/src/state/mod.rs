//! Routes, backend servers and what a request asks for.

mod caller_head;
mod route_image;
mod server_entry;
mod service_route;

pub use caller_head::{AttemptHead, CallerHead, PromptPart};
pub use route_image::{CallerLimits, CredentialDigest, RouteImage, WorkspaceEntry};
pub use server_entry::ServerEntry;
pub use service_route::{EngineModel, RouteKind, RouteTarget, ServiceRoute, ServiceSpec};
