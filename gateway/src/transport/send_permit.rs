//! Holds the permit to send one request to a backend server until the request is written.

use std::sync::Arc;

use galenamast::state::TimePoint;

use crate::coordination::permits::SendDenial;
use crate::state::ServerEntry;
use crate::transport::gateway_context::GatewayContext;

/// A permit for one request; it is given back when dropped before the request was written.
#[derive(Debug)]
pub(crate) struct SendPermit {
    context: Arc<GatewayContext>,
    server: ServerEntry,
    taken_at: TimePoint,
    is_used: bool,
}

impl SendPermit {
    /// Takes the permit for a request to a server; returns why it may not be sent otherwise.
    pub(crate) fn take(
        context: &Arc<GatewayContext>,
        server: &ServerEntry,
    ) -> Result<Self, SendDenial> {
        if context.is_evacuated(server) {
            return Err(SendDenial::Evacuated);
        }
        let taken_at = context.now();
        let in_flight = context.loads().in_flight(&server.id, taken_at);
        let mut permits = context.permits();
        if let Some(denial) = permits.room_denial(server, in_flight, taken_at) {
            return Err(denial);
        }
        permits.take(server, taken_at)?;
        drop(permits);
        Ok(Self {
            context: context.clone(),
            server: server.clone(),
            taken_at,
            is_used: false,
        })
    }

    /// Uses the permit just before the request is written; returns why it may not be sent any more
    /// if the server's demands have changed since the permit was taken, or its domain is evacuated.
    pub(crate) fn confirm(&mut self) -> Result<(), SendDenial> {
        if self.context.is_evacuated(&self.server) {
            return Err(SendDenial::Evacuated);
        }
        let now = self.context.now();
        self.is_used = true;
        self.context
            .permits()
            .confirm(&self.server, self.taken_at, now)
    }
}

impl Drop for SendPermit {
    fn drop(&mut self) {
        if !self.is_used {
            let mut permits = self.context.permits();
            permits.give_back(&self.server.id, self.taken_at);
        }
    }
}
