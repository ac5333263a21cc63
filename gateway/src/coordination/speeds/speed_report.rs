//! What one host has learned of one server's speed, as sent to other hosts.

use serde::{Deserialize, Serialize};

/// What one host has learned of one server's speed. It is encoded by position in at most 9 bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpeedReport {
    /// Short identifier of the server.
    pub server: u32,
    /// Check value of the server's start, as an identifier may be kept over a restart.
    pub start: u8,
    /// Number of samples.
    pub samples: u8,
    /// Natural logarithm of the server's time relative to that of a typical one, in hundredths.
    pub log_ratio: i16,
}

impl SpeedReport {
    /// Largest plausible `log_ratio`: a ratio of 10; the smallest is its negative, a ratio of 0.1.
    pub const MAX_LOG_RATIO: i16 = 230;

    /// Returns whether the report can be true.
    ///
    /// ```
    /// use galenamast_gateway::coordination::speeds::SpeedReport;
    ///
    /// let report = SpeedReport { server: 7, start: 0, samples: 3, log_ratio: 53 };
    /// assert!(report.is_plausible());
    /// assert!(!SpeedReport { log_ratio: i16::MIN, ..report }.is_plausible());
    /// assert!(!SpeedReport { samples: 0, ..report }.is_plausible());
    /// ```
    pub fn is_plausible(&self) -> bool {
        let range = -Self::MAX_LOG_RATIO..=Self::MAX_LOG_RATIO;
        self.samples > 0 && range.contains(&self.log_ratio)
    }
}
