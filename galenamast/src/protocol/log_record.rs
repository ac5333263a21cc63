//! The typed records of the log, one JSON object per line.

use serde::{Deserialize, Serialize};

use crate::coordination::{BrakeNotice, MemberStatus, PlacementMove, RolloutStep, UsageRecord};
use crate::protocol::decision_record::DecisionRecord;
use crate::state::{ConfigGeneration, DomainName, HostName, RequestId, RolloutName, WorkspaceName};

/// A log record; its variant names the event.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum LogRecord {
    /// A request was routed.
    Decision(DecisionRecord),
    /// A version was placed on an engine or removed from it.
    Placement {
        /// Failure domain of the engine.
        domain: DomainName,
        /// Term of the lease under which the move was decided.
        term: u64,
        /// Generation of the configuration that the decision is based on.
        generation: ConfigGeneration,
        /// The move and its reason.
        decision: PlacementMove,
    },
    /// A roll-out was changed by its controller.
    RolloutStep {
        /// Name of the roll-out.
        rollout: RolloutName,
        /// Generation of the configuration that the decision is based on.
        generation: ConfigGeneration,
        /// What was changed and why.
        step: RolloutStep,
    },
    /// A request was billed.
    Usage(UsageRecord),
    /// The host started serving.
    HostStarted {
        /// Listen address for callers.
        callers: String,
        /// Listen address for operators.
        operators: String,
    },
    /// A version takes no new work because of evidence against it.
    VersionBraked(BrakeNotice),
    /// Changed settings came into force.
    SettingsReloaded,
    /// The host began to shut down.
    HostLeaving,
    /// A request was still in flight when the host stopped.
    RequestAbandoned {
        /// Identifier of the request.
        request_id: RequestId,
    },
    /// The host stopped serving.
    HostStopped,
    /// A configuration came into force on this host.
    ConfigAdopted {
        /// Generation of the configuration.
        generation: ConfigGeneration,
    },
    /// The platform or another host offered a configuration older than the one in force.
    ConfigRegressed {
        /// Generation that was offered.
        offered: ConfigGeneration,
        /// Generation in force, which is kept.
        current: ConfigGeneration,
    },
    /// The membership status of an entry host in the local failure domain changed.
    MemberChanged {
        /// Name of the host.
        host: HostName,
        /// New status of the host.
        status: MemberStatus,
    },
    /// Periodic counts of known members and control traffic.
    HostStatistics(HostStatistics),
    /// Something failed, and the host recovers without intervention.
    Fault {
        /// Part of the host in which the fault occurred.
        part: String,
        /// Description of the fault.
        message: String,
        /// Number of fault records of this part that were omitted since its last one.
        #[serde(default)]
        suppressed: u64,
    },
    /// An operator changed the configuration or made a dry run of a change.
    ConfigChanged(ChangeRecord),
    /// An operator's call was refused.
    CallRefused {
        /// Name of the call.
        call: String,
        /// Stable code of the reason.
        code: String,
        /// Human-readable explanation.
        message: String,
    },
    /// An operator resolved the claim of a non-idempotent request.
    ClaimResolved {
        /// Operator who resolved the claim.
        author: String,
        /// What the operator found out.
        reason: String,
        /// Workspace of the request.
        workspace: WorkspaceName,
        /// Whether the operator found that the request had run.
        ran: bool,
    },
    /// An operator drained or restored this host.
    HostDrained {
        /// Operator who drained or restored the host.
        author: String,
        /// Why the operator did so.
        reason: String,
        /// Whether the host is now drained.
        draining: bool,
    },
}

/// Counts of known members, and of control traffic since the entry host started.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostStatistics {
    /// Known live entry hosts: those of the local failure domain and the contacts in others.
    pub members: u64,
    /// Bytes sent to other entry hosts, with the estimated overhead of the lower protocol layers.
    pub peer_bytes_sent: u64,
    /// Bytes received from other entry hosts, with the same overhead.
    pub peer_bytes_received: u64,
    /// Calls sent to the platform's object API.
    pub platform_calls: u64,
    /// Load reports requested from backend servers.
    pub load_polls: u64,
    /// Generation of the configuration in force.
    pub generation: ConfigGeneration,
    /// Time since that generation was confirmed to be the newest, in milliseconds.
    pub config_age_ms: u64,
}

/// An accepted change of the configuration, or a dry run of one.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ChangeRecord {
    /// Identifier of the change, chosen by the operator.
    pub change_id: String,
    /// Operator who made the change.
    pub author: String,
    /// Why the change was made.
    pub reason: String,
    /// Generation that the change created, or would create in a dry run.
    pub generation: ConfigGeneration,
    /// Entries that the change affects, as `kind/name`.
    pub entries: Vec<String>,
    /// Whether the change was only checked and nothing was written.
    pub dry_run: bool,
    /// Whether a change with the same identifier had been applied before.
    pub repeated: bool,
}
