//! Chat completion requests and answers, with the fields that an entry host reads.

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

use crate::protocol::protocol_error::ProtocolError;

/// A chat completion request; fields that the entry host does not read are passed on unchanged.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ChatRequest {
    /// Model that the caller asks for; `auto` leaves the choice to the router.
    #[serde(default)]
    pub model: String,
    /// Messages of the conversation.
    pub messages: Vec<ChatMessage>,
    /// Whether the answer is streamed.
    #[serde(default)]
    pub stream: bool,
    /// Maximum length of the answer, in tokens; `None` if the caller sets no limit.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<u32>,
    /// All other fields of the request.
    #[serde(flatten)]
    pub rest: Map<String, Value>,
}

/// A chat completion request as it is sent to a model engine.
#[derive(Debug, Serialize)]
struct EngineRequest<'a> {
    model: &'a str,
    messages: &'a [ChatMessage],
    stream: bool,
    #[serde(skip_serializing_if = "Option::is_none")]
    max_tokens: Option<u32>,
    #[serde(flatten)]
    rest: &'a Map<String, Value>,
}

/// A message of a conversation.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ChatMessage {
    /// Author of the message.
    pub role: String,
    /// Content of the message: a string, or a list of parts.
    #[serde(default)]
    pub content: Value,
    /// All other fields of the message.
    #[serde(flatten)]
    pub rest: Map<String, Value>,
}

impl ChatRequest {
    /// Decodes and validates a request body.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is not JSON of the expected shape or has no message.
    ///
    /// ```
    /// use galenamast::protocol::ChatRequest;
    ///
    /// let body = br#"{"model":"auto","messages":[{"role":"user","content":"boots?"}]}"#;
    /// assert_eq!(ChatRequest::decode(body).unwrap().messages.len(), 1);
    /// assert!(ChatRequest::decode(br#"{"messages":[]}"#).is_err());
    /// ```
    pub fn decode(body: &[u8]) -> Result<Self, ProtocolError> {
        let request: ChatRequest =
            serde_json::from_slice(body).map_err(|source| ProtocolError::Json {
                what: "chat request",
                source,
            })?;
        if request.messages.is_empty() {
            let reason = "`messages` must hold at least one message".into();
            return Err(ProtocolError::Invalid {
                what: "chat request",
                reason,
            });
        }
        Ok(request)
    }

    /// Encodes the request for a model engine, with the version to run in the field `model`.
    ///
    /// # Errors
    ///
    /// Returns an error if a field cannot be written as JSON.
    ///
    /// ```
    /// use galenamast::protocol::ChatRequest;
    ///
    /// let body = br#"{"model":"auto","messages":[{"role":"user","content":"boots?"}],"n":1}"#;
    /// let request = ChatRequest::decode(body).unwrap();
    /// let sent = ChatRequest::decode(&request.encode_for("advice@small").unwrap()).unwrap();
    /// assert_eq!(sent.model, "advice@small");
    /// assert_eq!((sent.messages, sent.rest), (request.messages, request.rest));
    /// ```
    pub fn encode_for(&self, version: &str) -> Result<Vec<u8>, ProtocolError> {
        let request = EngineRequest {
            model: version,
            messages: &self.messages,
            stream: self.stream,
            max_tokens: self.max_tokens,
            rest: &self.rest,
        };
        serde_json::to_vec(&request).map_err(|source| ProtocolError::Json {
            what: "chat request",
            source,
        })
    }

    /// Estimates the length of the prompt in tokens, at four bytes per token.
    pub fn estimate_prompt_tokens(&self) -> u32 {
        let bytes: usize = self
            .messages
            .iter()
            .map(|message| content_len(&message.content))
            .sum();
        u32::try_from(bytes / 4 + 1).unwrap_or(u32::MAX)
    }
}

/// Returns the length of a message's text, in bytes.
fn content_len(content: &Value) -> usize {
    match content {
        Value::String(text) => text.len(),
        other => other.to_string().len(),
    }
}

/// The fields of a complete chat completion answer that an entry host reads.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ChatAnswer {
    /// Identifier of the request that the answer belongs to.
    #[serde(default)]
    pub id: String,
    /// Lengths of prompt and answer; zero if the answer does not state them.
    #[serde(default)]
    pub usage: ChatUsage,
}

/// Lengths of the prompt and the answer of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatUsage {
    /// Length of the prompt, in tokens.
    #[serde(default)]
    pub prompt_tokens: u64,
    /// Length of the answer, in tokens.
    #[serde(default)]
    pub completion_tokens: u64,
}
