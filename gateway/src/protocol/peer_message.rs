//! What hosts tell one another by datagram; all of it may be lost.

use serde::{Deserialize, Serialize};

use crate::coordination::placement::{PartRead, ServerShare};
use crate::state::{CrashNote, TrialNote};

/// A datagram.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// What the host has sent where.
    Sent {
        /// What servers have of it now.
        loads: Vec<ServerShare>,
        /// Beginnings of prompts that engines read for it since it told last.
        reads: Vec<PartRead>,
    },
    /// A request that crashed servers.
    Crash(CrashNote),
    /// What the host has counted of a version on trial.
    Trial(TrialNote),
    /// Sessions that are served by the version before a roll-out.
    HeldSessions(Vec<u64>),
}
