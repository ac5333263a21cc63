//! Routes, backend servers and what a request asks for.

mod answer_grade;
mod caller_head;
mod host_note;
mod rollout_order;
mod route_image;
mod server_entry;
mod service_route;

pub use answer_grade::{AnswerGrade, GradeCounts};
pub use caller_head::{AttemptHead, CallerHead, PromptPart};
pub use host_note::{CrashNote, HostPresence, TrialNote};
pub use rollout_order::{RolloutOrder, RolloutReport, RolloutState};
pub use route_image::{CallerLimits, CredentialDigest, RouteImage, WorkspaceEntry};
pub use server_entry::ServerEntry;
pub use service_route::{EngineModel, RouteKind, RouteTarget, ServiceRoute, ServiceSpec};
