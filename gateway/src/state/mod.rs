//! Plain data: routes, backend servers, roll-outs and request heads.

mod answer_grade;
mod caller_head;
mod cold_report;
mod config_snapshot;
mod crash_report;
mod evacuation_report;
mod event_form;
mod freshness_report;
mod host_report;
mod pace_counts;
mod rollout_order;
mod server_demand;
mod server_entry;
mod service_route;
mod store_position;

pub use answer_grade::{AnswerGrade, GradeCounts};
pub use caller_head::{AttemptHead, CallerHead, PromptPart};
pub use cold_report::ColdReport;
pub use config_snapshot::{CallerLimits, ConfigSnapshot, CredentialDigest, WorkspaceEntry};
pub use crash_report::{CrashReport, CrashSuspect, PartReport, RequestReport, ServerCrash};
pub use evacuation_report::EvacuationReport;
pub use event_form::EventForm;
pub use freshness_report::{FollowedKind, FreshnessReport};
pub use host_report::{DemandReport, HostPresence, TrialReport};
pub use pace_counts::PaceCounts;
pub use rollout_order::{RolloutOrder, RolloutReport, RolloutState};
pub use server_demand::ServerDemand;
pub use server_entry::ServerEntry;
pub use service_route::{
    ColdSpec, EngineModel, RouteKind, RouteTarget, ServiceRoute, ServiceSpec, answer_deadline,
};
pub use store_position::StorePosition;
