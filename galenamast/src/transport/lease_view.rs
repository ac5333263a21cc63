//! What an entry host last saw of a lease that it holds or contends for.

use crate::coordination::{LeaseEvent, LeaseStatus};
use crate::state::{HostName, LeaseName, TimePoint};

/// A lease as an entry host last saw it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseView {
    /// Name of the lease.
    pub lease: LeaseName,
    /// Host that holds the lease; `None` if none does or it is not known.
    pub holder: Option<HostName>,
    /// Term of the lease, which is its fencing number; zero if it is not known.
    pub term: u64,
    /// Whether the host itself holds the lease, and until when.
    pub status: LeaseStatus,
}

impl LeaseView {
    /// Creates the view of a lease of which nothing is known.
    pub fn new(lease: LeaseName) -> Self {
        Self {
            lease,
            holder: None,
            term: 0,
            status: LeaseStatus::Free,
        }
    }

    /// Takes in what was read of the lease and whether the host itself holds it.
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

    /// Returns the holder; the host itself counts only until its term of holding ends.
    pub fn holder_at(&self, now: TimePoint) -> Option<&HostName> {
        let lapsed = match self.status {
            LeaseStatus::Held { until, .. } => now >= until,
            LeaseStatus::Free => false,
        };
        self.holder.as_ref().filter(|_| !lapsed)
    }
}
