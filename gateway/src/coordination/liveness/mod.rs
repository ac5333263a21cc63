//! Judges whether servers at which requests wait are lost.

mod liveness_settings;
mod server_liveness;

pub use liveness_settings::LivenessSettings;
pub use server_liveness::{
    LivenessChange, ProbeResult, ServerLiveness, ServerVerdict, WaitStep, WaitTicket,
};
