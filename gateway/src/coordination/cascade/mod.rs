//! Decides which model answers a request.

mod model_choice;

pub use model_choice::{CascadeSettings, confidence_bound, should_escalate};
