//! Contents of request heads.

use std::sync::Arc;
use std::time::Duration;

/// A part of a prompt that several requests may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Digest that identifies the part.
    pub digest: u64,
    /// Length in tokens.
    pub tokens: u32,
}

/// The head of a caller's request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CallerHead {
    /// Identifier of the request, if stated.
    pub request: Option<Arc<str>>,
    /// Time for which the caller waits, if stated.
    pub time_allowed: Option<Duration>,
    /// Credential of the caller's workspace, if sent.
    pub credential: Option<Arc<str>>,
    /// Whether the system chooses the model.
    pub any_model: bool,
    /// Model that the caller names, if any.
    pub model: Option<Arc<str>>,
    /// Length of the prompt in tokens.
    pub prompt_tokens: u32,
    /// Greatest length of the answer in tokens.
    pub answer_tokens: u32,
    /// Parts of the prompt in order; empty if the caller states none.
    pub parts: Vec<PromptPart>,
    /// Session that the request belongs to, if any.
    pub session: Option<Arc<str>>,
    /// Identifier of the last event that the caller has received, if it resumes a stream.
    pub resume_after: Option<u64>,
    /// Whether another entry host passed the request on.
    pub relayed: bool,
}

/// Fields that an entry host adds to a request for a backend server.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AttemptHead {
    /// Identifier of the intended server.
    pub server: Arc<str>,
    /// Time that is left for the request.
    pub time_left: Duration,
    /// Workspace of the caller, if known.
    pub workspace: Option<Arc<str>>,
    /// Model that was chosen for the caller, if any.
    pub model: Option<Arc<str>>,
    /// Urgency from 0, the most urgent, to 9; `None` if it is not stated.
    pub urgency: Option<u8>,
    /// Identifier of the last event that the caller has received, if the stream is resumed.
    pub resume_after: Option<u64>,
}
