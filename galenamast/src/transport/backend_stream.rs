//! Reads and checks the streamed answer of a model engine.

use http::{Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::coordination::{AttemptFailure, StreamChecker, StreamVerdict};
use crate::protocol::{ChatEvent, ChatUsage, END_MARKER, SseReader, headers};
use crate::transport::backend_client::{BackendCall, BackendClient};

/// New events from one read of a stream.
#[derive(Debug, Default)]
pub struct StreamPart {
    /// Data of the events in order, without repeated ones.
    pub events: Vec<String>,
    /// Whether the end marker was read.
    pub ended: bool,
}

/// A streamed answer after its head was received.
#[derive(Debug)]
pub struct BackendStream {
    response: Response<Incoming>,
    reader: SseReader,
    checker: StreamChecker,
    usage: Option<ChatUsage>,
}

impl BackendStream {
    /// Sends a call and waits for the head of its streamed answer.
    ///
    /// # Errors
    ///
    /// Returns how the attempt failed; `Malformed` if the server does not resume at the requested
    /// event.
    pub async fn open(client: &BackendClient, call: &BackendCall) -> Result<Self, AttemptFailure> {
        let response = client.open(call).await?;
        let status = response.status();
        if status != StatusCode::OK {
            return Err(AttemptFailure::Refused {
                status: status.as_u16(),
                not_started: false,
            });
        }
        if call.resume_from > 0 && resumed_at(&response) != Some(call.resume_from) {
            return Err(AttemptFailure::Malformed);
        }
        Ok(Self {
            response,
            reader: SseReader::default(),
            checker: StreamChecker::new(&call.request.to_string(), call.resume_from),
            usage: None,
        })
    }

    /// Reads until new events or the end marker arrive.
    ///
    /// # Errors
    ///
    /// Returns `Truncated` if the stream ends without its end marker, `Crossed` if an event belongs
    /// to another request, and `Malformed` if it breaks the protocol.
    pub async fn next_part(&mut self) -> Result<StreamPart, AttemptFailure> {
        loop {
            let frame = self.response.body_mut().frame().await;
            let Some(Ok(frame)) = frame else {
                return Err(AttemptFailure::Truncated);
            };
            let Ok(bytes) = frame.into_data() else {
                continue;
            };
            let part = self.read_events(&bytes)?;
            if part.ended || !part.events.is_empty() {
                return Ok(part);
            }
        }
    }

    /// Returns the tokens of prompt and answer as last stated by the server; zero before that.
    pub fn usage(&self) -> ChatUsage {
        self.usage.unwrap_or_default()
    }

    /// Parses the events that are completed by these bytes and checks their order and identifier.
    fn read_events(&mut self, bytes: &[u8]) -> Result<StreamPart, AttemptFailure> {
        let mut part = StreamPart::default();
        let events = self.reader.push(bytes);
        for data in events.map_err(|_| AttemptFailure::Malformed)? {
            if data == END_MARKER {
                // An answer without usage cannot be billed.
                if self.usage.is_none() {
                    return Err(AttemptFailure::Malformed);
                }
                part.ended = true;
                return Ok(part);
            }
            let event = ChatEvent::decode(&data).map_err(|_| AttemptFailure::Malformed)?;
            match self.checker.check(&event.id, event.index) {
                StreamVerdict::Deliver => part.events.push(data),
                StreamVerdict::Repeated => {}
                StreamVerdict::Gap => return Err(AttemptFailure::Malformed),
                StreamVerdict::Crossed => return Err(AttemptFailure::Crossed),
            }
            self.usage = event.usage.or(self.usage);
        }
        Ok(part)
    }
}

/// Returns the event index at which the server states that it resumed.
fn resumed_at(response: &Response<Incoming>) -> Option<u64> {
    let value = response.headers().get(headers::RESUME_FROM)?;
    value.to_str().ok()?.parse().ok()
}
