//! Datagrams between hosts. Any of them may be lost.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::coordination::backlog::BacklogReport;
use crate::coordination::placement::{HostLoad, PrefixRead};
use crate::coordination::speeds::SpeedReport;
use crate::state::{
    ColdReport, CrashReport, DemandReport, EvacuationReport, FreshnessReport, PartReport,
    TrialReport,
};

/// Contents of a datagram. It is encoded by position, so the order of variants and fields is fixed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Load that the host puts on servers.
    Loads {
        /// The host's current load on each server.
        loads: Vec<HostLoad>,
        /// Prompt prefixes that engines read for the host since its last report.
        reads: Vec<PrefixRead>,
    },
    /// A server crashed while a request of the host was unanswered there.
    Crash(CrashReport),
    /// The host's counts of a version on trial.
    Trial(TrialReport),
    /// Sessions that the previous version serves during a roll-out.
    HeldSessions(Vec<u64>),
    /// The host knew all changes of the store a short time ago. Sent within a failure domain.
    Freshness(FreshnessReport),
    /// What a server asks of the hosts has changed.
    Demand(DemandReport),
    /// Prompt parts that the host saw answered though servers crashed with them.
    AnsweredParts(Vec<PartReport>),
    /// Prompt parts that the host refuses because servers crash with them.
    RefusedParts(Vec<PartReport>),
    /// Services of which the host reaches no server. Sent within a failure domain.
    LostPaths(Vec<Arc<str>>),
    /// Failure domains that are evacuated, or no longer.
    Evacuations(Vec<EvacuationReport>),
    /// Servers that are cold, which the host learned from the list or an answer.
    ColdServers(Vec<ColdReport>),
    /// Servers of the host's failure domain, by short identifier, that any host is known to have used a
    /// moment ago. Sent to a few hosts of other domains.
    UsedServers(Vec<u32>),
    /// Requests that wait at the host; empty once none does any more.
    Backlog(Vec<BacklogReport>),
    /// Lasting speeds of servers by the host's own samples. Sent to one random host at a time.
    Speeds(Vec<SpeedReport>),
}
