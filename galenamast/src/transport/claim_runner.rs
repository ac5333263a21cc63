//! Acquires, settles and releases claims in the platform's object store.

use std::sync::Arc;
use std::time::Duration;

use serde_json::Value;
use tokio::sync::oneshot;
use tokio_util::task::TaskTracker;

use crate::coordination::claim_closing::{CloseStep, plan_close};
use crate::coordination::claim_key::{claim_object, is_outside_window};
use crate::coordination::claim_machine::{ClaimAction, ClaimEvent, ClaimFinish, ClaimMachine};
use crate::coordination::{
    ClaimDocument, ClaimRecord, ClaimState, ObjectKey, ObjectRecord, ReleaseReason, StoredOutcome,
    WriteCondition, WriteOutcome,
};
use crate::logging::log_fault;
use crate::protocol::ProtocolError;
use crate::state::{TimePoint, WorkspaceName};
use crate::transport::claim_request::{
    ClaimRequest, ClaimResolution, ClaimSettings, ClaimTicket, ClaimVerdict,
};
use crate::transport::object_calls::ObjectCalls;
use crate::transport::timer_service::TimerService;
use crate::transport::transport_error::TransportError;

/// Delay before the first retry of closing a claim; doubled with each retry.
const FIRST_CLOSE_DELAY: Duration = Duration::from_millis(100);
/// Maximum delay between two attempts to close a claim.
const MAX_CLOSE_DELAY: Duration = Duration::from_secs(30);

/// A verdict for the task that asked for the claim, which acknowledges it through `accepted`.
struct ClaimDelivery {
    verdict: ClaimVerdict,
    accepted: oneshot::Sender<()>,
}

/// Acquires, settles and releases claims.
#[derive(Clone, Debug)]
pub struct ClaimRunner {
    calls: ObjectCalls,
    timers: TimerService,
    settings: Arc<ClaimSettings>,
    closing: TaskTracker,
}

impl ClaimRunner {
    /// Creates a runner that stores claims through these calls.
    pub fn new(calls: ObjectCalls, timers: TimerService, settings: ClaimSettings) -> Self {
        Self {
            calls,
            timers,
            settings: Arc::new(settings),
            closing: TaskTracker::new(),
        }
    }

    /// Acquires the claim that must be held before the request is dispatched.
    ///
    /// If this future is dropped meanwhile, the claim is still acquired and then released.
    pub async fn claim(&self, request: ClaimRequest) -> ClaimVerdict {
        let (sender, receiver) = oneshot::channel();
        let runner = self.clone();
        tokio::spawn(async move {
            let verdict = runner.decide_claim(request).await;
            let undelivered = match &verdict {
                ClaimVerdict::Granted(ticket) => Some(ticket.duplicate()),
                _ => None,
            };
            let (accepted, was_accepted) = oneshot::channel();
            let delivered = sender.send(ClaimDelivery { verdict, accepted }).is_ok();
            if delivered && was_accepted.await.is_ok() {
                return;
            }
            if let Some(ticket) = undelivered {
                runner.release(ticket).await;
            }
        });
        let Ok(delivery) = receiver.await else {
            return ClaimVerdict::Unavailable;
        };
        match delivery.accepted.send(()) {
            Ok(()) => delivery.verdict,
            Err(()) => ClaimVerdict::Unavailable,
        }
    }

    /// Acquires a claim and returns the verdict.
    async fn decide_claim(&self, request: ClaimRequest) -> ClaimVerdict {
        let unix_ms = self.timers.unix_millis();
        if is_outside_window(&request.key, &self.settings.retention, unix_ms) {
            return ClaimVerdict::KeyExpired;
        }
        let started = self.timers.now();
        let object = claim_object(&request.workspace, &request.key);
        let document = ClaimDocument {
            workspace: request.workspace,
            attempt: request.attempt,
            holder: self.settings.host.clone(),
            body_digest: request.body_digest,
            created_unix_ms: unix_ms,
            state: ClaimState::Held,
        };
        match self.make_claim(&object, &document, started).await {
            ClaimFinish::Granted(version) => ClaimVerdict::Granted(ClaimTicket {
                object,
                version,
                document,
                dispatch_until: started + self.settings.dispatch_window,
            }),
            ClaimFinish::Settled(outcome) => ClaimVerdict::Settled(outcome),
            ClaimFinish::InProgress => ClaimVerdict::InProgress,
            ClaimFinish::KeyReused => ClaimVerdict::KeyReused,
            ClaimFinish::Unavailable { may_exist } => {
                if may_exist {
                    self.release_uncertain(object, document);
                }
                ClaimVerdict::Unavailable
            }
        }
    }

    /// Stores the outcome of a claimed request; returns whether the first write stored it.
    ///
    /// Only the first write is awaited; retries run in the background.
    pub async fn settle(&self, ticket: ClaimTicket, outcome: StoredOutcome) -> bool {
        self.close(ticket, ClaimState::Settled { outcome }).await
    }

    /// Releases a claim whose attempt was not dispatched; returns whether the first write did so.
    pub async fn release(&self, ticket: ClaimTicket) -> bool {
        let reason = ReleaseReason::NotDispatched;
        self.close(ticket, ClaimState::Released { reason }).await
    }

    /// Waits for background closing of claims to finish, for a graceful shutdown; returns whether
    /// all are closed.
    pub async fn drain(&self, timeout: Duration) -> bool {
        self.closing.close();
        tokio::select! {
            () = self.closing.wait() => true,
            () = self.timers.sleep(timeout) => self.closing.is_empty(),
        }
    }

    /// Resolves a claim without an outcome, as an operator found it at the backend server.
    ///
    /// Returns whether the claim had no outcome and is now resolved.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform cannot be reached; the call may then be repeated.
    pub async fn resolve(
        &self,
        workspace: &WorkspaceName,
        key: &str,
        resolution: ClaimResolution,
    ) -> Result<bool, TransportError> {
        let object = claim_object(workspace, key);
        let Some(record) = self.read(&object).await? else {
            return Ok(false);
        };
        if record.document.state != ClaimState::Held {
            return Ok(false);
        }
        let state = match resolution {
            ClaimResolution::NotRun { author, reason } => ClaimState::Released {
                reason: ReleaseReason::Operator { author, reason },
            },
            ClaimResolution::Ran(outcome) => ClaimState::Settled { outcome },
        };
        let closed = ClaimDocument {
            state,
            ..record.document
        };
        let condition = WriteCondition::At(record.version);
        match self.write(&object, condition, &closed).await? {
            WriteOutcome::Applied(_) => Ok(true),
            WriteOutcome::Conflict | WriteOutcome::Rejected => Ok(false),
            WriteOutcome::Indeterminate => {
                let stored = self.read(&object).await?;
                Ok(stored.is_some_and(|record| record.document == closed))
            }
        }
    }

    /// Drives the state machine of a claim until it finishes or the timeout passes.
    async fn make_claim(
        &self,
        object: &ObjectKey,
        document: &ClaimDocument,
        started: TimePoint,
    ) -> ClaimFinish {
        let mut machine = ClaimMachine::new(document.clone());
        let mut action = machine.first_action();
        let deadline = started + self.settings.timeout;
        loop {
            let step = async {
                match &action {
                    ClaimAction::Write(condition) => {
                        let written = self.write(object, *condition, document).await;
                        ClaimEvent::Written(written.unwrap_or(WriteOutcome::Rejected))
                    }
                    ClaimAction::Read => match self.read(object).await {
                        Ok(record) => ClaimEvent::Read(record),
                        Err(_) => ClaimEvent::ReadFailed,
                    },
                    ClaimAction::Finish(_) => std::future::pending().await,
                }
            };
            let event = tokio::select! {
                event = step => event,
                () = self.timers.sleep_until(deadline) => ClaimEvent::DeadlinePassed,
            };
            action = machine.handle(&event);
            if let ClaimAction::Finish(finish) = action {
                return finish;
            }
        }
    }

    /// Closes a claim; returns whether the first write did so, and otherwise retries in the
    /// background.
    async fn close(&self, ticket: ClaimTicket, state: ClaimState) -> bool {
        let closed = ClaimDocument {
            state,
            ..ticket.document
        };
        let condition = WriteCondition::At(ticket.version);
        let first = self.write(&ticket.object, condition, &closed);
        if let Ok(WriteOutcome::Applied(_)) = first.await {
            return true;
        }
        self.close_in_background(ticket.object, closed);
        false
    }

    /// Releases a claim in the background that may exist although acquiring it failed.
    fn release_uncertain(&self, object: ObjectKey, document: ClaimDocument) {
        let reason = ReleaseReason::NotDispatched;
        let closed = ClaimDocument {
            state: ClaimState::Released { reason },
            ..document
        };
        self.close_in_background(object, closed);
    }

    /// Retries closing a claim in the background until it is closed or the timeout passes.
    fn close_in_background(&self, object: ObjectKey, closed: ClaimDocument) {
        let runner = self.clone();
        self.closing.spawn(async move {
            let deadline = runner.timers.now() + runner.settings.close_timeout;
            let mut wait = FIRST_CLOSE_DELAY;
            while runner.timers.now() < deadline {
                if runner.try_close(&object, &closed).await {
                    return;
                }
                runner.timers.sleep(wait).await;
                wait = (wait * 2).min(MAX_CLOSE_DELAY);
            }
            log_fault(
                "claims",
                &format!("cannot close {object}; it stays without an outcome"),
            );
        });
    }

    /// Reads the claim and closes it if it is still held; returns whether nothing is left to do.
    async fn try_close(&self, object: &ObjectKey, closed: &ClaimDocument) -> bool {
        let Ok(stored) = self.read(object).await else {
            return false;
        };
        match plan_close(closed, stored.as_ref()) {
            CloseStep::Done | CloseStep::Lost => true,
            CloseStep::Write(condition) => {
                let written = self.write(object, condition, closed).await;
                matches!(written, Ok(WriteOutcome::Applied(_)))
            }
        }
    }

    /// Reads a claim; `None` if it does not exist.
    async fn read(&self, object: &ObjectKey) -> Result<Option<ClaimRecord>, TransportError> {
        let record = (self.calls.read)(object.clone()).await?;
        record.map(decode_claim).transpose()
    }

    /// Writes a claim if the condition holds.
    async fn write(
        &self,
        object: &ObjectKey,
        condition: WriteCondition,
        document: &ClaimDocument,
    ) -> Result<WriteOutcome, TransportError> {
        let value = encode_claim(document)?;
        (self.calls.write)(object.clone(), condition, value).await
    }
}

/// Decodes a claim from its stored object.
pub(crate) fn decode_claim(record: ObjectRecord) -> Result<ClaimRecord, TransportError> {
    let version = record.version;
    let what = "claim";
    serde_json::from_value(record.value)
        .map(|document| ClaimRecord { version, document })
        .map_err(|source| ProtocolError::Json { what, source }.into())
}

/// Encodes a claim for storage.
fn encode_claim(document: &ClaimDocument) -> Result<Value, TransportError> {
    let what = "claim";
    serde_json::to_value(document).map_err(|source| ProtocolError::Json { what, source }.into())
}
