//! Logs requests whose connections close while their bodies are read.

use std::sync::Arc;

use galenamast::state::TimePoint;
use log::Level;

use crate::protocol::GatewayRecord;
use crate::state::CallerHead;
use crate::transport::gateway_context::GatewayContext;
use crate::transport::record_log::log_record;
use crate::transport::request_admission::Admission;

/// Logs a request whose connection closes while its body is read.
#[derive(Debug)]
pub(crate) struct BodyGuard<'a> {
    context: &'a GatewayContext,
    request: Arc<str>,
    route: Arc<str>,
    started_at: TimePoint,
    has_ended: bool,
}

impl<'a> BodyGuard<'a> {
    /// Begins to read a body.
    pub(crate) fn new(
        context: &'a GatewayContext,
        admission: &Admission,
        head: &CallerHead,
        started_at: TimePoint,
    ) -> Self {
        Self {
            context,
            request: head.request.clone().unwrap_or_default(),
            route: admission.route.name.clone(),
            started_at,
            has_ended: false,
        }
    }

    /// Ends the guard, as the body was read or refused.
    pub(crate) fn end(mut self) {
        self.has_ended = true;
    }
}

impl Drop for BodyGuard<'_> {
    fn drop(&mut self) {
        if self.has_ended {
            return;
        }
        let cause = self.context.abandon_cause();
        self.context
            .metrics
            .increment(&format!("requests_abandoned_{cause}_body_total"));
        let elapsed = self.context.now().since(self.started_at);
        let record = GatewayRecord::RequestAbandoned {
            request: self.request.clone(),
            route: Some(self.route.clone()),
            cause,
            stage: "body",
            elapsed_ms: u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX),
            left_ms: 0,
            attempts: 0,
            events: 0,
        };
        log_record(Level::Info, &record);
    }
}
