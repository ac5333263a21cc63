//! Passes the events of a streamed answer on, and goes on at another server if it breaks.

use std::collections::VecDeque;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use galenamast::state::TimePoint;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;

use crate::coordination::requests::AttemptOutcome;
use crate::protocol::{EventSplitter, StreamEvent};
use crate::transport::attempt_runner::{OpenResponse, remaining_time};
use crate::transport::request_exchange::RequestExchange;
use crate::transport::response_body::{ResponseBody, TruncatedResponse};

/// Times the allowed pause between events after which a server is taken to be silent.
const STALL_GAP_FACTOR: f64 = 2.0;
/// Shortest pause after which a server is taken to be silent.
const MIN_STALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// What reading on brought.
enum RelayProgress {
    /// Events arrived.
    Continue,
    /// The answer is whole.
    Complete,
    /// The answer broke off.
    Failed(AttemptOutcome),
}

/// A streamed answer on its way to the caller.
pub(crate) struct StreamRelay {
    exchange: RequestExchange,
    answer: Option<OpenResponse>,
    splitter: EventSplitter,
    last_id: Option<u64>,
    pending: VecDeque<Bytes>,
    delivered: u64,
    last_received_at: TimePoint,
}

impl StreamRelay {
    /// Creates the relay of an answer; `last_id` is the last event that the caller has.
    pub(crate) fn new(
        exchange: RequestExchange,
        answer: OpenResponse,
        last_id: Option<u64>,
    ) -> Self {
        let last_received_at = exchange.context.now();
        Self {
            last_received_at,
            exchange,
            answer: Some(answer),
            splitter: EventSplitter::default(),
            last_id,
            pending: VecDeque::new(),
            delivered: 0,
        }
    }

    /// Turns the relay into the body of the caller's answer.
    pub(crate) fn into_body(self) -> ResponseBody {
        let events = stream::unfold(Some(self), |relay| async move {
            let mut relay = relay?;
            match relay.next_bytes().await {
                Ok(Some(bytes)) => Some((Ok(Frame::data(bytes)), Some(relay))),
                Ok(None) => None,
                Err(error) => Some((Err(error), None)),
            }
        });
        BodyExt::boxed_unsync(StreamBody::new(events))
    }

    /// Returns the next bytes for the caller; `None` after the last ones.
    async fn next_bytes(&mut self) -> Result<Option<Bytes>, TruncatedResponse> {
        loop {
            if let Some(bytes) = self.pending.pop_front() {
                return Ok(Some(bytes));
            }
            match self.read_next().await {
                RelayProgress::Continue => {}
                RelayProgress::Complete => {
                    self.finish();
                    return Ok(None);
                }
                RelayProgress::Failed(outcome) => self.resume(outcome).await?,
            }
        }
    }

    /// Reads on until events are whole or the answer ends.
    async fn read_next(&mut self) -> RelayProgress {
        let left = remaining_time(&self.exchange.context, self.exchange.deadline);
        let stall = self.stall_timeout().min(left);
        let Some(answer) = &mut self.answer else {
            return RelayProgress::Failed(AttemptOutcome::Broken);
        };
        match tokio::time::timeout(stall, answer.body.frame()).await {
            Err(_) => RelayProgress::Failed(AttemptOutcome::Silent),
            Ok(Some(Err(_))) => RelayProgress::Failed(AttemptOutcome::Broken),
            Ok(None) if self.splitter.has_partial() => {
                RelayProgress::Failed(AttemptOutcome::Broken)
            }
            Ok(None) => RelayProgress::Complete,
            Ok(Some(Ok(frame))) => match frame.into_data() {
                Ok(bytes) => self.accept_bytes(&bytes),
                Err(_) => RelayProgress::Continue,
            },
        }
    }

    /// Takes in bytes of the answer.
    fn accept_bytes(&mut self, bytes: &[u8]) -> RelayProgress {
        let now = self.exchange.context.now();
        let pause = now.since(self.last_received_at);
        self.last_received_at = now;
        self.exchange.longest_pause = self.exchange.longest_pause.max(pause);
        let Ok(events) = self.splitter.push(bytes) else {
            return RelayProgress::Failed(AttemptOutcome::Garbled);
        };
        for event in events {
            if !self.accept_event(event) {
                return RelayProgress::Failed(AttemptOutcome::Garbled);
            }
        }
        RelayProgress::Continue
    }

    /// Takes in an event; returns false if one before it is missing.
    fn accept_event(&mut self, event: StreamEvent) -> bool {
        if let (Some(id), Some(last)) = (event.id, self.last_id) {
            if id <= last {
                return true;
            }
            if id != last + 1 {
                return false;
            }
        }
        self.last_id = event.id.or(self.last_id);
        self.delivered += 1;
        self.pending.push_back(event.bytes);
        true
    }

    /// Returns the pause after which the server is taken to be silent.
    fn stall_timeout(&self) -> Duration {
        let pause = self.exchange.route.gap_goal.unwrap_or(MIN_STALL_TIMEOUT);
        pause.mul_f64(STALL_GAP_FACTOR).max(MIN_STALL_TIMEOUT)
    }

    /// Goes on at another server after the last event that was passed on.
    async fn resume(&mut self, outcome: AttemptOutcome) -> Result<(), TruncatedResponse> {
        let Some(answer) = self.answer.take() else {
            return Err(TruncatedResponse);
        };
        let server = answer.server.clone();
        let latency = self.exchange.context.now().since(self.exchange.started_at);
        drop(answer);
        let is_resumable = self.exchange.route.resumable;
        let again = self
            .exchange
            .finish_attempt(&server, outcome, latency)
            .await;
        if !is_resumable || again.is_err() {
            return Err(self.log_truncated("broke off"));
        }
        match self.exchange.open_stream(self.last_id).await {
            Ok(answer) => {
                self.splitter = EventSplitter::default();
                self.answer = Some(answer);
                Ok(())
            }
            Err(_) => Err(self.log_truncated("broke off and was not resumed")),
        }
    }

    /// Logs that the answer broke off.
    fn log_truncated(&self, outcome: &'static str) -> TruncatedResponse {
        let attempts = self.exchange.tally.tries;
        self.exchange
            .log_end(200, outcome, attempts, self.delivered);
        TruncatedResponse
    }

    /// Takes in that the answer is whole.
    fn finish(&mut self) {
        let attempts = self.exchange.tally.tries + 1;
        self.exchange
            .log_end(200, "answered", attempts, self.delivered);
        if let Some(answer) = self.answer.take() {
            answer.release_connection(&self.exchange.context);
        }
    }
}
