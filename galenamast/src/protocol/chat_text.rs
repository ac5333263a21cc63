//! The text of a whole chat completion.

use serde::Deserialize;

use crate::protocol::chat_messages::ChatMessage;

/// The choices of a whole chat completion, as far as they are read.
#[derive(Clone, Debug, Deserialize)]
pub struct ChatText {
    choices: Vec<TextChoice>,
}

/// One choice.
#[derive(Clone, Debug, Deserialize)]
struct TextChoice {
    message: ChatMessage,
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

    /// Returns the text of the first choice.
    pub fn text(&self) -> String {
        let content = self.choices.first().map(|choice| &choice.message.content);
        let text = content.and_then(|content| content.as_str());
        text.unwrap_or_default().to_owned()
    }
}
