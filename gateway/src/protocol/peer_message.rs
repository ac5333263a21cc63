//! What hosts tell one another by datagram; all of it may be lost.

use serde::{Deserialize, Serialize};

use crate::coordination::placement::ServerShare;
use crate::state::{CrashNote, TrialNote};

/// A datagram.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// What the host has sent where.
    Loads(Vec<ServerShare>),
    /// A request that crashed servers.
    Crash(CrashNote),
    /// What the host has counted of a version on trial.
    Trial(TrialNote),
    /// Sessions that are served by the version before a roll-out.
    HeldSessions(Vec<u64>),
}
