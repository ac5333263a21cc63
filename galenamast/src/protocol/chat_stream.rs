//! Events of a streamed chat completion.

use serde::{Deserialize, Serialize};

use crate::protocol::chat_messages::ChatUsage;
use crate::protocol::protocol_error::ProtocolError;

/// Data of the event that ends a complete stream.
pub const END_MARKER: &str = "[DONE]";

/// The fields of a model engine's event that an entry host reads.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChatEvent {
    /// Identifier of the request that the event belongs to.
    pub id: String,
    /// Position of the event in the stream, from zero.
    pub index: u64,
    /// Lengths of prompt and answer; only the last event has them.
    #[serde(default)]
    pub usage: Option<ChatUsage>,
}

impl ChatEvent {
    /// Decodes the data of an event.
    ///
    /// # Errors
    ///
    /// Returns an error if the data is not JSON of the expected shape.
    ///
    /// ```
    /// use galenamast::protocol::ChatEvent;
    ///
    /// assert_eq!(ChatEvent::decode(r#"{"id":"r","index":3}"#).unwrap().index, 3);
    /// ```
    pub fn decode(data: &str) -> Result<Self, ProtocolError> {
        serde_json::from_str(data).map_err(|source| ProtocolError::Json {
            what: "chat event",
            source,
        })
    }
}

/// Formats event data as a server-sent event for a caller.
///
/// ```
/// use galenamast::protocol::encode_event;
///
/// assert_eq!(encode_event("[DONE]"), "data: [DONE]\n\n");
/// ```
pub fn encode_event(data: &str) -> String {
    format!("data: {data}\n\n")
}
