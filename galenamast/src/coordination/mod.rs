//! Machines and pure functions that decide what an entry host does next.
//!
//! Nothing here does I/O or reads a clock: `handle(event, now)` returns actions.

pub mod brake_board;
pub mod call_budget;
pub mod change_refusal;
pub mod circuit_breaker;
pub mod claim_closing;
pub mod claim_document;
pub mod claim_key;
pub mod claim_machine;
pub mod config_change;
pub mod config_check;
pub mod config_documents;
pub mod coordination_error;
pub mod engine_order;
pub mod evidence_test;
pub mod host_list;
pub mod load_report;
pub mod object_query;
pub mod object_record;
pub mod object_write;
pub mod placement_input;
pub mod placement_needs;
pub mod placement_planner;
pub mod retry_backoff;
pub mod rollout_controller;
pub mod rollout_step;
pub mod rollout_test;
pub mod server_directory;
pub mod session_claims;
pub mod session_error;
pub mod session_signer;
pub mod usage_batch;
pub mod usage_buffer;
pub mod usage_merge;
pub mod usage_record;
pub mod version_judge;

pub use brake_board::{BRAKE_TIME, BrakeBoard, BrakeChoice, BrakeNote};
pub use call_budget::{CallBudget, CallPriority};
pub use change_refusal::ChangeRefusal;
pub use circuit_breaker::{BreakerState, CircuitBreaker};
pub use claim_document::{
    BodyDigest, ClaimDocument, ClaimRecord, ClaimRetention, ClaimState, ReleaseReason,
    StoredOutcome,
};
pub use config_change::{ChangeReceipt, ConfigChange, PlannedChange};
pub use config_check::check_image;
pub use config_documents::{
    ChangeNote, ConfigObject, EncodedObject, HeadDocument, ObjectDigest, assemble_image,
};
pub use coordination_error::CoordinationError;
pub use engine_order::{EngineOrder, EngineState};
pub use evidence_test::{BetCapital, EvidenceDigest, EvidenceTest};
pub use host_list::{HostList, HostListEntry, HostState};
pub use load_report::LoadReport;
pub use object_query::ObjectQuery;
pub use object_record::{ObjectKey, ObjectRecord, ObjectVersion};
pub use object_write::{WriteCondition, WriteOutcome};
pub use placement_input::{
    MoveKind, MoveReason, PlacementMove, PlacementPlan, PlacementServer, PlacementSettings,
    ReplicaCount, VersionDemand,
};
pub use placement_planner::plan_placement;
pub use retry_backoff::RetryBackoff;
pub use rollout_controller::{RolloutController, RolloutEvent, RolloutView};
pub use rollout_step::RolloutStep;
pub use rollout_test::{Observation, RolloutTest, TestArm, TestDigest, TestSettings, TestVerdict};
pub use server_directory::ServerDirectory;
pub use session_claims::SessionClaims;
pub use session_error::SessionError;
pub use session_signer::{SessionSettings, SessionSigner};
pub use usage_batch::{UsageBatch, UsageCopy, UsageOrigin};
pub use usage_buffer::{BufferLimits, UsageBuffer};
pub use usage_merge::UsageMerge;
pub use usage_record::UsageRecord;
pub use version_judge::{JudgeAction, RatedAnswer, VersionEvidence, VersionJudge, observe_quality};
