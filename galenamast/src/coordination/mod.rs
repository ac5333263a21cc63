//! State machines and pure functions that decide what an entry host does next.
//!
//! Nothing here does I/O or reads a clock. A state machine has a method `handle(event, now)`, which
//! returns the actions for the transport layer to perform.

pub mod admission_control;
pub mod admission_queue;
mod attempt_tracker;
pub mod betting_test;
pub mod brake_table;
pub mod byte_budget;
pub mod call_budget;
pub mod change_refusal;
pub mod circuit_breaker;
pub mod claim_closing;
pub mod claim_document;
pub mod claim_key;
pub mod claim_machine;
mod config_candidate;
pub mod config_change;
pub mod config_check;
pub mod config_documents;
pub mod config_event;
pub mod config_freshness;
pub mod config_notice;
pub mod config_progress;
pub mod config_store;
pub mod config_sync;
pub mod coordination_error;
pub mod crash_quarantine;
pub mod demand_digest;
pub mod demand_publisher;
pub mod engine_order;
pub mod evidence_update;
pub mod fault_limiter;
pub mod gossip_queue;
pub mod host_list;
pub mod lease_document;
mod lease_flow;
pub mod lease_machine;
pub mod lease_messages;
pub mod load_digest;
pub mod load_event;
pub mod load_report;
pub mod load_tracker;
pub mod member_machine;
pub mod member_message;
pub mod member_probe;
pub mod member_record;
pub mod member_roster;
pub mod member_table;
pub mod object_query;
pub mod object_record;
pub mod object_sweep;
pub mod object_write;
pub mod placement_input;
pub mod placement_needs;
pub mod placement_planner;
pub mod pool_timing;
pub mod quality_exchange;
pub mod rating_counter;
pub mod read_allowance;
pub mod rendezvous;
pub mod request_failure;
mod request_flow;
pub mod request_machine;
pub mod request_messages;
pub mod request_stream;
pub mod retry_backoff;
pub mod retry_budget;
pub mod rollout_actions;
pub mod rollout_controller;
pub mod rollout_step;
pub mod server_directory;
pub mod server_lifecycle;
pub mod service_balancer;
pub mod session_claims;
pub mod session_error;
pub mod session_signer;
pub mod share_allocator;
pub mod update_queue;
pub mod usage_batch;
pub mod usage_buffer;
pub mod usage_merge;
pub mod usage_record;
pub mod version_monitor;
pub mod version_test;

pub use admission_control::{AdmissionControl, AdmissionRefusal};
pub use admission_queue::{AdmissionQueue, QueueEntry, QueueTicket, QueueVerdict};
pub use betting_test::{BetCapital, BettingTest, EvidenceDigest};
pub use brake_table::{BRAKE_DURATION, BrakeChoice, BrakeNotice, BrakeTable};
pub use byte_budget::ByteBudget;
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
    AcceptedChange, ConfigObject, EncodedObject, HeadDocument, ObjectDigest, assemble_image,
};
pub use config_event::{ConfigAction, ConfigEvent, ConfigSource};
pub use config_freshness::ConfigFreshness;
pub use config_notice::{ConfigEntries, ConfigNotice, ConfigProbe, DomainProgress};
pub use config_progress::ProgressTable;
pub use config_store::ConfigStore;
pub use config_sync::{ConfigSync, ConfigSyncSettings};
pub use coordination_error::CoordinationError;
pub use crash_quarantine::{CrashFingerprint, CrashNote, CrashQuarantine, ServerCrash};
pub use demand_digest::{DemandDigest, DemandEntry, DomainDemand};
pub use demand_publisher::DemandPublisher;
pub use engine_order::{EngineOrder, EngineState};
pub use evidence_update::{EvidenceUpdate, PackedCapital};
pub use gossip_queue::{GossipItem, GossipQueue, PeerScope};
pub use host_list::{HostList, HostListEntry, HostState};
pub use lease_document::{LeaseDocument, LeaseOwner, LeaseRecord, LeaseStatus};
pub use lease_machine::LeaseMachine;
pub use lease_messages::{LeaseAction, LeaseEvent, LeaseSettings};
pub use load_digest::{
    LoadEntry, PolledState, PoolSummary, ServerTag, digest_versions, summarize_pools,
};
pub use load_event::{LoadAction, LoadEvent, LoadSettings, WatchTarget};
pub use load_report::LoadReport;
pub use load_tracker::LoadTracker;
pub use member_machine::{MemberMachine, MemberSettings};
pub use member_message::{MemberAction, MemberBody, MemberEvent, MemberMessage, PeerTarget};
pub use member_record::{MemberRecord, MemberStatus};
pub use member_table::MemberTable;
pub use object_query::ObjectQuery;
pub use object_record::{ObjectKey, ObjectRecord, ObjectVersion};
pub use object_sweep::ObjectSweep;
pub use object_write::{WriteCondition, WriteOutcome};
pub use placement_input::{
    MoveKind, MoveReason, PlacementMove, PlacementPlan, PlacementServer, PlacementSettings,
    ReplicaCount, VersionDemand,
};
pub use placement_planner::plan_placement;
pub use pool_timing::PoolTiming;
pub use quality_exchange::{QualityExchange, QualityUpdate};
pub use rating_counter::{RatingCount, RatingCounter, RatingUpdate};
pub use read_allowance::{AllowanceSettings, ReadAllowance};
pub use rendezvous::rank_hosts;
pub use request_failure::{AttemptFailure, StartState, classify_failure};
pub use request_machine::RequestMachine;
pub use request_messages::{
    AttemptNumber, ClaimAnswer, ClaimEnd, FailureReason, RequestAction, RequestEvent,
    RequestGuards, RequestPlan,
};
pub use request_stream::{StreamChecker, StreamVerdict};
pub use retry_backoff::RetryBackoff;
pub use retry_budget::RetryBudget;
pub use rollout_controller::{RolloutController, RolloutEvent, RolloutView};
pub use rollout_step::RolloutStep;
pub use server_directory::{DirectoryEvent, ServerDirectory};
pub use server_lifecycle::{LifecycleEvent, LifecycleSettings, ServerMachine};
pub use service_balancer::choose_service_server;
pub use session_claims::SessionClaims;
pub use session_error::SessionError;
pub use session_signer::{SessionSettings, SessionSigner};
pub use share_allocator::{
    DEPARTED_HOST_RETENTION, DOMAIN_TOLERANCE, SHARE_WINDOW, ShareAllocator,
};
pub use usage_batch::{UsageBatch, UsageCopy, UsageOrigin};
pub use usage_buffer::{BufferLimits, UsageBuffer};
pub use usage_merge::UsageMerge;
pub use usage_record::UsageRecord;
pub use version_monitor::{
    MonitorAction, RatedAnswer, VersionEvidence, VersionMonitor, observe_quality,
};
pub use version_test::{Observation, TestArm, TestDigest, TestSettings, TestVerdict, VersionTest};
