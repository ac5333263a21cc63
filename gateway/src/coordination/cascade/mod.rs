//! Decides which model answers a request.

mod model_choice;
mod model_step;

pub use model_choice::{CascadeSettings, bound_under_load, larger_model, should_escalate};
pub use model_step::ModelStep;
