//! Last known state of a lease that an entry host holds or contends for.

use crate::coordination::{LeaseEvent, LeaseStatus};
use crate::state::{HostName, LeaseName, TimePoint};

/// Last known state of a lease, as seen by one entry host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseView {
    /// Name of the lease.
    pub lease: LeaseName,
    /// Host that holds the lease; `None` if no host does or the holder is not known.
    pub holder: Option<HostName>,
    /// Term of the lease, which is its fencing number; zero if not known.
    pub term: u64,
    /// Whether this host holds the lease, and until when.
    pub status: LeaseStatus,
}

impl LeaseView {
    /// Creates the view of a lease that has not been read yet.
    pub fn new(lease: LeaseName) -> Self {
        Self {
            lease,
            holder: None,
            term: 0,
            status: LeaseStatus::Free,
        }
    }

    /// Updates the view with an event and with whether this host holds the lease.
    ///
    /// ```
    /// use galenamast::coordination::{LeaseEvent, LeaseStatus};
    /// use galenamast::state::TimePoint;
    /// use galenamast::transport::LeaseView;
    ///
    /// let mut view = LeaseView::new("rollouts".into());
    /// let until = TimePoint::ZERO + std::time::Duration::from_secs(9);
    /// view.update(&LeaseEvent::Due, LeaseStatus::Held { term: 3, until }, &"host-1".into());
    /// assert_eq!(view.holder_at(TimePoint::ZERO), Some(&"host-1".into()));
    /// assert_eq!(view.holder_at(until), None);
    /// ```
    pub fn update(&mut self, event: &LeaseEvent, status: LeaseStatus, own: &HostName) {
        let was_own = matches!(self.status, LeaseStatus::Held { .. });
        self.status = status;
        if let LeaseStatus::Held { term, .. } = status {
            self.holder = Some(own.clone());
            self.term = term;
            return;
        }
        if was_own {
            self.holder = None;
        }
        match event {
            LeaseEvent::Read(Some(record)) => {
                let document = &record.document;
                let held = !document.released && document.owner.host != *own;
                self.holder = held.then(|| document.owner.host.clone());
                self.term = document.term;
            }
            LeaseEvent::Read(None) => self.holder = None,
            _ => {}
        }
    }

    /// Returns the holder; this host counts as holder only until its status expires.
    pub fn holder_at(&self, now: TimePoint) -> Option<&HostName> {
        let expired = match self.status {
            LeaseStatus::Held { until, .. } => now >= until,
            LeaseStatus::Free => false,
        };
        self.holder.as_ref().filter(|_| !expired)
    }
}
