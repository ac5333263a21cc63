//! The step from a model to a larger one.

use std::sync::Arc;

/// A larger model that may answer in place of a smaller one.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelStep {
    /// The larger model.
    pub model: Arc<str>,
    /// Confidence in the smaller model's answer below which the larger one runs if no request is
    /// queued.
    pub bound: f64,
}
