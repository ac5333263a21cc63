//! How long connections of callers stay open between requests.

mod caller_wait;

pub use caller_wait::{CallerWait, WaitStage};
