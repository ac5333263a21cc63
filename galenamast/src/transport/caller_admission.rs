//! Admits requests: checks the stream limit, the quarantine, room for usage records and the limits
//! of the workspace.

use std::sync::{Arc, PoisonError};

use crate::coordination::{CrashFingerprint, RetryBudget};
use crate::protocol::{CallerError, ErrorCode};
use crate::state::{RefusalReason, RequestId, WorkspaceName, WorkspaceSpec};
use crate::transport::caller_reply::{refuse, refuse_with_retry};
use crate::transport::host_context::HostContext;
use crate::transport::usage_ledger::{UsageLedger, UsageReservation};

/// An admitted request; dropping it releases what it takes up of the workspace's limits.
#[derive(Debug)]
pub struct AdmittedRequest {
    context: Arc<HostContext>,
    id: RequestId,
    workspace: WorkspaceName,
    // Reserves room for the usage record until the record is in the ledger.
    _reservation: Option<UsageReservation>,
    /// Retry budget of the workspace, which retries and hedges draw on.
    pub budget: Arc<RetryBudget>,
    /// Fingerprint under which the quarantine knows the request.
    pub fingerprint: CrashFingerprint,
}

impl Drop for AdmittedRequest {
    fn drop(&mut self) {
        self.context
            .admission
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .release(&self.workspace);
        self.context.request_registry.close(self.id);
    }
}

/// Counts a request as in flight until it is dropped, also while its body is still being read.
#[derive(Debug)]
pub struct InFlightGuard {
    context: Arc<HostContext>,
    id: RequestId,
}

impl InFlightGuard {
    /// Registers a request.
    ///
    /// # Errors
    ///
    /// Returns the refusal if the host already has `max_streams` requests in flight.
    pub fn open(context: &Arc<HostContext>, id: RequestId) -> Result<Self, CallerError> {
        let max_streams = context.current_settings().callers.max_streams;
        if !context.request_registry.open(id, max_streams) {
            let message = "the entry host has as many requests as it may";
            return Err(refuse(id, ErrorCode::Unavailable, message));
        }
        let context = context.clone();
        Ok(Self { context, id })
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.context.request_registry.close(self.id);
    }
}

/// Admits a request whose body was read.
///
/// # Errors
///
/// Returns the refusal if the ledger has no room for a usage record, the request is in quarantine,
/// or a limit of the workspace is reached.
pub fn admit(
    context: &Arc<HostContext>,
    id: RequestId,
    workspace: &WorkspaceSpec,
    body: &[u8],
) -> Result<AdmittedRequest, CallerError> {
    let reservation = context.ledger.as_ref().map(UsageLedger::reserve);
    if matches!(reservation, Some(None)) {
        let message = "no further usage can be recorded until the platform is back";
        return Err(refuse(id, ErrorCode::Unavailable, message));
    }
    let now = context.timers.now();
    let fingerprint =
        CrashFingerprint::of_request(&context.fingerprint_key(), &workspace.name, body);
    let quarantined = context
        .quarantine
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .refused_for(fingerprint, now);
    if let Some(time) = quarantined {
        return Err(refuse_with_retry(id, RefusalReason::Quarantined, time));
    }
    let budget = context
        .admission
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .admit(&workspace.name, &workspace.limits, now)
        .map_err(|error| refuse_with_retry(id, RefusalReason::LimitExceeded, error.retry_after))?;
    context.request_registry.open(id, u32::MAX);
    Ok(AdmittedRequest {
        context: context.clone(),
        id,
        workspace: workspace.name.clone(),
        _reservation: reservation.flatten(),
        budget,
        fingerprint,
    })
}
