//! Service time and throughput of a pool, as measured by one entry host.

use std::time::Duration;

use crate::state::TimePoint;

/// Weight of a new sample in the moving averages.
const SMOOTHING: f64 = 1.0 / 16.0;
/// Number of mean deviations above the mean service time that most answers stay within.
const DEVIATIONS_ABOVE_MEAN: f64 = 2.0;

/// Moving averages of a pool's service time and of the interval between two answers, in seconds.
#[derive(Clone, Debug, Default)]
pub struct PoolTiming {
    mean: Option<f64>,
    deviation: f64,
    interval: Option<f64>,
    answered_at: Option<TimePoint>,
}

impl PoolTiming {
    /// Records an answer and its service time.
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

    /// Returns the service time that most answers stay within; zero before the first answer.
    ///
    /// ```
    /// use std::time::Duration;
    /// use galenamast::coordination::PoolTiming;
    /// use galenamast::state::TimePoint;
    ///
    /// let mut timing = PoolTiming::default();
    /// assert_eq!(timing.service_bound(), Duration::ZERO);
    /// timing.observe(Duration::from_millis(40), TimePoint::ZERO);
    /// assert_eq!(timing.service_bound(), Duration::from_millis(40));
    /// ```
    pub fn service_bound(&self) -> Duration {
        let bound = self.mean.unwrap_or(0.0) + DEVIATIONS_ABOVE_MEAN * self.deviation;
        Duration::from_secs_f64(bound)
    }

    /// Returns the time until which a request may wait in the queue and still meet its deadline.
    ///
    /// At most half of the remaining time is reserved for the service, and the wait is never longer
    /// than `longest`.
    ///
    /// ```
    /// use std::time::Duration;
    /// use galenamast::coordination::PoolTiming;
    /// use galenamast::state::TimePoint;
    ///
    /// let mut timing = PoolTiming::default();
    /// timing.observe(Duration::from_millis(40), TimePoint::ZERO);
    /// let (deadline, longest) = (TimePoint::from_millis(200), Duration::from_secs(5));
    /// let wait_deadline = timing.wait_deadline(TimePoint::ZERO, deadline, longest);
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

    /// Returns the estimated time to answer a number of requests; `None` before the second answer.
    pub fn time_to_serve(&self, requests: usize) -> Option<Duration> {
        let interval = self.interval?;
        Some(Duration::from_secs_f64(interval * requests as f64))
    }
}
