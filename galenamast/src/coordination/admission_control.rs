//! Enforces the rate and concurrency limits of each workspace.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::coordination::retry_budget::RetryBudget;
use crate::coordination::share_allocator::ShareAllocator;
use crate::state::{TimePoint, WorkspaceLimits, WorkspaceName};

/// Burst size: a workspace may send the requests of this much time at once.
const BURST_TIME: Duration = Duration::from_secs(1);
/// Retry delay of a request that exceeds the concurrency limit.
const CONCURRENCY_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Refusal of a request that exceeds a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionRefusal {
    /// Time after which a retry may succeed.
    pub retry_after: Duration,
}

/// Token buckets and concurrency counters of all workspaces on this host.
#[derive(Debug, Default)]
pub struct AdmissionControl {
    workspaces: BTreeMap<WorkspaceName, WorkspaceUse>,
    /// This host's shares of the workspaces' limits.
    pub shares: ShareAllocator,
}

/// Token bucket and concurrency counter of one workspace.
#[derive(Debug)]
struct WorkspaceUse {
    tokens: f64,
    refilled_at: TimePoint,
    in_flight: u32,
    budget: Arc<RetryBudget>,
}

impl AdmissionControl {
    /// Creates an admission control that applies a host's shares of the limits.
    pub fn new(shares: ShareAllocator) -> Self {
        Self {
            shares,
            ..Default::default()
        }
    }

    /// Admits a request of a workspace. [`Self::release`] must be called when the request ends.
    ///
    /// # Errors
    ///
    /// Returns when to retry if a limit is reached.
    ///
    /// ```
    /// use galenamast::coordination::AdmissionControl;
    /// use galenamast::state::{TimePoint, WorkspaceLimits};
    ///
    /// let limits = WorkspaceLimits { max_in_flight: 1, ..Default::default() };
    /// let mut control = AdmissionControl::default();
    /// assert!(control.admit(&"alta".into(), &limits, TimePoint::ZERO).is_ok());
    /// assert!(control.admit(&"alta".into(), &limits, TimePoint::ZERO).is_err());
    /// ```
    pub fn admit(
        &mut self,
        workspace: &WorkspaceName,
        limits: &WorkspaceLimits,
        now: TimePoint,
    ) -> Result<Arc<RetryBudget>, AdmissionRefusal> {
        self.shares.observe(workspace);
        let limits = &self.shares.limits(workspace, limits, now);
        let burst = (limits.requests_per_second * BURST_TIME.as_secs_f64()).max(1.0);
        let usage = self
            .workspaces
            .entry(workspace.clone())
            .or_insert_with(|| WorkspaceUse {
                tokens: burst,
                refilled_at: now,
                in_flight: 0,
                budget: Arc::default(),
            });
        let elapsed = now.since(usage.refilled_at).as_secs_f64();
        usage.tokens = (usage.tokens + elapsed * limits.requests_per_second).min(burst);
        usage.refilled_at = now;
        if usage.in_flight >= limits.max_in_flight {
            return Err(AdmissionRefusal {
                retry_after: CONCURRENCY_RETRY_DELAY,
            });
        }
        if usage.tokens < 1.0 {
            let missing = (1.0 - usage.tokens) / limits.requests_per_second.max(0.001);
            let retry_after = Duration::from_secs_f64(missing.min(3_600.0));
            return Err(AdmissionRefusal { retry_after });
        }
        usage.tokens -= 1.0;
        usage.in_flight += 1;
        usage.budget.deposit(limits.retry_ratio);
        Ok(usage.budget.clone())
    }

    /// Records that an admitted request ended.
    pub fn release(&mut self, workspace: &WorkspaceName) {
        if let Some(usage) = self.workspaces.get_mut(workspace) {
            usage.in_flight = usage.in_flight.saturating_sub(1);
        }
    }

    /// Returns the number of a workspace's requests in flight on this host.
    pub fn in_flight(&self, workspace: &WorkspaceName) -> u32 {
        self.workspaces
            .get(workspace)
            .map_or(0, |usage| usage.in_flight)
    }
}
