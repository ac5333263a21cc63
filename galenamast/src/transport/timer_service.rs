//! The single source of time of an entry host: a monotonic clock, sleeps and periodic ticks.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::sync::watch;
use tokio::time::Instant;

use crate::state::TimePoint;

/// Source of time: the system clock, or a manual clock in tests.
#[derive(Clone, Debug)]
pub struct TimerService {
    source: TimeSource,
}

/// Clock behind a timer service.
#[derive(Clone, Debug)]
enum TimeSource {
    /// The runtime's monotonic clock; `TimePoint::ZERO` is this instant.
    System(Instant),
    /// A clock that a test advances.
    Manual(watch::Receiver<TimePoint>),
}

impl TimerService {
    /// Creates a service on the system's monotonic clock, with the current instant as time zero.
    pub fn system() -> Self {
        Self {
            source: TimeSource::System(Instant::now()),
        }
    }

    /// Creates a service on a manual clock, which starts at zero and is advanced by the returned
    /// handle.
    ///
    /// ```
    /// use std::time::Duration;
    /// use galenamast::transport::TimerService;
    ///
    /// let (timers, clock) = TimerService::manual();
    /// clock.advance(Duration::from_secs(3));
    /// assert_eq!(timers.now().as_micros(), 3_000_000);
    /// ```
    pub fn manual() -> (Self, ManualClock) {
        let (sender, receiver) = watch::channel(TimePoint::ZERO);
        (
            Self {
                source: TimeSource::Manual(receiver),
            },
            ManualClock { sender },
        )
    }

    /// Returns the current time.
    pub fn now(&self) -> TimePoint {
        match &self.source {
            TimeSource::System(epoch) => TimePoint::ZERO + epoch.elapsed(),
            TimeSource::Manual(receiver) => *receiver.borrow(),
        }
    }

    /// Returns the milliseconds since the Unix epoch, for records that leave the process.
    ///
    /// A manual clock returns its own time instead.
    pub fn unix_millis(&self) -> u64 {
        match &self.source {
            TimeSource::System(_) => {
                let since = SystemTime::now()
                    .duration_since(UNIX_EPOCH)
                    .unwrap_or_default();
                u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
            }
            TimeSource::Manual(receiver) => receiver.borrow().as_micros() / 1_000,
        }
    }

    /// Waits until a point in time.
    pub async fn sleep_until(&self, deadline: TimePoint) {
        match &self.source {
            TimeSource::System(epoch) => {
                let offset = deadline.since(TimePoint::ZERO);
                tokio::time::sleep_until(*epoch + offset).await;
            }
            TimeSource::Manual(receiver) => {
                let mut receiver = receiver.clone();
                // The clock was dropped and can never reach the deadline.
                if receiver.wait_for(|now| *now >= deadline).await.is_err() {
                    std::future::pending::<()>().await;
                }
            }
        }
    }

    /// Waits for a duration.
    pub async fn sleep(&self, duration: Duration) {
        self.sleep_until(self.now() + duration).await;
    }

    /// Subscribes to periodic ticks; the first one comes after one period.
    pub fn subscribe(&self, period: Duration) -> TimerSubscription {
        TimerSubscription {
            timers: self.clone(),
            period,
            next: self.now() + period,
        }
    }
}

/// A subscription to periodic ticks.
#[derive(Debug)]
pub struct TimerSubscription {
    timers: TimerService,
    period: Duration,
    next: TimePoint,
}

impl TimerSubscription {
    /// Waits for the next tick and returns its time; ticks missed since the last call are skipped.
    pub async fn tick(&mut self) -> TimePoint {
        self.timers.sleep_until(self.next).await;
        let now = self.timers.now();
        self.next = now + self.period;
        now
    }
}

/// Handle that advances a manual clock.
#[derive(Debug)]
pub struct ManualClock {
    sender: watch::Sender<TimePoint>,
}

impl ManualClock {
    /// Advances the clock and wakes the sleepers whose time has come.
    pub fn advance(&self, duration: Duration) {
        self.sender.send_modify(|now| *now = *now + duration);
    }
}
