//! What entry hosts tell each other about an entry host.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::state::{DomainName, HostName};

/// Bytes of a record besides its names, as an upper bound.
const FIXED_RECORD_BYTES: usize = 40;

/// Whether an entry host takes part.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum MemberStatus {
    /// The host answers.
    #[default]
    Alive,
    /// The host did not answer a probe and may still refute.
    Suspect,
    /// The host did not refute in time.
    Dead,
    /// The host announced that it leaves.
    Left,
}

/// An entry host with its status.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Name of the host.
    pub name: HostName,
    /// Failure domain of the host.
    pub domain: DomainName,
    /// Address that other entry hosts connect to.
    pub address: SocketAddr,
    /// Number that grows when the host restarts or refutes a suspicion.
    pub incarnation: u64,
    /// Whether the host takes part.
    pub status: MemberStatus,
}

impl MemberRecord {
    /// Returns whether the host may be given work.
    pub fn is_live(&self) -> bool {
        matches!(self.status, MemberStatus::Alive | MemberStatus::Suspect)
    }

    /// Returns whether the record is newer than another one of the same host.
    pub fn supersedes(&self, other: &Self) -> bool {
        (self.incarnation, self.status) > (other.incarnation, other.status)
    }

    /// Returns an upper bound of the encoded size, in bytes.
    pub fn encoded_bound(&self) -> usize {
        FIXED_RECORD_BYTES + self.name.as_str().len() + self.domain.as_str().len()
    }
}
