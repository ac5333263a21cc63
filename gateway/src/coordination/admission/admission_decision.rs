//! Decides whether a request is offered to a server or rejected at once.
//!
//! Load pattern: a burst of long prompts, or the loss of most servers, fills the queues of the
//! remaining ones beyond what callers wait for. Work for callers whose time runs out first only
//! delays the others, so such requests are rejected while nothing of them has run.

use std::time::Duration;

/// Settings of admission.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionSettings {
    /// Multiple of the mean prediction error by which the forecast must exceed the time left.
    pub error_margin: f64,
    /// Shortest pause that a rejected caller is told to make.
    pub min_retry_pause: Duration,
    /// Part of a caller's time left after which it should have returned; callers ignore longer
    /// pauses.
    pub max_retry_part: f64,
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        Self {
            error_margin: 2.0,
            min_retry_pause: Duration::from_millis(100),
            max_retry_part: 1.0 / 3.0,
        }
    }
}

/// When a request would begin to be served if it were admitted now.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServiceForecast {
    /// Seconds until the earliest of the servers would begin to answer.
    pub starts_in: f64,
    /// Mean error of the route's recent forecasts, in seconds.
    pub error: f64,
    /// Whether any of the servers has a free slot.
    pub has_free_slot: bool,
}

/// What happens to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionVerdict {
    /// It is offered to a server.
    Admit,
    /// It is rejected at once.
    Reject,
}

/// Decides on a request that has not been offered to a server, with `time_left` until its deadline.
///
/// ```
/// use std::time::Duration;
///
/// use galenamast_gateway::coordination::admission::{
///     AdmissionSettings, AdmissionVerdict, ServiceForecast, decide_admission,
/// };
///
/// let forecast = ServiceForecast { starts_in: 12.0, error: 0.5, has_free_slot: false };
/// let settings = AdmissionSettings::default();
/// let verdict = decide_admission(&forecast, Duration::from_secs(9), &settings);
/// assert_eq!(verdict, AdmissionVerdict::Reject);
/// ```
pub fn decide_admission(
    forecast: &ServiceForecast,
    time_left: Duration,
    settings: &AdmissionSettings,
) -> AdmissionVerdict {
    let earliest = forecast.starts_in - settings.error_margin * forecast.error;
    if forecast.has_free_slot || earliest <= time_left.as_secs_f64() {
        return AdmissionVerdict::Admit;
    }
    AdmissionVerdict::Reject
}

/// Returns how long a rejected caller should pause: until a server is predicted to begin a request,
/// `starts_in` seconds from now, but no longer than leaves the caller time to be served.
pub fn retry_pause(starts_in: f64, time_left: Duration, settings: &AdmissionSettings) -> Duration {
    let longest = time_left.mul_f64(settings.max_retry_part);
    Duration::try_from_secs_f64(starts_in)
        .unwrap_or(longest)
        .max(settings.min_retry_pause)
        .min(longest)
}
