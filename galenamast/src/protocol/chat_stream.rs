//! Events of a streamed chat completion.

use serde::{Deserialize, Serialize};

use crate::protocol::chat_messages::ChatUsage;
use crate::protocol::protocol_error::ProtocolError;

/// Data of the event that ends a whole stream.
pub const END_MARKER: &str = "[DONE]";

/// An event of a model engine, as far as an entry host reads it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChatEvent {
    /// Identifier of the request that the event belongs to.
    pub id: String,
    /// Position of the event in the stream, from zero.
    pub index: u64,
    /// Length of prompt and answer, in the last event.
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

/// Writes the data of an event as it goes to a caller.
///
/// ```
/// use galenamast::protocol::encode_event;
///
/// assert_eq!(encode_event("[DONE]"), "data: [DONE]\n\n");
/// ```
pub fn encode_event(data: &str) -> String {
    format!("data: {data}\n\n")
}
