//! Runs one attempt on a backend server and reports its progress.

use std::time::Duration;

use tokio::sync::mpsc;

use crate::coordination::{AttemptFailure, AttemptNumber};
use crate::transport::backend_client::{BackendCall, BackendClient, BackendReply};
use crate::transport::backend_stream::BackendStream;

/// Progress or result of an attempt.
#[derive(Debug)]
pub enum AttemptSignal {
    /// Events of a streamed answer arrived.
    Events {
        /// Number of the attempt.
        attempt: AttemptNumber,
        /// Data of the events, in order.
        events: Vec<String>,
    },
    /// The complete answer arrived.
    Finished {
        /// Number of the attempt.
        attempt: AttemptNumber,
        /// The answer; its body is empty if it was streamed.
        reply: BackendReply,
    },
    /// The attempt failed.
    Failed {
        /// Number of the attempt.
        attempt: AttemptNumber,
        /// How it failed.
        failure: AttemptFailure,
        /// Whether the server accepted no new connection after the failure.
        server_dead: bool,
    },
}

/// Kind of an attempt, which decides how its answer is read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptKind {
    /// A chat completion with a single answer.
    Chat,
    /// A chat completion with a streamed answer.
    ChatStream,
    /// A call to a plain service.
    Service,
}

/// One attempt of a request, ready to be sent.
#[derive(Debug)]
pub struct AttemptTask {
    /// Number of the attempt.
    pub number: AttemptNumber,
    /// Kind of the attempt.
    pub kind: AttemptKind,
    /// Call to send.
    pub call: BackendCall,
    /// Longest wait for the answer, or for the next part of a streamed one.
    pub timeout: Duration,
}

impl AttemptTask {
    /// Runs the attempt and reports its result.
    pub async fn run(self, client: BackendClient, signals: mpsc::Sender<AttemptSignal>) {
        let attempt = self.number;
        let result = match self.kind {
            AttemptKind::Chat => self.with_timeout(client.run_chat(&self.call)).await,
            AttemptKind::Service => self.with_timeout(client.run_service(&self.call)).await,
            AttemptKind::ChatStream => self.stream_answer(&client, &signals).await,
        };
        let signal = match result {
            Ok(reply) => AttemptSignal::Finished { attempt, reply },
            Err(failure) => {
                let server_dead =
                    failure.suggests_crash() && client.is_dead(&self.call.address).await;
                AttemptSignal::Failed {
                    attempt,
                    failure,
                    server_dead,
                }
            }
        };
        // A closed channel means that the request has ended.
        let _ = signals.send(signal).await;
    }

    /// Reads a streamed answer and reports its events as they arrive.
    async fn stream_answer(
        &self,
        client: &BackendClient,
        signals: &mpsc::Sender<AttemptSignal>,
    ) -> Result<BackendReply, AttemptFailure> {
        let attempt = self.number;
        let mut stream = self
            .with_timeout(BackendStream::open(client, &self.call))
            .await?;
        loop {
            let part = self.with_timeout(stream.next_part()).await?;
            if !part.events.is_empty() {
                let events = part.events;
                let signal = AttemptSignal::Events { attempt, events };
                if signals.send(signal).await.is_err() {
                    return Err(AttemptFailure::Cancelled);
                }
            }
            if part.ended {
                return Ok(BackendReply {
                    status: http::StatusCode::OK,
                    content_type: None,
                    body: bytes::Bytes::new(),
                    usage: stream.usage(),
                });
            }
        }
    }

    /// Fails a step of the attempt with `TimedOut` if it exceeds the timeout.
    async fn with_timeout<T>(
        &self,
        step: impl Future<Output = Result<T, AttemptFailure>>,
    ) -> Result<T, AttemptFailure> {
        match tokio::time::timeout(self.timeout, step).await {
            Ok(result) => result,
            Err(_) => Err(AttemptFailure::TimedOut),
        }
    }
}
