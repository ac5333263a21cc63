//! Reads and checks the streamed answer of a model engine.

use http::{Response, StatusCode};

use crate::coordination::{AttemptFailure, StreamChecker, StreamVerdict};
use crate::protocol::{ChatEvent, ChatUsage, END_MARKER, SseReader, headers};
use crate::transport::backend_client::{BackendCall, BackendClient};
use crate::transport::bounded_body::BoundedBody;

/// Greatest number of bytes from one event to the end of the next, which may be one of the greatest size.
const MAX_FILLER_BYTES: usize = 2 * 1_024 * 1_024;

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
    response: Response<BoundedBody>,
    reader: SseReader,
    checker: StreamChecker,
    usage: Option<ChatUsage>,
    // Bytes read since the last event.
    filler_bytes: usize,
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
            filler_bytes: 0,
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
            let data = self.response.body_mut().data().await;
            let Some(Ok(bytes)) = data else {
                return Err(AttemptFailure::Truncated);
            };
            let part = self.read_events(&bytes)?;
            if part.ended || !part.events.is_empty() {
                self.filler_bytes = 0;
                return Ok(part);
            }
            // Without any event these are an incomplete one, which the reader bounds, or filler.
            self.filler_bytes += bytes.len();
            if self.filler_bytes > MAX_FILLER_BYTES {
                return Err(AttemptFailure::Malformed);
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
fn resumed_at(response: &Response<BoundedBody>) -> Option<u64> {
    let value = response.headers().get(headers::RESUME_FROM)?;
    value.to_str().ok()?.parse().ok()
}
