//! Leases as stored on the platform, and their status on a host.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::coordination::object_record::ObjectVersion;
use crate::state::{HostName, TimePoint};

/// Kind of the lease objects on the platform.
pub const LEASE_KIND: &str = "lease";

/// Owner of a lease: one run of an entry host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseOwner {
    /// Name of the host.
    pub host: HostName,
    /// Number that distinguishes the runs of the host.
    pub incarnation: u64,
}

/// A lease as the platform stores it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseDocument {
    /// Current holder of the lease, or the last one if it was released or has expired.
    pub owner: LeaseOwner,
    /// Number that increases with each change of holder. Orders carry it as the fencing number.
    pub term: u64,
    /// Time for which each renewal grants the lease.
    pub duration: Duration,
    /// Whether the holder released the lease.
    pub released: bool,
    /// Number of this write among the writes of its owner. If a response is lost, it shows whether
    /// the write took effect.
    pub write: u64,
}

/// A lease as read from the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseRecord {
    /// Version of the stored object.
    pub version: ObjectVersion,
    /// Content of the stored object.
    pub document: LeaseDocument,
}

/// Whether a host holds a lease.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LeaseStatus {
    /// The host does not hold the lease.
    #[default]
    Free,
    /// The host holds the lease until a point in time on its own clock.
    Held {
        /// Term of the lease, which is the fencing number of orders.
        term: u64,
        /// Time from which the host must no longer act as the holder.
        until: TimePoint,
    },
}

impl LeaseStatus {
    /// Returns the fencing number if the lease is held at `now`.
    ///
    /// A host calls this right before each action as the holder, since the process may have been
    /// paused in the meantime.
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
