//! Datagrams between hosts. Any of them may be lost.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::coordination::placement::{HostLoad, PrefixRead};
use crate::coordination::speeds::SpeedReport;
use crate::state::{CrashReport, DemandReport, FreshnessReport, PartReport, TrialReport};

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
    /// Lasting speeds of servers by the host's own samples. Sent to one random host at a time.
    Speeds(Vec<SpeedReport>),
}
