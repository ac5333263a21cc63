//! Extraction of the text from complete and streamed chat completions.

use serde::Deserialize;

use crate::protocol::chat_messages::ChatMessage;

/// The choices of a complete chat completion.
#[derive(Clone, Debug, Deserialize)]
pub struct ChatText {
    choices: Vec<TextChoice>,
}

/// One choice of a complete answer.
#[derive(Clone, Debug, Deserialize)]
struct TextChoice {
    message: ChatMessage,
}

/// An event of a streamed answer.
#[derive(Clone, Debug, Deserialize)]
struct DeltaEvent {
    #[serde(default)]
    choices: Vec<DeltaChoice>,
}

/// One choice of a streamed event.
#[derive(Clone, Debug, Deserialize)]
struct DeltaChoice {
    #[serde(default)]
    delta: TextDelta,
}

/// Text that an event appends to a choice.
#[derive(Clone, Debug, Default, Deserialize)]
struct TextDelta {
    #[serde(default)]
    content: String,
}

impl ChatText {
    /// Decodes the choices of an answer; `None` if it is malformed.
    ///
    /// ```
    /// use galenamast::protocol::ChatText;
    ///
    /// let body = br#"{"choices":[{"message":{"role":"assistant","content":"size 9"}}]}"#;
    /// assert_eq!(ChatText::decode(body).unwrap().text(), "size 9");
    /// ```
    pub fn decode(body: &[u8]) -> Option<Self> {
        serde_json::from_slice(body).ok()
    }

    /// Joins the text of the first choice across the events of a streamed answer.
    ///
    /// Events that cannot be decoded or have no choice add nothing.
    ///
    /// ```
    /// use galenamast::protocol::ChatText;
    ///
    /// let event = r#"{"choices":[{"delta":{"content":"size 9"}}]}"#;
    /// assert_eq!(ChatText::of_events(&[event.into()]), "size 9");
    /// ```
    pub fn of_events(events: &[String]) -> String {
        let mut text = String::new();
        for data in events {
            let event: Option<DeltaEvent> = serde_json::from_str(data).ok();
            let delta = event.and_then(|event| event.choices.into_iter().next());
            text.push_str(&delta.map(|choice| choice.delta.content).unwrap_or_default());
        }
        text
    }

    /// Returns the text of the first choice; empty if there is none.
    pub fn text(&self) -> String {
        let content = self.choices.first().map(|choice| &choice.message.content);
        let text = content.and_then(|content| content.as_str());
        text.unwrap_or_default().to_owned()
    }
}
