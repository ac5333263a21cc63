//! Runs one attempt on a backend server and reports what happens to it.

use std::time::Duration;

use tokio::sync::mpsc;

use crate::coordination::{AttemptFailure, AttemptNumber};
use crate::transport::backend_client::{BackendCall, BackendClient, BackendReply};
use crate::transport::backend_stream::BackendStream;

/// What happened to an attempt.
#[derive(Debug)]
pub enum AttemptSignal {
    /// Events of a streamed answer arrived.
    Events {
        /// Attempt that is answered.
        attempt: AttemptNumber,
        /// Data of the events.
        events: Vec<String>,
    },
    /// The whole answer arrived.
    Finished {
        /// Attempt that is answered.
        attempt: AttemptNumber,
        /// The answer.
        reply: BackendReply,
    },
    /// The attempt failed.
    Failed {
        /// Attempt that failed.
        attempt: AttemptNumber,
        /// How it failed.
        failure: AttemptFailure,
        /// Whether the server was found dead.
        server_dead: bool,
    },
}

/// How the answer of an attempt is read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptKind {
    /// A chat completion that is answered whole.
    Chat,
    /// A chat completion that is streamed.
    ChatStream,
    /// A call of a plain service.
    Service,
}

/// One attempt.
#[derive(Debug)]
pub struct AttemptTask {
    /// Number of the attempt.
    pub number: AttemptNumber,
    /// How its answer is read.
    pub kind: AttemptKind,
    /// What is sent.
    pub call: BackendCall,
    /// Longest time without any part of the answer.
    pub timeout: Duration,
}

impl AttemptTask {
    /// Runs the attempt to its end and reports it.
    pub async fn run(self, client: BackendClient, signals: mpsc::Sender<AttemptSignal>) {
        let attempt = self.number;
        let result = match self.kind {
            AttemptKind::Chat => self.bounded(client.run_chat(&self.call)).await,
            AttemptKind::Service => self.bounded(client.run_service(&self.call)).await,
            AttemptKind::ChatStream => self.stream(&client, &signals).await,
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

    /// Streams the answer.
    async fn stream(
        &self,
        client: &BackendClient,
        signals: &mpsc::Sender<AttemptSignal>,
    ) -> Result<BackendReply, AttemptFailure> {
        let attempt = self.number;
        let mut stream = self
            .bounded(BackendStream::open(client, &self.call))
            .await?;
        loop {
            let part = self.bounded(stream.next_part()).await?;
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

    /// Bounds the time of one step of the attempt.
    async fn bounded<T>(
        &self,
        step: impl Future<Output = Result<T, AttemptFailure>>,
    ) -> Result<T, AttemptFailure> {
        match tokio::time::timeout(self.timeout, step).await {
            Ok(result) => result,
            Err(_) => Err(AttemptFailure::TimedOut),
        }
    }
}
