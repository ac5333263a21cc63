//! Decides which requests are offered to servers and when rejected callers should return.

mod admission_decision;

pub use admission_decision::{
    AdmissionSettings, AdmissionVerdict, ServiceForecast, decide_admission, retry_pause,
};
