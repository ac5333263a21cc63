//! Limits the number of log lines that a repeated fault writes.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::state::TimePoint;

/// Maximum number of lines that one part of the host may write per window.
pub const FAULTS_PER_WINDOW: u32 = 5;
/// Length of a window.
pub const FAULT_WINDOW: Duration = Duration::from_secs(1);

/// Lines written and suppressed by one part of the host.
#[derive(Clone, Copy, Debug, Default)]
struct FaultWindow {
    started: TimePoint,
    /// Lines written in this window.
    logged: u32,
    /// Lines suppressed since the last written one.
    suppressed: u64,
}

/// Rate limiter of fault lines, by part of the host.
#[derive(Clone, Debug, Default)]
pub struct FaultLimiter {
    windows: BTreeMap<String, FaultWindow>,
}

impl FaultLimiter {
    /// Creates a limiter without any record.
    pub const fn new() -> Self {
        Self {
            windows: BTreeMap::new(),
        }
    }

    /// Returns the number of lines suppressed before this one, or `None` if this one must be
    /// suppressed.
    ///
    /// ```
    /// use galenamast::coordination::fault_limiter::{FAULTS_PER_WINDOW, FaultLimiter};
    /// use galenamast::state::TimePoint;
    ///
    /// let mut limiter = FaultLimiter::new();
    /// let now = TimePoint::ZERO;
    /// for _ in 0..FAULTS_PER_WINDOW {
    ///     assert_eq!(limiter.admit("peers", now), Some(0));
    /// }
    /// assert_eq!(limiter.admit("peers", now), None);
    /// assert_eq!(limiter.admit("peers", TimePoint::from_millis(1_000)), Some(1));
    /// ```
    pub fn admit(&mut self, part: &str, now: TimePoint) -> Option<u64> {
        let window = match self.windows.get_mut(part) {
            Some(window) => window,
            None => self.windows.entry(part.to_owned()).or_default(),
        };
        if now.since(window.started) >= FAULT_WINDOW {
            window.started = now;
            window.logged = 0;
        }
        if window.logged >= FAULTS_PER_WINDOW {
            window.suppressed += 1;
            return None;
        }
        window.logged += 1;
        Some(std::mem::take(&mut window.suppressed))
    }
}
