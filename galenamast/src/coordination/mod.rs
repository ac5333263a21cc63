//! Machines and pure functions that decide what an entry host does next.
//!
//! Nothing here does I/O or reads a clock: `handle(event, now)` returns actions.

pub mod config_documents;
pub mod coordination_error;
pub mod host_list;
pub mod load_report;
pub mod object_record;
pub mod object_write;
pub mod request_failure;
pub mod request_machine;
pub mod request_messages;
pub mod retry_budget;
pub mod server_directory;
pub mod usage_record;

pub use config_documents::{ConfigObject, HeadDocument, ObjectDigest, assemble_image};
pub use coordination_error::CoordinationError;
pub use host_list::{HostList, HostListEntry, HostState};
pub use load_report::LoadReport;
pub use object_record::{ObjectKey, ObjectRecord, ObjectVersion};
pub use object_write::{WriteCondition, WriteOutcome};
pub use request_failure::{AttemptFailure, StartState, classify_failure};
pub use request_machine::RequestMachine;
pub use request_messages::{
    AttemptNumber, ClaimAnswer, ClaimEnd, FailureReason, RequestAction, RequestEvent,
    RequestGuards, RequestPlan,
};
pub use retry_budget::RetryBudget;
pub use server_directory::ServerDirectory;
pub use usage_record::UsageRecord;
