//! Counters and latency histograms, rendered as a text page.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use hdrhistogram::Histogram;

/// Significant decimal digits of the histograms.
const SIGNIFICANT_DIGITS: u8 = 2;
/// Quantiles on the metrics page; 1.0 is the maximum.
const QUANTILES: [f64; 4] = [0.5, 0.9, 0.99, 1.0];

/// Metric values by name; latencies are in milliseconds.
#[derive(Debug, Default)]
struct MetricValues {
    counters: BTreeMap<String, u64>,
    latencies: BTreeMap<String, Histogram<u64>>,
}

/// Counters and latency histograms, created on first use.
#[derive(Debug, Default)]
pub struct GatewayMetrics {
    values: Mutex<MetricValues>,
}

impl GatewayMetrics {
    /// Increments a counter.
    pub fn increment(&self, name: &str) {
        let mut values = self.values.lock().unwrap_or_else(PoisonError::into_inner);
        match values.counters.get_mut(name) {
            Some(counter) => *counter += 1,
            None => {
                values.counters.insert(name.to_owned(), 1);
            }
        }
    }

    /// Records a latency, which is kept in whole milliseconds.
    pub fn record_latency(&self, name: &str, latency: Duration) {
        let mut values = self.values.lock().unwrap_or_else(PoisonError::into_inner);
        if !values.latencies.contains_key(name) {
            let Ok(histogram) = Histogram::new(SIGNIFICANT_DIGITS) else {
                return;
            };
            values.latencies.insert(name.to_owned(), histogram);
        }
        if let Some(histogram) = values.latencies.get_mut(name) {
            let millis = u64::try_from(latency.as_millis()).unwrap_or(u64::MAX);
            histogram.saturating_record(millis);
        }
    }

    /// Renders all metrics as lines of a name and a value.
    ///
    /// ```
    /// use galenamast_gateway::transport::GatewayMetrics;
    ///
    /// let metrics = GatewayMetrics::default();
    /// metrics.increment("requests_total");
    /// assert_eq!(metrics.render(), "requests_total 1\n");
    /// ```
    pub fn render(&self) -> String {
        let values = self.values.lock().unwrap_or_else(PoisonError::into_inner);
        let mut page = String::new();
        for (name, count) in &values.counters {
            // Writing to a `String` cannot fail.
            let _ = writeln!(page, "{name} {count}");
        }
        for (name, histogram) in &values.latencies {
            for quantile in QUANTILES {
                let value = histogram.value_at_quantile(quantile);
                let _ = writeln!(page, "{name}_ms{{quantile=\"{quantile}\"}} {value}");
            }
            let _ = writeln!(page, "{name}_count {}", histogram.len());
        }
        page
    }
}
