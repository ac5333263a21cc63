//! The claim of one non-idempotent request and its stored outcome.

use std::sync::Arc;

use axum::http::{HeaderValue, StatusCode};
use bytes::Bytes;

use crate::coordination::claim_document::MAX_STORED_BODY;
use crate::coordination::{ClaimAnswer, ClaimEnd, StoredOutcome};
use crate::protocol::{ChatUsage, END_MARKER, encode_event};
use crate::state::{AttemptId, VersionKey};
use crate::transport::backend_client::BackendReply;
use crate::transport::caller_request::RequestJob;
use crate::transport::claim_request::{ClaimRequest, ClaimTicket, ClaimVerdict};
use crate::transport::host_context::HostContext;

/// Media type of a streamed answer.
const EVENT_STREAM: &str = "text/event-stream";

/// The claim of one request; a request without an idempotency key has none.
#[derive(Debug)]
pub struct RequestClaim {
    context: Arc<HostContext>,
    job: Arc<RequestJob>,
    ticket: Option<ClaimTicket>,
    stored: Option<StoredOutcome>,
    streamed: Vec<u8>,
}

impl RequestClaim {
    /// Creates a claim that is not acquired yet.
    pub fn new(context: Arc<HostContext>, job: Arc<RequestJob>) -> Self {
        Self {
            context,
            job,
            ticket: None,
            stored: None,
            streamed: Vec::new(),
        }
    }

    /// Returns a future that acquires the claim.
    pub fn acquire(&self) -> impl Future<Output = ClaimVerdict> + Send + 'static {
        let runner = self.context.claims.clone();
        let key = self.job.idempotency_key.as_ref();
        let key = key.and_then(|key| key.to_str().ok()).map(str::to_owned);
        let request = ClaimRequest {
            workspace: self.job.route.workspace.clone(),
            key: key.clone().unwrap_or_default(),
            body_digest: self.job.digest.clone(),
            attempt: AttemptId {
                request: self.job.route.id,
                number: 0,
            },
            request: self.job.route.id,
        };
        async move {
            match (runner, key) {
                (Some(runner), Some(_)) => runner.claim(request).await,
                _ => ClaimVerdict::Unavailable,
            }
        }
    }

    /// Stores the ticket or the outcome of a verdict and returns the answer for the state machine.
    pub fn handle_verdict(&mut self, verdict: ClaimVerdict) -> ClaimAnswer {
        match verdict {
            ClaimVerdict::Granted(ticket) => {
                self.ticket = Some(ticket);
                ClaimAnswer::Granted
            }
            ClaimVerdict::Settled(outcome) => {
                self.stored = Some(outcome);
                ClaimAnswer::Settled
            }
            ClaimVerdict::InProgress => ClaimAnswer::InProgress,
            ClaimVerdict::Unavailable => ClaimAnswer::Unavailable,
            ClaimVerdict::KeyExpired => ClaimAnswer::KeyExpired,
            ClaimVerdict::KeyReused => ClaimAnswer::KeyReused,
        }
    }

    /// Returns whether an attempt may be sent: always if no claim is needed, otherwise only within
    /// the ticket's dispatch window.
    pub fn may_dispatch(&self) -> bool {
        let now = self.context.timers.now();
        let needed = self.job.idempotency_key.is_some();
        let ticket = self.ticket.as_ref();
        !needed || ticket.is_some_and(|ticket| ticket.may_dispatch(now))
    }

    /// Buffers events of a streamed answer for the stored outcome, until the buffer exceeds
    /// `MAX_STORED_BODY`.
    pub fn buffer_events(&mut self, events: &[String]) {
        if self.ticket.is_none() || self.streamed.len() > MAX_STORED_BODY {
            return;
        }
        for data in events {
            self.streamed
                .extend_from_slice(encode_event(data).as_bytes());
        }
    }

    /// Settles the claim with the answer, or releases it if nothing ran. A claim with an unknown
    /// outcome is left held.
    pub async fn close(
        &mut self,
        end: ClaimEnd,
        reply: Option<&BackendReply>,
        version: Option<VersionKey>,
    ) {
        let Some(runner) = self.context.claims.clone() else {
            return;
        };
        let Some(ticket) = self.ticket.take() else {
            return;
        };
        match (end, reply) {
            (ClaimEnd::NotRun, _) => {
                runner.release(ticket).await;
            }
            (ClaimEnd::Answered(_), Some(reply)) => {
                let outcome = self.stored_outcome(reply, version);
                runner.settle(ticket, outcome).await;
            }
            (ClaimEnd::Answered(_) | ClaimEnd::Unknown, _) => {}
        }
    }

    /// Builds the stored outcome of a complete answer.
    fn stored_outcome(
        &mut self,
        reply: &BackendReply,
        version: Option<VersionKey>,
    ) -> StoredOutcome {
        let status = reply.status.as_u16();
        if self.streamed.is_empty() {
            let content_type = reply.content_type.as_ref();
            let content_type = content_type.and_then(|value| value.to_str().ok());
            let content_type = content_type.unwrap_or_default();
            return StoredOutcome::of_answer(status, version, content_type, &reply.body);
        }
        self.streamed
            .extend_from_slice(encode_event(END_MARKER).as_bytes());
        StoredOutcome::of_answer(status, version, EVENT_STREAM, &self.streamed)
    }

    /// Takes the stored answer with its version; `None` if its body was too large to be stored.
    pub fn take_stored(&mut self) -> Option<(BackendReply, Option<VersionKey>)> {
        let outcome = self.stored.take()?;
        let body = outcome.body_bytes()?;
        let reply = BackendReply {
            status: StatusCode::from_u16(outcome.status).unwrap_or(StatusCode::OK),
            content_type: HeaderValue::from_str(&outcome.content_type).ok(),
            body: Bytes::from(body),
            usage: ChatUsage::default(),
        };
        Some((reply, outcome.version))
    }
}
