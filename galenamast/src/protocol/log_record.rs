//! The typed records that log lines hold, one JSON object a line.

use serde::{Deserialize, Serialize};

use crate::coordination::{PlacementMove, RolloutStep, UsageRecord};
use crate::protocol::decision_record::DecisionRecord;
use crate::state::{ConfigGeneration, DomainName, RolloutName};

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
    },
    /// The host stopped serving.
    HostStopped,
    /// A configuration came into force on this host.
    ConfigAdopted {
        /// Generation of the configuration.
        generation: ConfigGeneration,
    },
    /// Something failed that the host recovers from by itself.
    Fault {
        /// Part of the host that met the fault.
        part: String,
        /// What happened.
        message: String,
    },
}
