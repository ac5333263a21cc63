//! Counts a request as in flight at a server for as long as it is.

use std::sync::Arc;

use crate::transport::gateway_context::GatewayContext;

/// A request in flight at a server.
#[derive(Debug)]
pub(crate) struct FlightGuard {
    context: Arc<GatewayContext>,
    server: Arc<str>,
    waiting_work: f64,
}

impl FlightGuard {
    /// Counts a request that is sent to a server, with its work in seconds.
    pub(crate) fn new(context: &Arc<GatewayContext>, server: &Arc<str>, work: f64) -> Self {
        context.loads().record_sent(server, work);
        Self {
            context: context.clone(),
            server: server.clone(),
            waiting_work: work,
        }
    }

    /// Counts the request as begun.
    pub(crate) fn record_begun(&mut self) {
        let work = std::mem::take(&mut self.waiting_work);
        self.context.loads().record_begun(&self.server, work);
    }
}

impl Drop for FlightGuard {
    fn drop(&mut self) {
        self.record_begun();
        self.context.loads().record_ended(&self.server);
    }
}
