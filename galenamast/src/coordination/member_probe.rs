//! Probes that are under way.

use crate::coordination::member_record::MemberRecord;
use crate::state::{HostName, TimePoint};

/// An own probe.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberProbe {
    /// Host that is probed.
    pub target: HostName,
    /// Sequence number of the probe.
    pub sequence: u64,
    /// When the probe started.
    pub started: TimePoint,
    /// How far the probe is.
    pub stage: ProbeStage,
}

/// How far a probe is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeStage {
    /// The host was pinged.
    Direct,
    /// Other hosts were asked to ping it.
    Indirect,
    /// The host answered, directly or through another host.
    Answered,
}

/// A ping made for another host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayedPing {
    /// Host that asked for the ping.
    pub requester: MemberRecord,
    /// Sequence number of the asker.
    pub sequence: u64,
    /// When the ping was sent.
    pub started: TimePoint,
}
