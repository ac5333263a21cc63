//! Probes and relayed pings in progress.

use crate::coordination::member_record::MemberRecord;
use crate::state::{HostName, TimePoint};

/// A probe made by this host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberProbe {
    /// Probed host.
    pub target: HostName,
    /// Sequence number of the probe.
    pub sequence: u64,
    /// Time at which the probe started.
    pub started: TimePoint,
    /// Stage of the probe.
    pub stage: ProbeStage,
}

/// Stage of a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeStage {
    /// The host was pinged directly.
    Direct,
    /// Other hosts were asked to ping the host.
    Indirect,
    /// The host answered, directly or through another host.
    Answered,
}

/// A ping made at the request of another host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayedPing {
    /// Host that requested the ping.
    pub requester: MemberRecord,
    /// Sequence number of the request.
    pub sequence: u64,
    /// Time at which the ping was sent.
    pub started: TimePoint,
}
