//! Settings of the per-server speeds.

use std::time::Duration;

/// Settings of the per-server speeds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SpeedSettings {
    /// Samples of all hosts without which a server has the factor 1.
    pub min_samples: usize,
    /// Time since the first sample before which a server has the factor 1.
    pub min_span: Duration,
    /// Samples of a server that this host keeps.
    pub max_samples: usize,
    /// Shortest time between two samples of a server, and in which those of all hosts count as one
    /// independent sample at most. A disturbance of 600 ms, and the queue that it leaves, affects all
    /// samples alike; with 600 ms here, servers that are alike got factors of 1.8.
    pub sample_spacing: Duration,
    /// Reports of other hosts that are kept for each server.
    pub max_reports: usize,
    /// Samples that a report counts for at most: an error in what a host takes for typical is in all of
    /// its samples.
    pub max_report_weight: u8,
    /// Time for which samples and reports count.
    pub lifetime: Duration,
    /// Time after which an unchanged value is announced again, as reports are lost and hosts start.
    pub announce_interval: Duration,
    /// Most reports in a datagram. 52 of 9 bytes each, with headers, stay below 500 bytes.
    pub max_announced: usize,
    /// Change of a value, as a logarithm, from which it is announced again or a factor follows it.
    pub min_change: f64,
    /// Smallest deviation from a typical server, as a logarithm, that takes effect. Loads are known late
    /// and in part, which made a server that is like the others seem faster by 0.14.
    pub min_effect: f64,
    /// The same in a service whose servers are uneven, where a deviation is expected.
    pub min_effect_uneven: f64,
    /// Standard errors of the median by which a server has to deviate. Each host compares each server
    /// once a second, so that 5 are exceeded by chance.
    pub min_errors: f64,
    /// The same in a service whose servers are uneven.
    pub min_errors_uneven: f64,
    /// Median deviation of a service's servers, in standard errors, from which they are uneven; 0.67
    /// is expected of servers that are alike.
    pub uneven_errors: f64,
    /// Servers without which a service does not count as uneven.
    pub min_uneven_servers: usize,
    /// Smallest scatter of the samples' logarithms that is assumed; few samples may agree by chance.
    pub min_scatter: f64,
    /// Change of a factor, as a logarithm, from which it is logged.
    pub logged_change: f64,
}

impl Default for SpeedSettings {
    fn default() -> Self {
        Self {
            min_samples: 5,
            min_span: Duration::from_secs(3),
            max_samples: 16,
            sample_spacing: Duration::from_millis(1_200),
            max_reports: 24,
            max_report_weight: 4,
            lifetime: Duration::from_secs(90),
            announce_interval: Duration::from_secs(45),
            max_announced: 52,
            min_change: 0.05,
            min_effect: 0.25,
            min_effect_uneven: 0.14,
            min_errors: 6.0,
            min_errors_uneven: 1.5,
            uneven_errors: 2.0,
            min_uneven_servers: 8,
            min_scatter: 0.3,
            logged_change: 0.2,
        }
    }
}

impl SpeedSettings {
    /// Returns settings with which every server has the factor 1.
    pub fn disabled() -> Self {
        Self {
            min_samples: usize::MAX,
            ..Self::default()
        }
    }
}
