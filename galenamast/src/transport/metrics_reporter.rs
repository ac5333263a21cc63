//! Connects the metrics of a process to its sources: log records and periodic gauges.

use std::sync::Arc;

use crate::config::MetricsSettings;
use crate::logging::{log_fault, observe_records};
use crate::transport::host_context::HostContext;
use crate::transport::metrics_sink::{MetricsSink, REPORT_PERIOD};

/// Opens the metrics sink of the process, which counts every log record from now on.
///
/// Returns `None` and logs a fault if no socket can be opened; the process runs without metrics.
pub fn start_metrics(settings: &MetricsSettings) -> Option<Arc<MetricsSink>> {
    let sink = match MetricsSink::open(settings) {
        Ok(sink) => Arc::new(sink),
        Err(error) => {
            log_fault("metrics", &error);
            return None;
        }
    };
    let observer = sink.clone();
    observe_records(Box::new(move |record| observer.count_record(record)));
    Some(sink)
}

/// Reports the gauges of a host until the task is aborted.
pub async fn report_gauges(context: Arc<HostContext>, sink: Arc<MetricsSink>) {
    let mut ticks = context.timers.subscribe(REPORT_PERIOD);
    loop {
        sink.report_host(&context);
        ticks.tick().await;
    }
}
