//! Records by which entry hosts inform each other about an entry host.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::state::{DomainName, HostName};

/// Upper bound of the encoded size of a record without its names, in bytes.
const FIXED_RECORD_BYTES: usize = 40;

/// Membership status of an entry host.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum MemberStatus {
    /// The host answers.
    #[default]
    Alive,
    /// The host did not answer a probe and may still refute the suspicion.
    Suspect,
    /// The host did not refute the suspicion in time.
    Dead,
    /// The host announced that it is leaving.
    Left,
}

/// An entry host with its status.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Name of the host.
    pub name: HostName,
    /// Failure domain of the host.
    pub domain: DomainName,
    /// Address to which other entry hosts connect.
    pub address: SocketAddr,
    /// Number that increases when the host restarts or refutes a suspicion.
    pub incarnation: u64,
    /// Membership status of the host.
    pub status: MemberStatus,
}

impl MemberRecord {
    /// Returns whether the host may be given work: it is alive or only suspected.
    pub fn is_live(&self) -> bool {
        matches!(self.status, MemberStatus::Alive | MemberStatus::Suspect)
    }

    /// Returns whether this record is newer than another one of the same host.
    ///
    /// The higher incarnation is newer. Within an incarnation, the order is alive, suspect, dead,
    /// left.
    pub fn supersedes(&self, other: &Self) -> bool {
        (self.incarnation, self.status) > (other.incarnation, other.status)
    }

    /// Returns an upper bound of the encoded size, in bytes.
    pub fn encoded_bound(&self) -> usize {
        FIXED_RECORD_BYTES + self.name.as_str().len() + self.domain.as_str().len()
    }
}
