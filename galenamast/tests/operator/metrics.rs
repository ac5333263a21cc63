//! Metrics in the StatsD format that a collector receives.

use std::net::UdpSocket;
use std::time::Duration;

use cadence::SpyMetricSink;
use galenamast::config::MetricsSettings;
use galenamast::transport::metrics_catalogue::METRICS;
use galenamast::transport::metrics_sink::MetricsSink;

use crate::log_lines::sample_records;

#[test]
fn log_records_are_counted_with_their_tags() {
    let (received, spy) = SpyMetricSink::new();
    let sink = MetricsSink::with_sink("galenamast", spy);
    for (_, record) in sample_records() {
        sink.count_record(&record);
    }
    let lines: Vec<String> = received
        .try_iter()
        .map(|line| String::from_utf8(line).expect("a metric is text"))
        .collect();
    let expected = [
        "galenamast.refusals:1|c|#workspace:counter,reason:no_eligible_version",
        "galenamast.decisions:1|c|#workspace:counter,outcome:refuse",
        "galenamast.retries:1|c|#workspace:counter",
        "galenamast.usage.requests:1|c|#workspace:counter",
        "galenamast.usage.input_tokens:10|c|#workspace:counter",
        "galenamast.usage.output_tokens:20|c|#workspace:counter",
        "galenamast.usage.price:7|c|#workspace:counter",
        "galenamast.requests.abandoned:1|c",
        "galenamast.rollout.steps:1|c|#rollout:r1",
        "galenamast.placement.moves:1|c|#domain:cumbre",
        "galenamast.faults:4|c|#part:config",
        "galenamast.operator.changes:1|c",
        "galenamast.operator.refusals:1|c|#code:conflict",
    ];
    assert_eq!(lines, expected);
    for line in &lines {
        let name = line.split(':').next().unwrap_or_default();
        let name = name.trim_start_matches("galenamast.");
        assert!(METRICS.iter().any(|metric| metric.name == name), "{name}");
    }
}

#[test]
fn a_collector_receives_metrics_as_datagrams() {
    let collector = UdpSocket::bind("127.0.0.1:0").expect("a port is free");
    collector
        .set_read_timeout(Some(Duration::from_secs(60)))
        .expect("the timeout can be set");
    let settings = MetricsSettings {
        statsd: collector.local_addr().ok(),
        ..Default::default()
    };
    let sink = MetricsSink::open(&settings).expect("a socket can be opened");
    sink.count_fault("peers", 1);
    drop(sink);
    let mut buffer = [0; 512];
    let length = collector.recv(&mut buffer).expect("a datagram arrives");
    let text = String::from_utf8_lossy(&buffer[..length]);
    assert!(text.contains("galenamast.faults:1|c|#part:peers"), "{text}");
}
