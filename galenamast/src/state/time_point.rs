//! Monotonic time for the layers that do no I/O.

use std::ops::{Add, Sub};
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A point in monotonic time, in microseconds since the process started.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct TimePoint(u64);

impl TimePoint {
    /// The start of the process.
    pub const ZERO: TimePoint = TimePoint(0);

    /// Creates a point from microseconds since the start of the process.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Creates a point from milliseconds since the start of the process.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// Returns the microseconds since the start of the process.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the time since `earlier`, or zero if `earlier` is later.
    ///
    /// ```
    /// use std::time::Duration;
    /// use galenamast::state::TimePoint;
    ///
    /// let start = TimePoint::from_millis(10);
    /// let end = start + Duration::from_millis(5);
    /// assert_eq!(end.since(start), Duration::from_millis(5));
    /// assert_eq!(start.since(end), Duration::ZERO);
    /// ```
    pub const fn since(self, earlier: TimePoint) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for TimePoint {
    type Output = TimePoint;

    fn add(self, duration: Duration) -> TimePoint {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        TimePoint(self.0.saturating_add(micros))
    }
}

impl Sub<Duration> for TimePoint {
    type Output = TimePoint;

    fn sub(self, duration: Duration) -> TimePoint {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        TimePoint(self.0.saturating_sub(micros))
    }
}
