//! Operator call that resolves claims whose outcome is unknown.

use std::sync::Arc;

use log::Level;
use tonic::{Request, Response, Status, async_trait};

use crate::coordination::StoredOutcome;
use crate::generated::operator as wire;
use crate::generated::operator::claim_service_server::ClaimService;
use crate::logging::log_record;
use crate::protocol::LogRecord;
use crate::protocol::operator_objects::checked_name;
use crate::protocol::operator_refusal::{OperatorRefusal, RefusalCode};
use crate::protocol::operator_tokens::OperatorRole;
use crate::state::WorkspaceName;
use crate::transport::claim_request::ClaimResolution;
use crate::transport::operator_context::{OperatorContext, answer};

/// Serves `ResolveClaim`.
#[derive(Debug)]
pub struct ClaimCalls {
    operator: Arc<OperatorContext>,
}

impl ClaimCalls {
    /// Creates the service for the operator protocol of one host.
    pub fn new(operator: Arc<OperatorContext>) -> Self {
        Self { operator }
    }

    /// Resolves a claim with the outcome of its request that an operator reports.
    async fn resolve(
        &self,
        request: &Request<wire::ResolveClaimRequest>,
    ) -> Result<wire::ResolveClaimResponse, OperatorRefusal> {
        let identity = self.operator.authorise(request, OperatorRole::Operate)?;
        let message = request.get_ref();
        let name = WorkspaceName::new(checked_name("workspace name", &message.workspace)?);
        let refuse = |code, text: String| OperatorRefusal::new(code, text);
        if message.idempotency_key.is_empty() || message.reason.trim().is_empty() {
            let text = "idempotency_key and reason must not be empty";
            return Err(refuse(RefusalCode::Invalid, text.into()));
        }
        let claims = self.operator.host.claims.as_ref().ok_or_else(|| {
            let text = "this host has no object API: [platform] objects is not set";
            refuse(RefusalCode::Unavailable, text.into())
        })?;
        let resolution = resolution_of(message, &identity.name)?;
        let ran = matches!(resolution, ClaimResolution::Ran(_));
        let key = &message.idempotency_key;
        let resolved = claims.resolve(&name, key, resolution).await;
        let resolved =
            resolved.map_err(|error| refuse(RefusalCode::OutcomeUnknown, error.to_string()))?;
        if resolved {
            let record = LogRecord::ClaimResolved {
                author: identity.name,
                reason: message.reason.clone(),
                workspace: name,
                ran,
            };
            log_record(Level::Info, &record);
        }
        Ok(wire::ResolveClaimResponse { resolved })
    }
}

/// Reads the reported outcome; a request without an answer did not run.
fn resolution_of(
    message: &wire::ResolveClaimRequest,
    author: &str,
) -> Result<ClaimResolution, OperatorRefusal> {
    let Some(answer) = &message.answer else {
        return Ok(ClaimResolution::NotRun {
            author: author.into(),
            reason: message.reason.clone(),
        });
    };
    let status = u16::try_from(answer.status).ok();
    let Some(status) = status.filter(|status| (200..600).contains(status)) else {
        let text = format!("status is {}, but must be 200 to 599", answer.status);
        return Err(OperatorRefusal::new(RefusalCode::Invalid, text));
    };
    let outcome = StoredOutcome::of_answer(status, None, &answer.content_type, &answer.body);
    Ok(ClaimResolution::Ran(outcome))
}

#[async_trait]
impl ClaimService for ClaimCalls {
    async fn resolve_claim(
        &self,
        request: Request<wire::ResolveClaimRequest>,
    ) -> Result<Response<wire::ResolveClaimResponse>, Status> {
        answer("ResolveClaim", self.resolve(&request).await)
    }
}
