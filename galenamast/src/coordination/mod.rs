//! Machines and pure functions that decide what an entry host does next.
//!
//! Nothing here does I/O or reads a clock: `handle(event, now)` returns actions.

pub mod brake_board;
pub mod config_documents;
pub mod coordination_error;
pub mod evidence_test;
pub mod host_list;
pub mod load_report;
pub mod object_record;
pub mod object_write;
pub mod rollout_test;
pub mod server_directory;
pub mod usage_record;
pub mod version_judge;

pub use brake_board::{BRAKE_TIME, BrakeBoard, BrakeChoice, BrakeNote};
pub use config_documents::{ConfigObject, HeadDocument, ObjectDigest, assemble_image};
pub use coordination_error::CoordinationError;
pub use evidence_test::{BetCapital, EvidenceDigest, EvidenceTest};
pub use host_list::{HostList, HostListEntry, HostState};
pub use load_report::LoadReport;
pub use object_record::{ObjectKey, ObjectRecord, ObjectVersion};
pub use object_write::{WriteCondition, WriteOutcome};
pub use rollout_test::{Observation, RolloutTest, TestArm, TestDigest, TestSettings, TestVerdict};
pub use server_directory::ServerDirectory;
pub use usage_record::UsageRecord;
pub use version_judge::{JudgeAction, RatedAnswer, VersionEvidence, VersionJudge, observe_quality};
