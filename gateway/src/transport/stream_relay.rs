//! Relays the events of a streamed response, and resumes at another server if the stream fails.

use std::panic::AssertUnwindSafe;
use std::sync::Arc;
use std::time::Duration;

use futures_util::{FutureExt, stream};
use galenamast::state::TimePoint;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use tokio_util::task::AbortOnDropHandle;

use crate::coordination::requests::AttemptOutcome;
use crate::coordination::rollouts::StreamPace;
use crate::state::ServiceRoute;
use crate::transport::attempt_runner::{OpenResponse, remaining_time};
use crate::transport::event_intake::EventIntake;
use crate::transport::host_memory::{MemoryKind, MemoryShare};
use crate::transport::reach_probe::check_server_path;
use crate::transport::request_exchange::{
    HANDOVER_TIME, RelayedResponse, RelayedStream, RequestExchange, StreamSource, hand_over,
};
use crate::transport::response_body::{ResponseBody, TruncatedResponse};
use crate::transport::response_fault::ResponseFault;
use crate::transport::server_watch::record_byte;
use crate::transport::stream_ahead::EventQueue;

/// Multiple of the route's goal for the gap between events after which a server counts as stalled.
const STALL_GAP_FACTOR: f64 = 2.0;
/// Shortest gap after which a server counts as stalled.
const MIN_STALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Fraction of that gap after which the path to a silent server is checked.
const QUIET_FRACTION: f64 = 0.5;

/// Returns the time without a complete event after which the server of a route's stream counts as
/// stalled.
pub(crate) fn stall_timeout(route: &ServiceRoute) -> Duration {
    let gap = route.gap_goal.unwrap_or(MIN_STALL_TIMEOUT);
    gap.mul_f64(STALL_GAP_FACTOR).max(MIN_STALL_TIMEOUT)
}

/// Why a server is silent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SilenceCause {
    /// It may be slow, or gone.
    Unknown,
    /// The host reaches no server of the service.
    NoPath,
}

/// The outcome of reading from the server once.
enum RelayProgress {
    /// Data was read, possibly without completing an event.
    Continue,
    /// The response is complete.
    Complete,
    /// The response failed before it was complete.
    Failed(AttemptOutcome),
}

/// A streamed response that is being relayed to the caller.
pub(crate) struct StreamRelay {
    exchange: RequestExchange,
    response: Option<Box<OpenResponse>>,
    intake: EventIntake,
    last_received_at: TimePoint,
    pace: StreamPace,
    // Time spent waiting for the server since its last complete event. Time during which the caller
    // reads nothing does not count, since the server may have sent events meanwhile.
    event_wait: Duration,
    // Memory for an event that is not complete yet.
    partial: MemoryShare,
}

impl StreamRelay {
    /// Creates the relay of a response.
    pub(crate) fn new(exchange: RequestExchange, response: Box<OpenResponse>) -> Self {
        let last_received_at = exchange.context.now();
        let intake = exchange.new_intake();
        let partial = MemoryShare::new(&exchange.context.memory, MemoryKind::Streams);
        Self {
            last_received_at,
            exchange,
            response: Some(response),
            intake,
            pace: StreamPace::default(),
            event_wait: Duration::ZERO,
            partial,
        }
    }

    /// Turns the relay into the body of the caller's response. The server's response is read ahead of
    /// the caller, until the body is dropped.
    pub(crate) fn into_body(self) -> ResponseBody {
        let queue = Arc::new(EventQueue::new(&self.exchange.context));
        let reading = AbortOnDropHandle::new(tokio::spawn(self.read_ahead(queue.clone())));
        let events = stream::unfold(Some((queue, reading)), |state| async move {
            let (queue, reading) = state?;
            match queue.next().await? {
                Ok(bytes) => Some((Ok(Frame::data(bytes)), Some((queue, reading)))),
                Err(error) => Some((Err(error), None)),
            }
        });
        BodyExt::boxed_unsync(StreamBody::new(events))
    }

    /// Reads the response into the queue, and logs its end once the caller has taken all of it.
    async fn read_ahead(self, queue: Arc<EventQueue>) {
        // A panic would leave the caller waiting for the next event.
        let delivering = AssertUnwindSafe(self.deliver(&queue)).catch_unwind();
        let end = delivering.await.unwrap_or(Err(TruncatedResponse));
        queue.close(end);
    }

    /// Reads the response into the queue, from other hosts once this one has no path to the servers.
    async fn deliver(mut self, queue: &EventQueue) -> Result<(), TruncatedResponse> {
        if let Some(source) = self.read_into(queue).await? {
            let relayed = RelayedStream::go_on(self.exchange, *source, self.intake);
            return relayed.read_into(queue).await;
        }
        self.release();
        queue.drained().await;
        self.log_answered();
        Ok(())
    }

    /// Reads the response into the queue to its end, as far as there is room. Returns the response of
    /// another host that goes on with it, if one does.
    async fn read_into(
        &mut self,
        queue: &EventQueue,
    ) -> Result<Option<Box<RelayedResponse>>, TruncatedResponse> {
        loop {
            let progress = self.read_next().await;
            queue.push(self.intake.take_pending());
            self.partial.set(self.intake.partial_bytes());
            match progress {
                RelayProgress::Continue => {}
                RelayProgress::Complete => return Ok(None),
                RelayProgress::Failed(outcome) => {
                    if let Some(source) = self.resume(outcome).await? {
                        return Ok(Some(source));
                    }
                }
            }
            if queue.wait_for_room().await || self.wait_for_memory().await {
                // The caller or the host caused this pause, not the server.
                self.last_received_at = self.exchange.context.now();
                self.pace = StreamPace::default();
            }
        }
    }

    /// Waits until the memory has room for more of a large event that is not complete, or until the
    /// deadline; returns whether it had to wait.
    async fn wait_for_memory(&mut self) -> bool {
        let remaining = remaining_time(&self.exchange.context, self.exchange.deadline);
        let waiting = self.partial.wait_for_room(0);
        let Some(()) = waiting.now_or_never() else {
            let waiting = self.partial.wait_for_room(0);
            let _ = tokio::time::timeout(remaining, waiting).await;
            return true;
        };
        false
    }

    /// Reads the next frame from the server and queues the events that it completes.
    async fn read_next(&mut self) -> RelayProgress {
        let remaining = remaining_time(&self.exchange.context, self.exchange.deadline);
        let time_to_event = stall_timeout(&self.exchange.route).saturating_sub(self.event_wait);
        let timeout = time_to_event.min(remaining);
        let is_resumable = self.is_resumable();
        let Some(response) = &mut self.response else {
            return RelayProgress::Failed(AttemptOutcome::Broken);
        };
        let first = response.take_first();
        if !first.is_empty() {
            return self.accept_bytes(&first);
        }
        let asked_at = self.exchange.context.now();
        let quiet_time = stall_timeout(&self.exchange.route).mul_f64(QUIET_FRACTION);
        let (exchange, server) = (&self.exchange, &response.server);
        let cut_off = async {
            tokio::time::sleep(quiet_time).await;
            exchange.wait_until_cut_off(server).await;
        };
        let read = tokio::select! {
            biased;
            data = response.body.data() => Ok(data),
            () = tokio::time::sleep(timeout) => Err(SilenceCause::Unknown),
            () = cut_off, if is_resumable => Err(SilenceCause::NoPath),
        };
        self.event_wait += self.exchange.context.now().since(asked_at);
        match read {
            Err(SilenceCause::Unknown) => self.handle_silence(),
            Err(SilenceCause::NoPath) if self.exchange.take_relay() => {
                RelayProgress::Failed(AttemptOutcome::Lost)
            }
            Err(SilenceCause::NoPath) => RelayProgress::Continue,
            Ok(Some(Err(error))) => RelayProgress::Failed(self.report(error.into())),
            Ok(None) if self.intake.finish() => RelayProgress::Complete,
            Ok(None) => RelayProgress::Failed(AttemptOutcome::Broken),
            Ok(Some(Ok(bytes))) => self.accept_bytes(&bytes),
        }
    }

    /// Reports what is wrong with the response; returns the outcome of its attempt.
    fn report(&self, fault: ResponseFault) -> AttemptOutcome {
        let exchange = &self.exchange;
        match &self.response {
            Some(response) => fault.report(&exchange.context, &response.server, &exchange.request),
            None => fault.outcome(),
        }
    }

    /// Decides what follows when the server has sent no event for too long. An answer that may still come
    /// is not given up before another attempt is granted.
    fn handle_silence(&mut self) -> RelayProgress {
        if remaining_time(&self.exchange.context, self.exchange.deadline).is_zero() {
            return RelayProgress::Failed(AttemptOutcome::Silent);
        }
        let is_resumable = self.is_resumable();
        let is_replaced = self.response.as_ref().is_some_and(|response| {
            let server = &response.server.id;
            is_resumable && self.exchange.take_replacement(server)
        });
        if is_replaced {
            return RelayProgress::Failed(AttemptOutcome::Overdue);
        }
        self.event_wait = Duration::ZERO;
        self.exchange
            .context
            .metrics
            .increment("silent_streams_kept_total");
        RelayProgress::Continue
    }

    /// Splits bytes of the response into events and queues them.
    fn accept_bytes(&mut self, bytes: &[u8]) -> RelayProgress {
        let now = self.exchange.context.now();
        let gap = now.since(self.last_received_at);
        self.last_received_at = now;
        if let Some(response) = &self.response {
            record_byte(&self.exchange.context, &response.server);
        }
        self.exchange.longest_gap = self.exchange.longest_gap.max(gap);
        let taken = self.intake.push(bytes);
        if taken.events > 0 {
            self.event_wait = Duration::ZERO;
        }
        for _ in 0..taken.events {
            self.exchange.record_event();
            self.record_pace(false);
        }
        match taken.fault {
            Some(fault) => RelayProgress::Failed(self.report(fault)),
            None => RelayProgress::Continue,
        }
    }

    /// Records the pace of the response once enough events came, or at its end.
    fn record_pace(&mut self, is_end: bool) {
        let now = self.exchange.context.now();
        let pace = self.pace.record(self.exchange.attempt_events, is_end, now);
        if let (Some(pace), Some(response)) = (pace, &self.response) {
            self.exchange.record_pace(&response.server, pace);
        }
    }

    /// Resumes at another server after the last event that was queued for the caller, or returns the
    /// response of another host that goes on there.
    async fn resume(
        &mut self,
        outcome: AttemptOutcome,
    ) -> Result<Option<Box<RelayedResponse>>, TruncatedResponse> {
        let Some(response) = self.response.take() else {
            return Err(TruncatedResponse);
        };
        let (server, number) = (response.server.clone(), response.number);
        let latency = self.exchange.context.now().since(response.sent_at);
        let is_path_doubted = outcome == AttemptOutcome::Broken
            && self.is_resumable()
            && self.exchange.may_pass_on(1);
        let context = self.exchange.context.clone();
        let checking = async {
            if is_path_doubted {
                check_server_path(&context, &server).await;
            }
        };
        let ending = self
            .exchange
            .end_response(&server, number, outcome, latency);
        tokio::join!(ending, checking);
        if !self.is_resumable() {
            self.exchange.log_ended("answer", Some("repeat"));
            return Err(self.log_truncated("broke off"));
        }
        // A server that is only silent may go on, should no other one take the stream.
        let is_silent = matches!(outcome, AttemptOutcome::Overdue | AttemptOutcome::Lost);
        let held = Some(response).filter(|_| is_silent);
        if held.is_some() {
            self.exchange.note_left(&server, HANDOVER_TIME);
        }
        let opening = self.exchange.go_on(&self.intake);
        let (opened, held) = hand_over(opening, held, HANDOVER_TIME).await;
        self.event_wait = Duration::ZERO;
        match (opened, held) {
            (Ok(StreamSource::Server(response)), _) => {
                self.intake.begin_response();
                self.pace = StreamPace::default();
                self.response = Some(response);
                Ok(None)
            }
            (Ok(StreamSource::Host(source)), _) => Ok(Some(source)),
            (_, Some(held)) => {
                self.exchange.keep_left(&server);
                self.response = Some(held);
                Ok(None)
            }
            _ => Err(self.log_truncated("broke off and was not resumed")),
        }
    }

    /// Returns whether another server may continue the stream.
    fn is_resumable(&self) -> bool {
        self.exchange.route.resumable && self.intake.order().is_position_known()
    }

    /// Logs that the response ended early, and returns the error for its body.
    fn log_truncated(&self, outcome: &'static str) -> TruncatedResponse {
        let attempts = self.exchange.tally.tries;
        self.exchange
            .log_end(200, outcome, attempts, self.intake.delivered());
        TruncatedResponse
    }

    /// Logs that the caller has the complete response.
    fn log_answered(&self) {
        let attempts = self.exchange.tally.tries + 1;
        self.exchange
            .log_end(200, "answered", attempts, self.intake.delivered());
    }

    /// Records that the response was read to its end, and returns its connection to the pool.
    fn release(&mut self) {
        self.exchange.record_begun();
        self.record_pace(true);
        if let Some(response) = self.response.take() {
            response.release_connection(&self.exchange.context);
        }
    }
}
