//! What hosts tell one another by datagram; all of it may be lost.

use serde::{Deserialize, Serialize};

use crate::coordination::placement::{HostLoad, PrefixRead};
use crate::state::{CrashReport, TrialReport};

/// A datagram.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// What the host has sent where.
    Loads {
        /// What servers have of it now.
        loads: Vec<HostLoad>,
        /// Beginnings of prompts that engines read for it since it told last.
        reads: Vec<PrefixRead>,
    },
    /// A request that crashed servers.
    Crash(CrashReport),
    /// What the host has counted of a version on trial.
    Trial(TrialReport),
    /// Sessions that are served by the version before a roll-out.
    HeldSessions(Vec<u64>),
}
