//! The typed records that log lines hold, one JSON object a line.

use serde::{Deserialize, Serialize};

use crate::coordination::{BrakeNotice, MemberStatus, PlacementMove, RolloutStep, UsageRecord};
use crate::protocol::decision_record::DecisionRecord;
use crate::state::{ConfigGeneration, DomainName, HostName, RequestId, RolloutName, WorkspaceName};

/// A log line.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum LogRecord {
    /// A request was routed.
    Decision(DecisionRecord),
    /// A version was placed on an engine or taken from it.
    Placement {
        /// Failure domain of the engine.
        domain: DomainName,
        /// Term of the lease under which it was decided.
        term: u64,
        /// Generation of the configuration that it was decided by.
        generation: ConfigGeneration,
        /// What was decided.
        decision: PlacementMove,
    },
    /// A roll-out was changed by its controller.
    RolloutStep {
        /// Name of the roll-out.
        rollout: RolloutName,
        /// Generation that the decision was based on.
        generation: ConfigGeneration,
        /// What was changed and why.
        step: RolloutStep,
    },
    /// A request was billed.
    Usage(UsageRecord),
    /// The host started to serve.
    HostStarted {
        /// Address for callers.
        callers: String,
        /// Address for operators.
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
    /// An entry host of the own failure domain came or went.
    MemberChanged {
        /// Name of the host.
        host: HostName,
        /// New status of the host.
        status: MemberStatus,
    },
    /// What the host knows and what its control traffic costs, at a fixed period.
    HostStatistics(HostStatistics),
    /// Something failed that the host recovers from by itself.
    Fault {
        /// Part of the host that met the fault.
        part: String,
        /// What happened.
        message: String,
        /// Lines of the part that were left out since its last one.
        #[serde(default)]
        suppressed: u64,
    },
    /// An operator changed the configuration, or tried a change.
    ConfigChanged(ChangeRecord),
    /// An operator's call was refused.
    CallRefused {
        /// Name of the call.
        call: String,
        /// Stable reason.
        code: String,
        /// Explanation for a person.
        message: String,
    },
    /// An operator resolved the claim of a non-idempotent request.
    ClaimResolved {
        /// Operator who resolved it.
        author: String,
        /// What was found out.
        reason: String,
        /// Workspace of the request.
        workspace: WorkspaceName,
        /// Whether the operator found that the request had run.
        ran: bool,
    },
    /// An operator drained or restored this host.
    HostDrained {
        /// Operator who did it.
        author: String,
        /// Why it was done.
        reason: String,
        /// Whether the host is drained now.
        draining: bool,
    },
}

/// What an entry host knows and what its control traffic has cost since it started.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostStatistics {
    /// Live entry hosts that are known: those of the own failure domain and the contacts elsewhere.
    pub members: u64,
    /// Bytes sent to other entry hosts, with an estimate of what the lower protocols add.
    pub peer_bytes_sent: u64,
    /// Bytes received from other entry hosts, with the same estimate.
    pub peer_bytes_received: u64,
    /// Calls of the object API that were sent.
    pub platform_calls: u64,
    /// Load reports that were asked for.
    pub load_polls: u64,
    /// Generation of the configuration in force.
    pub generation: ConfigGeneration,
    /// Time since that generation was confirmed to be the newest, in milliseconds.
    pub config_age_ms: u64,
}

/// An accepted change of the configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ChangeRecord {
    /// Identifier of the change.
    pub change_id: String,
    /// Operator who made the change.
    pub author: String,
    /// Why the change was made.
    pub reason: String,
    /// Generation that the change made or would make.
    pub generation: ConfigGeneration,
    /// Entries that the change touched.
    pub entries: Vec<String>,
    /// Whether nothing was written.
    pub dry_run: bool,
    /// Whether the change had been made before by the same identifier.
    pub repeated: bool,
}
