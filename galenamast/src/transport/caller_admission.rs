//! Admits requests: shutdown, stream count, quarantine and the limits of the workspace.

use std::sync::{Arc, PoisonError};

use crate::coordination::{CrashFingerprint, RetryBudget};
use crate::protocol::{CallerError, ErrorCode};
use crate::state::{RefusalReason, RequestId, WorkspaceName, WorkspaceSpec};
use crate::transport::caller_reply::{refuse, refuse_for};
use crate::transport::host_context::HostContext;
use crate::transport::usage_ledger::{UsageLedger, UsageReservation};

/// An admitted request; its limits are given back when it is dropped.
#[derive(Debug)]
pub struct AdmittedRequest {
    context: Arc<HostContext>,
    id: RequestId,
    workspace: WorkspaceName,
    // Room for the usage record, kept until the record is in the ledger.
    _reservation: Option<UsageReservation>,
    /// Tokens for retries and hedges of the workspace.
    pub budget: Arc<RetryBudget>,
    /// Fingerprint of the request.
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

/// Counts a request of any kind as in flight until it is dropped.
#[derive(Debug)]
pub struct OpenRequest {
    context: Arc<HostContext>,
    id: RequestId,
}

impl OpenRequest {
    /// Counts a request, before its body is read.
    ///
    /// # Errors
    ///
    /// Returns the refusal if the host has as many requests as it may.
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

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.context.request_registry.close(self.id);
    }
}

/// Admits a request whose body was read.
///
/// # Errors
///
/// Returns the refusal if the request is in quarantine or a limit is reached.
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
        return Err(refuse_for(id, RefusalReason::Quarantined, time));
    }
    let budget = context
        .admission
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .admit(&workspace.name, &workspace.limits, now)
        .map_err(|refusal| refuse_for(id, RefusalReason::LimitExceeded, refusal.retry_after))?;
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
