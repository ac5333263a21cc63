//! Operator call that exports billed usage.

use std::pin::Pin;
use std::sync::Arc;

use futures_util::{Stream, stream};
use tonic::{Request, Response, Status, async_trait};

use crate::coordination::{CallPriority, UsageRecord};
use crate::generated::operator as wire;
use crate::generated::operator::usage_service_server::UsageService;
use crate::protocol::operator_objects::version_to_wire;
use crate::protocol::operator_refusal::{OperatorRefusal, RefusalCode};
use crate::protocol::operator_tokens::OperatorRole;
use crate::transport::object_calls::ObjectCalls;
use crate::transport::operator_context::{OperatorContext, answer};
use crate::transport::usage_export::{ExportRange, export_usage};

/// Stream of usage records to an operator.
type UsageStream = Pin<Box<dyn Stream<Item = Result<wire::UsageRecord, Status>> + Send>>;

/// Serves `ExportUsage`.
#[derive(Debug)]
pub struct UsageCalls {
    operator: Arc<OperatorContext>,
}

impl UsageCalls {
    /// Creates the service for the operator protocol of one host.
    pub fn new(operator: Arc<OperatorContext>) -> Self {
        Self { operator }
    }

    /// Reads the usage records of a period, for one workspace or for all.
    async fn export(
        &self,
        request: &Request<wire::ExportUsageRequest>,
    ) -> Result<UsageStream, OperatorRefusal> {
        self.operator.authorise(request, OperatorRole::Read)?;
        let message = request.get_ref();
        let until_unix_ms = match message.until_unix_ms {
            0 => u64::MAX,
            until => until,
        };
        if message.from_unix_ms >= until_unix_ms {
            let text = "from_unix_ms must lie before until_unix_ms";
            return Err(OperatorRefusal::new(RefusalCode::Invalid, text));
        }
        let range = ExportRange {
            from_unix_ms: message.from_unix_ms,
            until_unix_ms,
            ..Default::default()
        };
        let unavailable = |text: String| OperatorRefusal::new(RefusalCode::Unavailable, text);
        let objects = self.operator.host.objects.as_ref().ok_or_else(|| {
            unavailable("this host has no object API: [platform] objects is not set".into())
        })?;
        let objects = objects.with_priority(CallPriority::Usage);
        let exported = export_usage(&ObjectCalls::from_client(&objects), range).await;
        let exported = exported.map_err(|error| unavailable(error.to_string()))?;
        let workspace = message.workspace.clone();
        let records = exported.records.into_iter();
        let selected = records
            .filter(move |record| workspace.is_empty() || record.workspace.as_str() == workspace);
        let converted = selected.map(|record| Ok(usage_to_wire(&record)));
        Ok(Box::pin(stream::iter(converted)))
    }
}

/// Converts a usage record.
fn usage_to_wire(record: &UsageRecord) -> wire::UsageRecord {
    wire::UsageRecord {
        request_id: record.request_id.to_string(),
        workspace: record.workspace.to_string(),
        task: record.task.to_string(),
        version: record.version.as_ref().map(version_to_wire),
        input_tokens: record.input_tokens,
        output_tokens: record.output_tokens,
        price_micros: record.price,
        ended_unix_ms: record.ended_unix_ms,
    }
}

#[async_trait]
impl UsageService for UsageCalls {
    type ExportUsageStream = UsageStream;

    async fn export_usage(
        &self,
        request: Request<wire::ExportUsageRequest>,
    ) -> Result<Response<Self::ExportUsageStream>, Status> {
        answer("ExportUsage", self.export(&request).await)
    }
}
