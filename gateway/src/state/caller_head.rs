//! What the head of a request says.

use std::sync::Arc;
use std::time::Duration;

/// A part of a prompt that requests may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifier of the part.
    pub digest: u64,
    /// Length in tokens.
    pub tokens: u32,
}

/// The head of a caller's request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CallerHead {
    /// Identifier of the request.
    pub request: Option<Arc<str>>,
    /// Time for which the caller waits.
    pub time_allowed: Option<Duration>,
    /// Credential of the caller's workspace.
    pub credential: Option<Arc<str>>,
    /// Whether the system chooses the model.
    pub any_model: bool,
    /// Model that the caller names.
    pub model: Option<Arc<str>>,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Greatest number of tokens of the answer.
    pub answer_tokens: u32,
    /// Parts of the prompt in order.
    pub parts: Vec<PromptPart>,
    /// Session that the request belongs to.
    pub session: Option<Arc<str>>,
    /// Last event that the caller has.
    pub resume_after: Option<u64>,
}

/// What an entry host adds to a request that it sends to a backend server.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AttemptHead {
    /// Identifier of the server that is meant.
    pub server: Arc<str>,
    /// Time left for the request.
    pub time_left: Duration,
    /// Workspace of the caller.
    pub workspace: Option<Arc<str>>,
    /// Model that was chosen for the caller.
    pub model: Option<Arc<str>>,
    /// Urgency from 0, the most urgent, to 9.
    pub urgency: Option<u8>,
    /// Last event that was delivered before.
    pub resume_after: Option<u64>,
}
