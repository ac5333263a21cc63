//! Leases for which only the first hosts of a failure domain contend.

use std::sync::{Arc, Mutex, PoisonError};

use tokio::sync::watch;

use crate::coordination::lease_document::{LEASE_KIND, LeaseDocument};
use crate::coordination::{CallPriority, LeaseStatus, ObjectKey, rank_hosts};
use crate::protocol::ProtocolError;
use crate::state::LeaseName;
use crate::transport::host_context::HostContext;
use crate::transport::transport_error::TransportError;

/// A lease that the host contends for while it is among the first hosts of its failure domain.
///
/// The hosts of a failure domain are ranked by rendezvous hashing of the lease name.
#[derive(Debug)]
pub struct JobLease {
    context: Arc<HostContext>,
    name: LeaseName,
    contenders: usize,
    status: Mutex<Option<watch::Receiver<LeaseStatus>>>,
}

impl JobLease {
    /// Creates a lease for which `contenders` hosts of each failure domain contend.
    pub fn new(context: &Arc<HostContext>, name: &str, contenders: usize) -> Arc<Self> {
        Arc::new(Self {
            context: context.clone(),
            name: name.into(),
            contenders,
            status: Mutex::default(),
        })
    }

    /// Starts to contend if the host ranks among the contenders, and stops if it does not.
    pub fn refresh(&self) {
        let contends = self.is_contender();
        let mut status = self.status.lock().unwrap_or_else(PoisonError::into_inner);
        match (&self.context.leases, contends) {
            (Some(leases), true) if status.is_none() => *status = Some(leases.contend(&self.name)),
            (_, false) => *status = None,
            _ => {}
        }
    }

    /// Returns the term in which the host holds the lease now; `None` if it does not hold it.
    pub fn term(&self) -> Option<u64> {
        let now = self.context.timers.now();
        let status = self.status.lock().unwrap_or_else(PoisonError::into_inner);
        status.as_ref()?.borrow().term_at(now)
    }

    /// Reads the lease from the platform and returns whether the host holds it in `term`.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform cannot be reached or the lease is malformed.
    pub async fn confirm(&self, term: u64) -> Result<bool, TransportError> {
        let Some(objects) = &self.context.objects else {
            return Ok(false);
        };
        let key = ObjectKey::new(LEASE_KIND, self.name.as_str());
        let record = objects
            .with_priority(CallPriority::Lease)
            .read(&key)
            .await?;
        let Some(record) = record else {
            return Ok(false);
        };
        let what = "lease";
        let document: LeaseDocument = serde_json::from_value(record.value)
            .map_err(|source| ProtocolError::Json { what, source })?;
        let own = document.owner.host == self.context.settings.host.name;
        Ok(own && document.term == term && !document.released && self.term() == Some(term))
    }

    /// Returns whether the host ranks among the contenders of its failure domain.
    fn is_contender(&self) -> bool {
        let Some(mesh) = self.context.peers.get() else {
            return false;
        };
        let members = mesh.members();
        let ranked = rank_hosts(
            self.name.as_str(),
            members.live().map(|member| &member.name),
        );
        ranked
            .iter()
            .take(self.contenders)
            .any(|host| host == mesh.own())
    }
}
