//! Measures the latency and the resource use that an entry host adds to calls to a model engine.
//!
//! Entry host, engine and callers run in one process, each on its own threads; the processor time
//! of the entry host is read from its threads. Rounds of direct calls to the engine alternate with
//! rounds of calls through the entry host. `--json` prints one JSON object. The exit code is 0 only
//! if the added latency is within the targets.

use std::error::Error;
use std::fs;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use galenamast::coordination::ConfigObject;
use galenamast::event_loop::EntryHost;
use galenamast::state::ConfigGeneration;
use galenamast_fakes::{EngineOptions, FakeEngine, ListedHost};
use galenamast_testbed::{Caller, Deployment, DeploymentOptions, publish_config};
use hdrhistogram::Histogram;
use http::Method;
use serde_json::{Value, json};
use tokio::runtime::Runtime;

/// Name of the entry host's threads, by which they are found in `/proc`.
const HOST_THREAD_NAME: &str = "entry-host";
/// Number of threads of the entry host.
const HOST_THREAD_COUNT: usize = 2;
/// Number of threads of the engine, and of the callers.
const OTHER_THREAD_COUNT: usize = 3;
/// Number of callers that send requests back to back while saturation is measured.
const SATURATION_CALLERS: usize = 64;
/// Time for which saturation is measured.
const SATURATION_TIME: Duration = Duration::from_secs(4);
/// Number of callers that together send at a fixed rate.
const PACED_CALLERS: usize = 64;
/// Number of rounds of direct calls, and of calls through the entry host.
const ROUNDS: usize = 7;
/// Duration of a round.
const ROUND_TIME: Duration = Duration::from_secs(2);
/// Clock ticks per second in the kernel's accounting of processor time.
const TICKS_PER_SECOND: f64 = 100.0;
/// Number of streams that are open at once while memory is measured.
const OPEN_STREAMS: usize = 1_000;
/// Time between two events of a stream while memory is measured.
const STREAM_GAP: Duration = Duration::from_millis(26);
/// Number of tokens of each answer.
const STREAM_TOKENS: u32 = 128;
/// Rate limit that no measurement reaches, in requests per second.
const UNLIMITED_RATE: f64 = 1_000_000.0;
/// Limit of requests in flight that no measurement reaches.
const UNLIMITED_SLOTS: u32 = 100_000;
/// Target for the added median, in microseconds.
const TARGET_P50_MICROS: f64 = 300.0;
/// Target for the added 99th percentile, in microseconds.
const TARGET_P99_MICROS: f64 = 2_000.0;

/// Latency of a round, in microseconds.
#[derive(Clone, Copy, Debug)]
struct RoundLatency {
    p50: f64,
    p99: f64,
}

/// Address that calls are sent to, and the model that they name.
#[derive(Clone, Copy, Debug)]
struct CallTarget {
    address: SocketAddr,
    model: &'static str,
}

/// Memory and processor time that streams cost the entry host.
#[derive(Clone, Copy, Debug)]
struct StreamCost {
    bytes_per_stream: f64,
    micros_per_event: f64,
}

/// Throughput at which the entry host is saturated.
#[derive(Clone, Copy, Debug)]
struct Saturation {
    requests_per_second: f64,
    requests_per_core_second: f64,
}

fn main() -> Result<(), Box<dyn Error>> {
    let as_json = std::env::args().any(|argument| argument == "--json");
    let host_runtime = runtime(HOST_THREAD_NAME, HOST_THREAD_COUNT)?;
    let other_runtime = runtime("engine", OTHER_THREAD_COUNT)?;
    let caller_runtime = runtime("caller", OTHER_THREAD_COUNT)?;
    let options = DeploymentOptions {
        domains: vec!["cumbre".into()],
        engines_per_domain: 0,
        services_per_domain: 0,
        ..DeploymentOptions::nieve_alta()
    };
    let deployment = other_runtime.block_on(Deployment::without_hosts(options))?;
    let engine_options = EngineOptions {
        answer_tokens: STREAM_TOKENS,
        ..deployment.options.engine.clone()
    };
    let engine = other_runtime.block_on(FakeEngine::start(engine_options));
    list_engine(&deployment, engine.address());
    lift_limits(&deployment)?;
    let settings = deployment.host_settings("host-0", "cumbre");
    let host = host_runtime.block_on(EntryHost::start(settings))?;
    // The second host of the failure domain holds the copies of the usage records.
    let peer_settings = deployment.host_settings("host-1", "cumbre");
    let peer = other_runtime.block_on(EntryHost::start(peer_settings))?;
    let routed_target = CallTarget {
        address: host.caller_address(),
        model: "auto",
    };
    let direct_target = CallTarget {
        address: engine.address(),
        model: "advice@small",
    };
    caller_runtime.block_on(wait_until_served(routed_target));

    let saturation = caller_runtime.block_on(measure_saturation(routed_target));
    let rate = saturation.requests_per_second / 2.0;
    let mut direct = Vec::new();
    let mut routed = Vec::new();
    for _ in 0..ROUNDS {
        direct.push(caller_runtime.block_on(run_round(direct_target, rate)));
        routed.push(caller_runtime.block_on(run_round(routed_target, rate)));
    }
    let stream = caller_runtime.block_on(measure_streams(&engine, direct_target, routed_target));
    let report = build_report(saturation, rate, &direct, &routed, stream);
    print_report(&report, as_json);
    host_runtime.block_on(host.stop());
    other_runtime.block_on(peer.stop());
    if report["met"] == true {
        Ok(())
    } else {
        Err("the added latency exceeds a target".into())
    }
}

/// Creates a runtime whose threads have the given name.
fn runtime(name: &str, threads: usize) -> std::io::Result<Runtime> {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(threads)
        .thread_name(name)
        .enable_all()
        .build()
}

/// Adds the engine to the host list.
fn list_engine(deployment: &Deployment, address: SocketAddr) {
    let pool = deployment.options.engine_pool.clone();
    deployment.host_list.publish(|list| {
        list.push(ListedHost {
            name: "engine-0".into(),
            address: address.to_string(),
            domain: "cumbre".into(),
            pool,
            incarnation: 1,
            state: "live".into(),
        });
    });
}

/// Raises the limits of workspaces and servers so that they do not affect the measurement.
fn lift_limits(deployment: &Deployment) -> Result<(), Box<dyn Error>> {
    let mut documents = deployment.default_documents();
    for document in &mut documents {
        match document {
            ConfigObject::Workspace(workspace) => {
                workspace.limits.requests_per_second = UNLIMITED_RATE;
                workspace.limits.max_in_flight = UNLIMITED_SLOTS;
            }
            ConfigObject::Pool(pool) => pool.slots_per_server = UNLIMITED_SLOTS,
            _ => {}
        }
    }
    publish_config(&deployment.objects, ConfigGeneration(2), &documents)?;
    Ok(())
}

/// Waits until a request is answered with success.
async fn wait_until_served(target: CallTarget) {
    let caller = Caller::new("lodge-rental");
    while !call(&caller, target, false).await {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Sends one request; returns whether it was answered with success.
async fn call(caller: &Caller, target: CallTarget, stream: bool) -> bool {
    let message = json!({ "role": "user", "content": "which boot size?" });
    let body = json!({ "model": target.model, "messages": [message], "stream": stream });
    let headers = [("x-request-id", "018f0000-0000-7000-8000-000000000000")];
    let path = "/v1/chat/completions";
    let reply = caller
        .send(Method::POST, target.address, path, Some(&body), &headers)
        .await;
    matches!(reply, Ok(reply) if reply.status == 200 && reply.body.is_some())
}

/// Runs callers that send without pause and returns the throughput of the host.
async fn measure_saturation(target: CallTarget) -> Saturation {
    let stopped = Arc::new(AtomicBool::new(false));
    let answered = Arc::new(AtomicU64::new(0));
    let processor_before = host_processor_seconds();
    let start = Instant::now();
    let callers: Vec<_> = (0..SATURATION_CALLERS)
        .map(|_| tokio::spawn(call_until(target, stopped.clone(), answered.clone())))
        .collect();
    tokio::time::sleep(SATURATION_TIME).await;
    stopped.store(true, Ordering::Relaxed);
    for caller in callers {
        let _ = caller.await;
    }
    let seconds = start.elapsed().as_secs_f64();
    let processor = host_processor_seconds() - processor_before;
    let answered = answered.load(Ordering::Relaxed) as f64;
    Saturation {
        requests_per_second: answered / seconds,
        requests_per_core_second: answered / processor.max(f64::EPSILON),
    }
}

/// Sends requests back to back until `stopped` is set.
async fn call_until(target: CallTarget, stopped: Arc<AtomicBool>, answered: Arc<AtomicU64>) {
    let caller = Caller::new("lodge-rental");
    while !stopped.load(Ordering::Relaxed) {
        if call(&caller, target, false).await {
            answered.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// Sends requests at a fixed rate for one round and returns their latency.
async fn run_round(target: CallTarget, rate: f64) -> RoundLatency {
    let period = Duration::from_secs_f64(PACED_CALLERS as f64 / rate);
    let callers: Vec<_> = (0..PACED_CALLERS)
        .map(|index| {
            let offset = period.mul_f64(index as f64 / PACED_CALLERS as f64);
            tokio::spawn(call_paced(target, offset, period))
        })
        .collect();
    let mut total = new_histogram();
    for caller in callers {
        if let Ok(histogram) = caller.await {
            total
                .add(histogram)
                .expect("all histograms have the same bounds");
        }
    }
    RoundLatency {
        p50: total.value_at_quantile(0.50) as f64,
        p99: total.value_at_quantile(0.99) as f64,
    }
}

/// Sends one request per period and records the latencies of answered requests, in microseconds.
async fn call_paced(target: CallTarget, offset: Duration, period: Duration) -> Histogram<u64> {
    let caller = Caller::new("lodge-rental");
    let mut histogram = new_histogram();
    tokio::time::sleep(offset).await;
    let mut ticks = tokio::time::interval(period);
    let start = Instant::now();
    while start.elapsed() < ROUND_TIME {
        ticks.tick().await;
        let sent = Instant::now();
        if call(&caller, target, false).await {
            histogram.saturating_record(sent.elapsed().as_micros() as u64);
        }
    }
    histogram
}

/// Creates a histogram for 1 microsecond to 1 minute.
fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 60_000_000, 3).expect("the bounds are valid")
}

/// Opens streams to the engine and then through the host, and returns their cost to the host.
async fn measure_streams(
    engine: &FakeEngine,
    direct: CallTarget,
    routed: CallTarget,
) -> StreamCost {
    engine.change(|options| options.token_gap = STREAM_GAP);
    let direct_bytes = resident_growth(run_streams(direct)).await;
    let processor_before = host_processor_seconds();
    let routed_bytes = resident_growth(run_streams(routed)).await;
    let processor = host_processor_seconds() - processor_before;
    engine.change(|options| options.token_gap = Duration::ZERO);
    let events = OPEN_STREAMS as f64 * f64::from(STREAM_TOKENS);
    StreamCost {
        bytes_per_stream: (routed_bytes - direct_bytes).max(0.0) / OPEN_STREAMS as f64,
        micros_per_event: processor * 1e6 / events,
    }
}

/// Opens all streams at once and reads them to their end.
async fn run_streams(target: CallTarget) {
    let callers: Vec<_> = (0..OPEN_STREAMS)
        .map(|_| {
            tokio::spawn(async move { call(&Caller::new("lodge-rental"), target, true).await })
        })
        .collect();
    for caller in callers {
        let _ = caller.await;
    }
}

/// Returns the peak growth of the resident memory while `work` runs, in bytes.
async fn resident_growth(work: impl Future<Output = ()>) -> f64 {
    let before = resident_bytes();
    let mut peak = before;
    tokio::pin!(work);
    loop {
        tokio::select! {
            () = &mut work => return peak - before,
            () = tokio::time::sleep(Duration::from_millis(20)) => peak = peak.max(resident_bytes()),
        }
    }
}

/// Returns the resident memory of the process, in bytes.
fn resident_bytes() -> f64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status
        .lines()
        .find(|line| line.starts_with("VmRSS:"))
        .unwrap_or_default();
    let kibibytes = line
        .split_whitespace()
        .nth(1)
        .and_then(|text| text.parse::<f64>().ok());
    kibibytes.unwrap_or(0.0) * 1_024.0
}

/// Returns the processor time that the entry host's threads have used, in seconds.
fn host_processor_seconds() -> f64 {
    let tasks = fs::read_dir("/proc/self/task")
        .into_iter()
        .flatten()
        .flatten();
    let stats = tasks.filter_map(|task| fs::read_to_string(task.path().join("stat")).ok());
    stats.filter_map(|stat| thread_seconds(&stat)).sum()
}

/// Reads the processor time from a thread's `stat` file, in seconds; `None` for other threads.
fn thread_seconds(stat: &str) -> Option<f64> {
    let (head, tail) = stat.rsplit_once(')')?;
    if !head.contains(HOST_THREAD_NAME) {
        return None;
    }
    let fields: Vec<&str> = tail.split_whitespace().collect();
    let user: f64 = fields.get(11)?.parse().ok()?;
    let system: f64 = fields.get(12)?.parse().ok()?;
    Some((user + system) / TICKS_PER_SECOND)
}

/// Returns the median; panics if there are no values.
fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}

/// Returns what the routed rounds add to the direct rounds, pair by pair.
fn differences(
    direct: &[RoundLatency],
    routed: &[RoundLatency],
    field: fn(&RoundLatency) -> f64,
) -> Vec<f64> {
    direct
        .iter()
        .zip(routed)
        .map(|(direct, routed)| field(routed) - field(direct))
        .collect()
}

/// Builds the report; `met` says whether the latency targets are met.
fn build_report(
    saturation: Saturation,
    rate: f64,
    direct: &[RoundLatency],
    routed: &[RoundLatency],
    stream: StreamCost,
) -> Value {
    let added_p50 = differences(direct, routed, |round| round.p50);
    let added_p99 = differences(direct, routed, |round| round.p99);
    let (p50, p99) = (median(added_p50.clone()), median(added_p99.clone()));
    json!({
        "saturation_requests_per_second": saturation.requests_per_second,
        "requests_per_core_second": saturation.requests_per_core_second,
        "rate_requests_per_second": rate,
        "direct_p50_us": median(direct.iter().map(|round| round.p50).collect()),
        "direct_p99_us": median(direct.iter().map(|round| round.p99).collect()),
        "added_p50_us": p50,
        "added_p99_us": p99,
        "added_p50_us_rounds": added_p50,
        "added_p99_us_rounds": added_p99,
        "added_bytes_per_open_stream": stream.bytes_per_stream,
        "host_micros_per_stream_event": stream.micros_per_event,
        "met": p50 <= TARGET_P50_MICROS && p99 <= TARGET_P99_MICROS,
    })
}

/// Prints the report as JSON or with one figure per line.
fn print_report(report: &Value, as_json: bool) {
    if as_json {
        println!("{report}");
        return;
    }
    for (name, value) in report.as_object().into_iter().flatten() {
        println!("{name:<32} {value}");
    }
}
