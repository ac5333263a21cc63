//! How long connections of callers stay open between requests, and which give way to others.

mod caller_wait;
mod connection_progress;

pub use caller_wait::{CallerWait, WaitStage};
pub use connection_progress::{
    ConnectionProgress, ConnectionStage, EvictionSettings, pick_evictions,
};
