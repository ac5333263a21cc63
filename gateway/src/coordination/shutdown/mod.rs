//! What a stopping host still takes on.

mod stop_schedule;

pub use stop_schedule::{StopSchedule, StopSettings};
