//! Keeps the load estimate of a server up to date while a request is in flight there.

use std::sync::Arc;

use crate::state::ServerEntry;
use crate::transport::gateway_context::GatewayContext;

/// Counts a request as in flight at a server until the guard is dropped.
#[derive(Debug)]
pub(crate) struct AttemptGuard {
    context: Arc<GatewayContext>,
    server: Arc<str>,
    queued_work: f64,
}

impl AttemptGuard {
    /// Counts a request sent to a server, with its estimated work in seconds.
    pub(crate) fn new(context: &Arc<GatewayContext>, server: &ServerEntry, work: f64) -> Self {
        context.loads().record_sent(&server.id, work);
        Self {
            context: context.clone(),
            server: server.id.clone(),
            queued_work: work,
        }
    }

    /// Records that the server started the request, so that its work no longer counts as queued.
    pub(crate) fn mark_started(&mut self) {
        let work = std::mem::take(&mut self.queued_work);
        self.context.loads().record_begun(&self.server, work);
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        self.mark_started();
        self.context.loads().record_ended(&self.server);
    }
}
