//! Machines and pure functions that decide what an entry host does next.
//!
//! Nothing here does I/O or reads a clock: `handle(event, now)` returns actions.

pub mod byte_budget;
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
pub mod config_event;
pub mod config_freshness;
pub mod config_keeper;
pub mod config_notice;
pub mod config_reach;
pub mod config_store;
pub mod coordination_error;
pub mod gossip_queue;
pub mod host_list;
pub mod lease_document;
pub mod lease_machine;
pub mod load_report;
pub mod member_machine;
pub mod member_message;
pub mod member_probe;
pub mod member_record;
pub mod member_roster;
pub mod member_table;
pub mod object_query;
pub mod object_record;
pub mod object_write;
pub mod rendezvous;
pub mod retry_backoff;
pub mod server_directory;
pub mod session_claims;
pub mod session_error;
pub mod session_signer;
pub mod update_queue;
pub mod usage_batch;
pub mod usage_buffer;
pub mod usage_merge;
pub mod usage_record;

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
    ChangeNote, ConfigObject, EncodedObject, HeadDocument, ObjectDigest, assemble_image,
};
pub use config_event::{ConfigAction, ConfigEvent, ConfigSource};
pub use config_freshness::ConfigFreshness;
pub use config_keeper::{ConfigKeeper, KeeperSettings};
pub use config_notice::{ConfigEntries, ConfigNotice, ConfigProbe, DomainReach};
pub use config_reach::ReachBoard;
pub use config_store::ConfigStore;
pub use coordination_error::CoordinationError;
pub use gossip_queue::{GossipItem, GossipQueue, PeerScope};
pub use host_list::{HostList, HostListEntry, HostState};
pub use lease_document::{LeaseDocument, LeaseOwner, LeaseRecord, LeaseStatus};
pub use lease_machine::{LeaseAction, LeaseEvent, LeaseMachine, LeaseSettings};
pub use load_report::LoadReport;
pub use member_machine::{MemberMachine, MemberSettings};
pub use member_message::{MemberAction, MemberBody, MemberEvent, MemberMessage, PeerTarget};
pub use member_record::{MemberRecord, MemberStatus};
pub use member_table::MemberTable;
pub use object_query::ObjectQuery;
pub use object_record::{ObjectKey, ObjectRecord, ObjectVersion};
pub use object_write::{WriteCondition, WriteOutcome};
pub use rendezvous::rank_hosts;
pub use retry_backoff::RetryBackoff;
pub use server_directory::ServerDirectory;
pub use session_claims::SessionClaims;
pub use session_error::SessionError;
pub use session_signer::{SessionSettings, SessionSigner};
pub use usage_batch::{UsageBatch, UsageCopy, UsageOrigin};
pub use usage_buffer::{BufferLimits, UsageBuffer};
pub use usage_merge::UsageMerge;
pub use usage_record::UsageRecord;
