//! Decides which model answers a request.

mod model_choice;

pub use model_choice::{
    CascadeSettings, ModelStep, bound_under_load, larger_model, should_escalate,
};
