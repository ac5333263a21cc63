//! Time since a configuration was last confirmed to be the newest, by the host's own clock only.

use std::time::Duration;

use crate::state::TimePoint;

/// The age of a configuration at a point in time, from which its age at any later time follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConfigFreshness {
    at: TimePoint,
    age: Duration,
}

impl ConfigFreshness {
    /// Creates a freshness from the age at a point in time.
    ///
    /// ```
    /// use std::time::Duration;
    /// use galenamast::coordination::ConfigFreshness;
    /// use galenamast::state::TimePoint;
    ///
    /// let hour = Duration::from_secs(3_600);
    /// let freshness = ConfigFreshness::new(TimePoint::from_millis(2_000), hour);
    /// let age = freshness.age_at(TimePoint::from_millis(3_000));
    /// assert_eq!(age, hour + Duration::from_secs(1));
    /// ```
    pub const fn new(at: TimePoint, age: Duration) -> Self {
        Self { at, age }
    }

    /// Returns the age at a point in time.
    pub const fn age_at(&self, now: TimePoint) -> Duration {
        self.age.saturating_add(now.since(self.at))
    }

    /// Returns the fresher of the two, `self` if they are equal.
    #[must_use]
    pub fn fresher(self, other: Self) -> Self {
        let now = self.at.max(other.at);
        if other.age_at(now) < self.age_at(now) {
            return other;
        }
        self
    }
}
