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
use crate::transport::answer_body::{AnswerBody, BrokenAnswer};
use crate::transport::attempt_runner::{OpenAnswer, time_until};
use crate::transport::request_exchange::RequestExchange;

/// Times the allowed pause between events after which a server is taken to be silent.
const STALL_RATIO: f64 = 2.0;
/// Shortest pause after which a server is taken to be silent.
const LEAST_STALL: Duration = Duration::from_millis(1_500);

/// What reading on brought.
enum RelayStep {
    /// Events arrived.
    Events,
    /// The answer is whole.
    Whole,
    /// The answer broke off.
    Ended(AttemptOutcome),
}

/// A streamed answer on its way to the caller.
pub(crate) struct StreamRelay {
    exchange: RequestExchange,
    answer: Option<OpenAnswer>,
    splitter: EventSplitter,
    last_id: Option<u64>,
    waiting: VecDeque<Bytes>,
    delivered: u64,
    heard_at: TimePoint,
}

impl StreamRelay {
    /// Creates the relay of an answer; `last_id` is the last event that the caller has.
    pub(crate) fn new(exchange: RequestExchange, answer: OpenAnswer, last_id: Option<u64>) -> Self {
        let heard_at = exchange.context.now();
        Self {
            heard_at,
            exchange,
            answer: Some(answer),
            splitter: EventSplitter::default(),
            last_id,
            waiting: VecDeque::new(),
            delivered: 0,
        }
    }

    /// Turns the relay into the body of the caller's answer.
    pub(crate) fn into_body(self) -> AnswerBody {
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
    async fn next_bytes(&mut self) -> Result<Option<Bytes>, BrokenAnswer> {
        loop {
            if let Some(bytes) = self.waiting.pop_front() {
                return Ok(Some(bytes));
            }
            match self.read_on().await {
                RelayStep::Events => {}
                RelayStep::Whole => {
                    self.finish();
                    return Ok(None);
                }
                RelayStep::Ended(outcome) => self.resume(outcome).await?,
            }
        }
    }

    /// Reads on until events are whole or the answer ends.
    async fn read_on(&mut self) -> RelayStep {
        let left = time_until(&self.exchange.context, self.exchange.deadline);
        let stall = self.stall().min(left);
        let Some(answer) = &mut self.answer else {
            return RelayStep::Ended(AttemptOutcome::Broken);
        };
        match tokio::time::timeout(stall, answer.body.frame()).await {
            Err(_) => RelayStep::Ended(AttemptOutcome::Silent),
            Ok(Some(Err(_))) => RelayStep::Ended(AttemptOutcome::Broken),
            Ok(None) if self.splitter.has_partial() => RelayStep::Ended(AttemptOutcome::Broken),
            Ok(None) => RelayStep::Whole,
            Ok(Some(Ok(frame))) => match frame.into_data() {
                Ok(bytes) => self.take_bytes(&bytes),
                Err(_) => RelayStep::Events,
            },
        }
    }

    /// Takes in bytes of the answer.
    fn take_bytes(&mut self, bytes: &[u8]) -> RelayStep {
        let now = self.exchange.context.now();
        let pause = now.since(self.heard_at);
        self.heard_at = now;
        self.exchange.longest_pause = self.exchange.longest_pause.max(pause);
        let Ok(events) = self.splitter.push(bytes) else {
            return RelayStep::Ended(AttemptOutcome::Garbled);
        };
        for event in events {
            if !self.take_event(event) {
                return RelayStep::Ended(AttemptOutcome::Garbled);
            }
        }
        RelayStep::Events
    }

    /// Takes in an event; returns false if one before it is missing.
    fn take_event(&mut self, event: StreamEvent) -> bool {
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
        self.waiting.push_back(event.bytes);
        true
    }

    /// Returns the pause after which the server is taken to be silent.
    fn stall(&self) -> Duration {
        let pause = self.exchange.route.gap_goal.unwrap_or(LEAST_STALL);
        pause.mul_f64(STALL_RATIO).max(LEAST_STALL)
    }

    /// Goes on at another server after the last event that was passed on.
    async fn resume(&mut self, outcome: AttemptOutcome) -> Result<(), BrokenAnswer> {
        let Some(answer) = self.answer.take() else {
            return Err(BrokenAnswer);
        };
        let server = answer.server.clone();
        let took = self.exchange.context.now().since(self.exchange.started_at);
        drop(answer);
        let may_go_on = self.exchange.route.resumable;
        let again = self.exchange.after_attempt(&server, outcome, took).await;
        if !may_go_on || again.is_err() {
            return Err(self.broken("broke off"));
        }
        match self.exchange.open_stream(self.last_id).await {
            Ok(answer) => {
                self.splitter = EventSplitter::default();
                self.answer = Some(answer);
                Ok(())
            }
            Err(_) => Err(self.broken("broke off and was not resumed")),
        }
    }

    /// Logs that the answer broke off.
    fn broken(&self, outcome: &'static str) -> BrokenAnswer {
        let attempts = self.exchange.tally.tries;
        self.exchange
            .log_end(200, outcome, attempts, self.delivered);
        BrokenAnswer
    }

    /// Takes in that the answer is whole.
    fn finish(&mut self) {
        let attempts = self.exchange.tally.tries + 1;
        self.exchange
            .log_end(200, "answered", attempts, self.delivered);
        if let Some(answer) = self.answer.take() {
            answer.keep_connection(&self.exchange.context);
        }
    }
}
