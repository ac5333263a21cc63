//! Leases as they stand on the platform and as their holder knows them.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::coordination::object_record::ObjectVersion;
use crate::state::{HostName, TimePoint};

/// Kind of the lease objects on the platform.
pub const LEASE_KIND: &str = "lease";

/// Who holds or wants a lease: one run of an entry host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseOwner {
    /// Name of the host.
    pub host: HostName,
    /// Number that tells the runs of the host apart.
    pub incarnation: u64,
}

/// A lease on the platform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseDocument {
    /// Who holds the lease, or held it last.
    pub owner: LeaseOwner,
    /// Number that grows with each change of holder; orders carry it as the fencing number.
    pub term: u64,
    /// Time for which the lease is granted from each renewal on.
    pub duration: Duration,
    /// Whether the holder gave the lease back.
    pub released: bool,
    /// Number of the write among those of its owner, by which a lost answer is resolved.
    pub write: u64,
}

/// A lease as it was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseRecord {
    /// Version of the object.
    pub version: ObjectVersion,
    /// Content of the object.
    pub document: LeaseDocument,
}

/// Whether a host holds a lease.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LeaseStatus {
    /// The host does not hold the lease.
    #[default]
    Free,
    /// The host holds the lease until a point of its own time.
    Held {
        /// Fencing number of orders.
        term: u64,
        /// Time from which the host must no longer act as the holder.
        until: TimePoint,
    },
}

impl LeaseStatus {
    /// Returns the fencing number if the lease is held at a point in time.
    ///
    /// A host asks this right before each act of the holder, since it may have been paused.
    ///
    /// ```
    /// use galenamast::coordination::LeaseStatus;
    /// use galenamast::state::TimePoint;
    ///
    /// let status = LeaseStatus::Held { term: 7, until: TimePoint::from_millis(50) };
    /// assert_eq!(status.term_at(TimePoint::from_millis(49)), Some(7));
    /// assert_eq!(status.term_at(TimePoint::from_millis(50)), None);
    /// ```
    pub fn term_at(&self, now: TimePoint) -> Option<u64> {
        match self {
            Self::Held { term, until } if now < *until => Some(*term),
            _ => None,
        }
    }
}
