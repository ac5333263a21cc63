//! How fast a pool answers, as seen by one entry host.

use std::time::Duration;

use crate::state::TimePoint;

/// Weight of a new value in the moving averages.
const SMOOTHING: f64 = 1.0 / 16.0;
/// Mean deviations above the mean that a service time is expected to stay below.
const DEVIATIONS: f64 = 2.0;

/// Moving averages of the time that a pool's servers need, and of the time between two answers.
#[derive(Clone, Debug, Default)]
pub struct PoolTiming {
    mean: Option<f64>,
    deviation: f64,
    interval: Option<f64>,
    answered_at: Option<TimePoint>,
}

impl PoolTiming {
    /// Takes in an answer that took some time.
    pub fn observe(&mut self, service: Duration, now: TimePoint) {
        let seconds = service.as_secs_f64();
        let mean = self.mean.unwrap_or(seconds);
        self.deviation += SMOOTHING * ((seconds - mean).abs() - self.deviation);
        self.mean = Some(mean + SMOOTHING * (seconds - mean));
        if let Some(last) = self.answered_at {
            let gap = now.since(last).as_secs_f64();
            let interval = self.interval.unwrap_or(gap);
            self.interval = Some(interval + SMOOTHING * (gap - interval));
        }
        self.answered_at = Some(now);
    }

    /// Returns the time that most answers take; zero before the first one.
    ///
    /// ```
    /// use std::time::Duration;
    /// use galenamast::coordination::PoolPace;
    /// use galenamast::state::TimePoint;
    ///
    /// let mut pace = PoolPace::default();
    /// assert_eq!(pace.service_bound(), Duration::ZERO);
    /// pace.observe(Duration::from_millis(40), TimePoint::ZERO);
    /// assert_eq!(pace.service_bound(), Duration::from_millis(40));
    /// ```
    pub fn service_bound(&self) -> Duration {
        let bound = self.mean.unwrap_or(0.0) + DEVIATIONS * self.deviation;
        Duration::from_secs_f64(bound)
    }

    /// Returns the time until which a request may wait and still be answered before its deadline.
    ///
    /// ```
    /// use std::time::Duration;
    /// use galenamast::coordination::PoolPace;
    /// use galenamast::state::TimePoint;
    ///
    /// let mut pace = PoolPace::default();
    /// pace.observe(Duration::from_millis(40), TimePoint::ZERO);
    /// let (deadline, longest) = (TimePoint::from_millis(200), Duration::from_secs(5));
    /// let wait_deadline = pace.wait_deadline(TimePoint::ZERO, deadline, longest);
    /// assert_eq!(wait_deadline, TimePoint::from_millis(160));
    /// ```
    pub fn wait_deadline(
        &self,
        now: TimePoint,
        deadline: TimePoint,
        longest: Duration,
    ) -> TimePoint {
        let time_left = deadline.since(now);
        let service = self.service_bound().min(time_left / 2);
        now + longest.min(time_left - service)
    }

    /// Returns the time in which a number of requests are taken, if that is known.
    pub fn time_to_serve(&self, requests: usize) -> Option<Duration> {
        let interval = self.interval?;
        Some(Duration::from_secs_f64(interval * requests as f64))
    }
}
