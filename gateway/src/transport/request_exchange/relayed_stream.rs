//! Delivers a stream that another host passes on, and has further hosts continue it.
//!
//! Load pattern: hosts without a path to the servers have their streams relayed by a few others, which are
//! stopped one after the other.

use std::time::Duration;

use futures_util::stream;
use galenamast::transport::{BodyError, BoundedBody};
use http::Response;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;

use crate::coordination::requests::AttemptOutcome;
use crate::transport::attempt_runner::remaining_time;
use crate::transport::connection_pool::BackendConnection;
use crate::transport::event_intake::EventIntake;
use crate::transport::host_memory::{MemoryKind, MemoryShare};
use crate::transport::request_exchange::RequestExchange;
use crate::transport::request_exchange::relay::RelayAnswer;
use crate::transport::response_body::{ResponseBody, TruncatedResponse};
use crate::transport::response_fault::ResponseFault;
use crate::transport::stream_ahead::EventQueue;

/// Shortest time for which a frame is awaited. After the deadline, the other host may still send what it
/// has read before.
const MIN_FRAME_TIMEOUT: Duration = Duration::from_millis(250);

/// The head of a stream that another host passes on; its body is still to be read.
#[derive(Debug)]
pub(crate) struct RelayedResponse {
    /// Head of the response.
    pub(super) parts: http::response::Parts,
    /// Connection to the other host.
    pub(super) connection: BackendConnection,
    /// Body, not read yet.
    pub(super) body: BoundedBody,
    /// Number of servers that may run the request at the other host.
    pub(super) runs: u32,
}

/// A stream that another host passes on.
#[derive(Debug)]
pub(crate) struct RelayedStream {
    exchange: RequestExchange,
    source: Option<RelayedResponse>,
    intake: EventIntake,
    // Memory for an event that is not complete yet.
    partial: MemoryShare,
}

impl RelayedStream {
    /// Returns the response for the caller, whose body continues the stream at further hosts if need be.
    pub(super) fn start(
        mut exchange: RequestExchange,
        source: RelayedResponse,
    ) -> Response<ResponseBody> {
        exchange.head_latency = Some(exchange.context.now().since(exchange.started_at));
        // The other host chooses the model.
        exchange.model = None;
        let parts = source.parts.clone();
        let stream = Self {
            intake: exchange.new_intake(),
            partial: MemoryShare::new(&exchange.context.memory, MemoryKind::Streams),
            source: Some(source),
            exchange,
        };
        let frames = stream::unfold(Some(stream), |stream| async move {
            let mut stream = stream?;
            match stream.next_events().await {
                Ok(Some(bytes)) => Some((Ok(Frame::data(bytes)), Some(stream))),
                Ok(None) => {
                    stream.log_relayed();
                    None
                }
                Err(error) => Some((Err(error), None)),
            }
        });
        let body = BodyExt::boxed_unsync(StreamBody::new(frames));
        Response::from_parts(parts, body)
    }

    /// Creates the rest of a stream that a server has begun, whose events are in `intake`.
    pub(crate) fn go_on(
        exchange: RequestExchange,
        source: RelayedResponse,
        mut intake: EventIntake,
    ) -> Self {
        intake.begin_response();
        Self {
            partial: MemoryShare::new(&exchange.context.memory, MemoryKind::Streams),
            exchange,
            source: Some(source),
            intake,
        }
    }

    /// Reads the stream into the queue to its end, as far as there is room, and waits until the caller has
    /// taken all of it.
    pub(crate) async fn read_into(mut self, queue: &EventQueue) -> Result<(), TruncatedResponse> {
        while let Some(events) = self.next_events().await? {
            queue.push(events);
            queue.wait_for_room().await;
        }
        queue.drained().await;
        self.log_relayed();
        Ok(())
    }

    /// Logs that the caller has the complete response.
    fn log_relayed(&self) {
        self.exchange
            .log_relay_end("relayed", self.intake.delivered());
    }

    /// Returns the next events for the caller; `None` after the last ones of a complete stream.
    async fn next_events(&mut self) -> Result<Option<bytes::Bytes>, TruncatedResponse> {
        loop {
            let events = self.intake.take_pending();
            self.partial.set(self.intake.partial_bytes());
            if !events.is_empty() {
                return Ok(Some(events));
            }
            let Some(source) = &mut self.source else {
                return Ok(None);
            };
            let remaining = remaining_time(&self.exchange.context, self.exchange.deadline);
            let timeout = remaining.max(MIN_FRAME_TIMEOUT);
            // The other host may be silent while it resumes the stream at another server; TCP keep-alive
            // shows whether it is there.
            let reading = async {
                self.partial.wait_for_room(0).await;
                source.body.data().await
            };
            let read = tokio::time::timeout(timeout, reading).await;
            let failure = match read {
                Ok(Some(Ok(bytes))) => self.intake.push(&bytes).fault.map(ResponseFault::outcome),
                Ok(None) if self.intake.finish() => {
                    let ended = self.source.take();
                    let pool = &self.exchange.context.pool;
                    ended
                        .into_iter()
                        .for_each(|ended| pool.keep(ended.connection, None));
                    None
                }
                Ok(None | Some(Err(BodyError::Broken))) => Some(AttemptOutcome::Broken),
                Ok(Some(Err(BodyError::NoData))) => Some(AttemptOutcome::Garbled),
                Err(_) => Some(AttemptOutcome::Silent),
            };
            if let Some(outcome) = failure {
                self.resume(outcome).await?;
            }
        }
    }

    /// Has another host continue the stream after the last event that was kept for the caller.
    async fn resume(&mut self, outcome: AttemptOutcome) -> Result<(), TruncatedResponse> {
        let exchange = &mut self.exchange;
        exchange.context.metrics.increment("relays_broken_total");
        if let Some(source) = self.source.take() {
            exchange.note_relay_end(outcome, source.runs);
            exchange.record_relay_broken(source.connection.address);
        }
        let order = self.intake.order();
        if exchange.route.resumable && order.is_position_known() {
            let relayed = exchange.relay(outcome, order.last_id()).await;
            if let Ok(RelayAnswer::Stream(source)) = relayed {
                self.intake.begin_response();
                self.source = Some(*source);
                return Ok(());
            }
        }
        exchange.log_relay_end("broke off", self.intake.delivered());
        Err(TruncatedResponse)
    }
}
