//! Operator call that streams routing decisions as they are made.

use std::pin::Pin;
use std::sync::Arc;

use futures_util::{Stream, StreamExt};
use tokio_stream::wrappers::BroadcastStream;
use tonic::{Request, Response, Status, async_trait};

use crate::generated::operator as wire;
use crate::generated::operator::decision_service_server::DecisionService;
use crate::logging::subscribe_decisions;
use crate::protocol::operator_refusal::OperatorRefusal;
use crate::protocol::operator_tokens::OperatorRole;
use crate::protocol::{DecisionRecord, LogRecord};
use crate::transport::operator_context::{OperatorContext, answer};

/// Stream of decisions to an operator.
type DecisionStream = Pin<Box<dyn Stream<Item = Result<wire::Decision, Status>> + Send>>;

/// Serves `TailDecisions`.
#[derive(Debug)]
pub struct DecisionCalls {
    operator: Arc<OperatorContext>,
}

impl DecisionCalls {
    /// Creates the service for the operator protocol of one host.
    pub fn new(operator: Arc<OperatorContext>) -> Self {
        Self { operator }
    }

    /// Streams the decisions of this process; those that a slow reader missed are skipped.
    fn stream_decisions(
        &self,
        request: &Request<wire::TailDecisionsRequest>,
    ) -> Result<DecisionStream, OperatorRefusal> {
        self.operator.authorise(request, OperatorRole::Read)?;
        let workspace = request.get_ref().workspace.clone();
        let received = BroadcastStream::new(subscribe_decisions());
        let decisions = received.filter_map(move |received| {
            let decision = received.ok().filter(|decision| {
                workspace.is_empty() || decision.workspace.as_str() == workspace
            });
            std::future::ready(decision.map(|decision| Ok(decision_to_wire(&decision))))
        });
        Ok(Box::pin(decisions))
    }
}

/// Converts a decision.
fn decision_to_wire(decision: &DecisionRecord) -> wire::Decision {
    let line = LogRecord::Decision(decision.clone());
    wire::Decision {
        request_id: decision.request_id.to_string(),
        workspace: decision.workspace.to_string(),
        line_json: serde_json::to_string(&line).unwrap_or_default(),
    }
}

#[async_trait]
impl DecisionService for DecisionCalls {
    type TailDecisionsStream = DecisionStream;

    async fn tail_decisions(
        &self,
        request: Request<wire::TailDecisionsRequest>,
    ) -> Result<Response<Self::TailDecisionsStream>, Status> {
        answer("TailDecisions", self.stream_decisions(&request))
    }
}
