//! Sends metrics to a statsd collector through cadence.

use std::io;
use std::net::{Ipv4Addr, UdpSocket};
use std::sync::PoisonError;
use std::time::Duration;

use cadence::{
    BufferedUdpMetricSink, Counted, Gauged, MetricSink, NopMetricSink, QueuingMetricSink,
    StatsdClient, Timed,
};

use crate::config::MetricsSettings;
use crate::protocol::operator_json::snake_name;
use crate::protocol::{DecisionRecord, LogRecord};
use crate::state::{RouteOutcome, ServerLifecycle};
use crate::transport::call_counters::CallCounts;
use crate::transport::host_context::HostContext;
use crate::transport::metrics_catalogue as catalogue;
use crate::transport::metrics_catalogue::MetricInfo;

/// Capacity of the send queue, in metrics; further ones are dropped.
const QUEUE_CAPACITY: usize = 8_192;
/// Time between reports of gauges.
pub const REPORT_PERIOD: Duration = Duration::from_secs(5);

/// Sends metrics to a statsd collector; discards them if none is configured.
#[derive(Debug)]
pub struct MetricsSink {
    client: StatsdClient,
}

impl MetricsSink {
    /// Opens a sink for the collector that the settings name.
    ///
    /// # Errors
    ///
    /// Returns an error if the UDP socket cannot be opened.
    pub fn open(settings: &MetricsSettings) -> io::Result<Self> {
        let Some(collector) = settings.statsd else {
            return Ok(Self::with_sink(&settings.prefix, NopMetricSink));
        };
        let socket = UdpSocket::bind((Ipv4Addr::UNSPECIFIED, 0))?;
        socket.set_nonblocking(true)?;
        let sink = BufferedUdpMetricSink::from(collector, socket).map_err(io::Error::other)?;
        let sink = QueuingMetricSink::with_capacity(sink, QUEUE_CAPACITY);
        Ok(Self::with_sink(&settings.prefix, sink))
    }

    /// Creates a sink that passes each metric to a cadence sink.
    ///
    /// ```
    /// use cadence::NopMetricSink;
    /// use galenamast::transport::metrics_sink::MetricsSink;
    ///
    /// let sink = MetricsSink::with_sink("galenamast", NopMetricSink);
    /// sink.count_fault("peers", 1);
    /// ```
    pub fn with_sink(
        prefix: &str,
        sink: impl MetricSink + Send + Sync + std::panic::RefUnwindSafe + 'static,
    ) -> Self {
        Self {
            client: StatsdClient::from_sink(prefix, sink),
        }
    }

    /// Updates the counters for a log record; records without a metric are ignored.
    pub fn count_record(&self, record: &LogRecord) {
        match record {
            LogRecord::Decision(decision) => self.count_decision(decision),
            LogRecord::Usage(usage) => {
                let tag = [usage.workspace.as_str()];
                self.count(&catalogue::REQUESTS_BILLED, 1, &tag);
                self.count(&catalogue::INPUT_TOKENS, usage.input_tokens, &tag);
                self.count(&catalogue::OUTPUT_TOKENS, usage.output_tokens, &tag);
                self.count(&catalogue::PRICE, usage.price, &tag);
            }
            LogRecord::Fault {
                part, suppressed, ..
            } => self.count_fault(part, suppressed + 1),
            LogRecord::ConfigChanged(change) if !change.dry_run && !change.repeated => {
                self.count(&catalogue::CHANGES, 1, &[]);
            }
            LogRecord::CallRefused { code, .. } => {
                self.count(&catalogue::CALLS_REFUSED, 1, &[code]);
            }
            LogRecord::RolloutStep { rollout, .. } => {
                self.count(&catalogue::ROLLOUT_STEPS, 1, &[rollout.as_str()]);
            }
            LogRecord::Placement { domain, .. } => {
                self.count(&catalogue::PLACEMENTS, 1, &[domain.as_str()]);
            }
            LogRecord::RequestAbandoned { .. } => self.count(&catalogue::ABANDONED, 1, &[]),
            _ => {}
        }
    }

    /// Counts a routing decision, and the refusal or retry that it is.
    fn count_decision(&self, decision: &DecisionRecord) {
        let workspace = decision.workspace.as_str();
        let outcome = match &decision.decision.outcome {
            RouteOutcome::Dispatch(_) => "dispatch",
            RouteOutcome::Cascade(_) => "cascade",
            RouteOutcome::Queue(_) => "queue",
            RouteOutcome::Refuse(reason) => {
                let reason = snake_name(reason);
                self.count(&catalogue::REFUSALS, 1, &[workspace, &reason]);
                "refuse"
            }
        };
        self.count(&catalogue::DECISIONS, 1, &[workspace, outcome]);
        if decision.attempt > 0 {
            self.count(&catalogue::RETRIES, 1, &[workspace]);
        }
    }

    /// Counts faults of a part of the host, such as `peers`.
    pub fn count_fault(&self, part: &str, faults: u64) {
        self.count(&catalogue::FAULTS, faults, &[part]);
    }

    /// Sends the gauges of a host.
    pub fn report_host(&self, context: &HostContext) {
        let tables = context.tables.load();
        let generation = context.image.load().generation.0;
        self.gauge(&catalogue::GENERATION, generation, &[]);
        let age = u64::try_from(tables.config_age.as_millis()).unwrap_or(u64::MAX);
        self.gauge(&catalogue::FRESHNESS_AGE, age, &[]);
        let servers = tables.servers.servers();
        let live = servers.filter(|server| server.lifecycle == ServerLifecycle::Live);
        self.gauge(&catalogue::SERVERS_LIVE, live.count() as u64, &[]);
        let now = context.timers.now();
        let brakes = tables.brakes.values().filter(|expiry| **expiry > now);
        self.gauge(&catalogue::BRAKES, brakes.count() as u64, &[]);
        self.gauge(
            &catalogue::IN_FLIGHT,
            context.request_registry.len() as u64,
            &[],
        );
        self.gauge(&catalogue::WAITING, context.queue.waiting() as u64, &[]);
        let quarantine = context.quarantine.lock();
        let fingerprint_count = quarantine
            .unwrap_or_else(PoisonError::into_inner)
            .fingerprint_count();
        self.gauge(&catalogue::ACCUSED, fingerprint_count as u64, &[]);
        if let Some(ledger) = &context.ledger {
            let status = ledger.status();
            self.gauge(&catalogue::USAGE_HELD, status.held_bytes as u64, &[]);
            let age = u64::try_from(status.oldest_age.as_millis()).unwrap_or(u64::MAX);
            self.gauge(&catalogue::USAGE_AGE, age, &[]);
        }
        if let Some(objects) = &context.objects {
            self.report_calls(&objects.counts());
        }
    }

    /// Sends the gauges of the object API calls by kind.
    fn report_calls(&self, counts: &CallCounts) {
        let kinds = [
            ("read", counts.reads),
            ("write", counts.writes),
            ("delete", counts.deletes),
            ("list", counts.lists),
            ("watch", counts.watches),
            ("failed", counts.failures),
            ("over_budget", counts.over_budget),
            ("short_circuited", counts.short_circuited),
        ];
        for (kind, count) in kinds {
            self.gauge(&catalogue::PLATFORM_CALLS, count, &[kind]);
        }
    }

    /// Sends a duration; `tags` are the values for the tags of the metric.
    pub fn time(&self, metric: &MetricInfo, duration: Duration, tags: &[&str]) {
        let mut value = self.client.time_with_tags(metric.name, duration);
        for (key, tag) in metric.tags.iter().zip(tags) {
            value = value.with_tag(key, tag);
        }
        value.send();
    }

    /// Adds to a counter; `tags` are the values for the tags of the metric.
    fn count(&self, metric: &MetricInfo, amount: u64, tags: &[&str]) {
        let mut value = self.client.count_with_tags(metric.name, amount);
        for (key, tag) in metric.tags.iter().zip(tags) {
            value = value.with_tag(key, tag);
        }
        value.send();
    }

    /// Sets a gauge; `tags` are the values for the tags of the metric.
    fn gauge(&self, metric: &MetricInfo, value: u64, tags: &[&str]) {
        let mut value = self.client.gauge_with_tags(metric.name, value);
        for (key, tag) in metric.tags.iter().zip(tags) {
            value = value.with_tag(key, tag);
        }
        value.send();
    }
}
