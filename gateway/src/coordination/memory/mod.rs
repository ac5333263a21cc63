//! Decides how much a host buffers for callers that read slowly.

mod read_ahead;

pub use read_ahead::{HeldBytes, ReadAheadSettings, may_read_on};
