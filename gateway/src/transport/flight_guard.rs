//! Counts a request as in flight at a server for as long as it is.

use std::sync::Arc;

use crate::transport::gateway_context::GatewayContext;

/// A request in flight at a server.
#[derive(Debug)]
pub(crate) struct FlightGuard {
    context: Arc<GatewayContext>,
    server: Arc<str>,
}

impl FlightGuard {
    /// Counts a request that is sent to a server.
    pub(crate) fn new(context: &Arc<GatewayContext>, server: &Arc<str>) -> Self {
        context.loads().note_sent(server);
        Self { context: context.clone(), server: server.clone() }
    }
}

impl Drop for FlightGuard {
    fn drop(&mut self) {
        self.context.loads().note_ended(&self.server);
    }
}
