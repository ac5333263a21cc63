//! Measures the cost of the control plane per entry host at several fleet sizes.
//!
//! Each entry host is a separate process on the loopback interface: this program starts itself as
//! `slopes host FILE`. Processor time and memory come from the kernel, control bytes and platform
//! calls from the hosts' statistics lines. `--json` prints one JSON object; `--sizes 4,8,16` sets
//! the numbers of entry hosts and `--seconds 20` the duration of each measurement.

use std::error::Error;
use std::fs;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use galenamast::config::load_settings;
use galenamast::event_loop;
use galenamast::logging::start_logging;
use galenamast_testbed::{Deployment, DeploymentOptions};
use serde_json::{Value, json};

/// Failure domains of the measured fleet, as many as in the target fleet.
const DOMAINS: [&str; 5] = ["d0", "d1", "d2", "d3", "d4"];
/// Default numbers of entry hosts to measure.
const DEFAULT_SIZES: [usize; 5] = [5, 10, 20, 40, 80];
/// Default duration of each measurement, in seconds.
const DEFAULT_SECONDS: u64 = 20;
/// Time per entry host, on top of [`SETTLE_TIME`], that a fleet settles before it is measured.
const SETTLE_TIME_PER_HOST: Duration = Duration::from_millis(150);
/// Time that a fleet of any size settles before it is measured.
const SETTLE_TIME: Duration = Duration::from_secs(10);
/// Clock ticks per second in the kernel's accounting of processor time.
const TICKS_PER_SECOND: f64 = 100.0;
/// Number of entry hosts of the target fleet.
const TARGET_HOSTS: f64 = 400.0;

/// An entry host process, with its latest statistics line; killed when dropped.
struct HostProcess {
    child: Child,
    statistics: Arc<Mutex<Value>>,
}

impl Drop for HostProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Resource use of a process since its start, and its resident memory, at one time.
#[derive(Clone, Copy, Debug, Default)]
struct ProcessReading {
    processor_seconds: f64,
    resident_mebibytes: f64,
    peer_bytes_sent: f64,
    peer_bytes_received: f64,
    platform_calls: f64,
}

fn main() -> Result<(), Box<dyn Error>> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    if let [mode, path] = arguments.as_slice()
        && mode == "host"
    {
        return run_host(Path::new(path));
    }
    let sizes = sizes_argument(&arguments)?;
    let seconds = seconds_argument(&arguments)?;
    let runtime = tokio::runtime::Runtime::new()?;
    let mut rows = Vec::new();
    for size in sizes {
        let row = runtime.block_on(measure_size(size, seconds))?;
        eprintln!("{row}");
        rows.push(row);
    }
    let report = json!({
        "seconds": seconds,
        "rows": rows,
        "slopes": slopes(&rows),
    });
    print_report(
        &report,
        arguments.iter().any(|argument| argument == "--json"),
    );
    Ok(())
}

/// Runs one entry host until it is killed.
fn run_host(path: &Path) -> Result<(), Box<dyn Error>> {
    let settings = load_settings(path)?;
    start_logging(&settings.logging)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(1)
        .enable_all()
        .build()?;
    Ok(runtime.block_on(event_loop::run(settings, || None))?)
}

/// Returns the value that follows an option.
fn option<'a>(arguments: &'a [String], name: &str) -> Option<&'a str> {
    let position = arguments.iter().position(|argument| argument == name)?;
    arguments.get(position + 1).map(String::as_str)
}

/// Returns the fleet sizes to measure.
fn sizes_argument(arguments: &[String]) -> Result<Vec<usize>, Box<dyn Error>> {
    let Some(text) = option(arguments, "--sizes") else {
        return Ok(DEFAULT_SIZES.to_vec());
    };
    Ok(text.split(',').map(str::parse).collect::<Result<_, _>>()?)
}

/// Returns the duration of each measurement, in seconds.
fn seconds_argument(arguments: &[String]) -> Result<u64, Box<dyn Error>> {
    Ok(option(arguments, "--seconds").map_or(Ok(DEFAULT_SECONDS), str::parse)?)
}

/// Starts a fleet of one size, measures it and stops it.
async fn measure_size(size: usize, seconds: u64) -> Result<Value, Box<dyn Error>> {
    let options = DeploymentOptions {
        domains: DOMAINS.map(String::from).to_vec(),
        engines_per_domain: 4,
        services_per_domain: 0,
        ..DeploymentOptions::nieve_alta()
    };
    let deployment = Deployment::without_hosts(options).await?;
    let directory = std::env::temp_dir().join(format!("slopes-{}", std::process::id()));
    fs::create_dir_all(&directory)?;
    let mut hosts = Vec::new();
    for index in 0..size {
        let path = write_settings(&directory, &deployment, index)?;
        hosts.push(start_host(&path)?);
    }
    tokio::time::sleep(SETTLE_TIME + SETTLE_TIME_PER_HOST * u32::try_from(size)?).await;
    let before: Vec<ProcessReading> = hosts.iter().map(read_process).collect();
    tokio::time::sleep(Duration::from_secs(seconds)).await;
    let after: Vec<ProcessReading> = hosts.iter().map(read_process).collect();
    let members = hosts
        .iter()
        .map(|host| statistic(host, "members"))
        .fold(f64::MAX, f64::min);
    drop(hosts);
    fs::remove_dir_all(&directory)?;
    Ok(summarize(size, seconds as f64, members, &before, &after))
}

/// Writes the settings file of an entry host; returns its path.
fn write_settings(
    directory: &Path,
    deployment: &Deployment,
    index: usize,
) -> std::io::Result<PathBuf> {
    let path = directory.join(format!("host-{index}.ini"));
    let domain = DOMAINS[index % DOMAINS.len()];
    let text = format!(
        "[host]\nname = host-{index}\ndomain = {domain}\n\
         [callers]\nlisten = 127.0.0.1:0\n[operators]\nlisten = 127.0.0.1:0\n\
         [peers]\nlisten = 127.0.0.1:0\n\
         [platform]\nobjects = {}\nhost_list = {}\n",
        deployment.objects.address(),
        deployment.host_list.address(),
    );
    fs::write(&path, text)?;
    Ok(path)
}

/// Starts an entry host and reads its statistics lines from its log.
fn start_host(settings: &Path) -> Result<HostProcess, Box<dyn Error>> {
    let mut child = Command::new(std::env::current_exe()?)
        .arg("host")
        .arg(settings)
        .stdout(Stdio::null())
        .stderr(Stdio::piped())
        .spawn()?;
    let stderr = child.stderr.take().ok_or("stderr is not piped")?;
    let statistics = Arc::new(Mutex::new(Value::Null));
    let latest = statistics.clone();
    std::thread::spawn(move || {
        for line in BufReader::new(stderr).lines().map_while(Result::ok) {
            let record: Value = serde_json::from_str(&line).unwrap_or(Value::Null);
            if record["event"] == "host_statistics" {
                *latest.lock().unwrap_or_else(PoisonError::into_inner) = record;
            }
        }
    });
    Ok(HostProcess { child, statistics })
}

/// Returns a field of the host's latest statistics line; 0 if there is none.
fn statistic(host: &HostProcess, name: &str) -> f64 {
    let statistics = host
        .statistics
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    statistics[name].as_f64().unwrap_or(0.0)
}

/// Reads the resource use of a host.
fn read_process(host: &HostProcess) -> ProcessReading {
    let directory = PathBuf::from(format!("/proc/{}", host.child.id()));
    let stat = fs::read_to_string(directory.join("stat")).unwrap_or_default();
    let status = fs::read_to_string(directory.join("status")).unwrap_or_default();
    ProcessReading {
        processor_seconds: processor_seconds(&stat),
        resident_mebibytes: resident_mebibytes(&status),
        peer_bytes_sent: statistic(host, "peer_bytes_sent"),
        peer_bytes_received: statistic(host, "peer_bytes_received"),
        platform_calls: statistic(host, "platform_calls"),
    }
}

/// Reads the processor time from a process's `stat` file, in seconds.
fn processor_seconds(stat: &str) -> f64 {
    let fields: Vec<&str> = stat
        .rsplit_once(')')
        .map(|(_, tail)| tail.split_whitespace().collect())
        .unwrap_or_default();
    let ticks = |index: usize| {
        fields
            .get(index)
            .and_then(|text| text.parse::<f64>().ok())
            .unwrap_or(0.0)
    };
    (ticks(11) + ticks(12)) / TICKS_PER_SECOND
}

/// Reads the resident memory from a process's `status` file, in mebibytes.
fn resident_mebibytes(status: &str) -> f64 {
    let line = status
        .lines()
        .find(|line| line.starts_with("VmRSS:"))
        .unwrap_or_default();
    let kibibytes = line
        .split_whitespace()
        .nth(1)
        .and_then(|text| text.parse::<f64>().ok());
    kibibytes.unwrap_or(0.0) / 1_024.0
}

/// Returns the mean and the greatest use per host of a fleet between two readings.
fn summarize(
    size: usize,
    seconds: f64,
    members: f64,
    before: &[ProcessReading],
    after: &[ProcessReading],
) -> Value {
    let rates = |field: fn(&ProcessReading) -> f64| -> Vec<f64> {
        let pairs = before.iter().zip(after);
        pairs
            .map(|(before, after)| (field(after) - field(before)) / seconds)
            .collect()
    };
    let processor = rates(|reading| reading.processor_seconds);
    let sent = rates(|reading| reading.peer_bytes_sent);
    let received = rates(|reading| reading.peer_bytes_received);
    let calls = rates(|reading| reading.platform_calls);
    let memory: Vec<f64> = after
        .iter()
        .map(|reading| reading.resident_mebibytes)
        .collect();
    json!({
        "hosts": size,
        "least_members_seen": members,
        "core_percent_mean": mean(&processor) * 100.0,
        "core_percent_max": greatest(&processor) * 100.0,
        "sent_bytes_per_second_mean": mean(&sent),
        "sent_bytes_per_second_max": greatest(&sent),
        "received_bytes_per_second_mean": mean(&received),
        "received_bytes_per_second_max": greatest(&received),
        "platform_calls_per_second_fleet": calls.iter().sum::<f64>(),
        "memory_mebibytes_mean": mean(&memory),
        "memory_mebibytes_max": greatest(&memory),
    })
}

/// Returns the mean; 0 without values.
fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

/// Returns the greatest value; 0 without values.
fn greatest(values: &[f64]) -> f64 {
    values.iter().copied().fold(0.0, f64::max)
}

/// Fits each figure linearly to the fleet size and extrapolates it to the target fleet.
fn slopes(rows: &[Value]) -> Value {
    let names = [
        "core_percent_mean",
        "sent_bytes_per_second_mean",
        "received_bytes_per_second_mean",
        "platform_calls_per_second_fleet",
        "memory_mebibytes_mean",
    ];
    let mut fitted = serde_json::Map::new();
    for name in names {
        let points: Vec<(f64, f64)> = rows
            .iter()
            .filter_map(|row| Some((row["hosts"].as_f64()?, row[name].as_f64()?)))
            .collect();
        let (intercept, slope) = fit_line(&points);
        let at_target = intercept + slope * TARGET_HOSTS;
        let line = json!({ "intercept": intercept, "per_host": slope, "at_400_hosts": at_target });
        fitted.insert(name.into(), line);
    }
    Value::Object(fitted)
}

/// Fits a line by least squares; returns its intercept and slope.
fn fit_line(points: &[(f64, f64)]) -> (f64, f64) {
    let count = points.len().max(1) as f64;
    let mean_x = points.iter().map(|point| point.0).sum::<f64>() / count;
    let mean_y = points.iter().map(|point| point.1).sum::<f64>() / count;
    let variance_sum: f64 = points.iter().map(|point| (point.0 - mean_x).powi(2)).sum();
    if variance_sum == 0.0 {
        return (mean_y, 0.0);
    }
    let covariance_sum: f64 = points
        .iter()
        .map(|point| (point.0 - mean_x) * (point.1 - mean_y))
        .sum();
    let slope = covariance_sum / variance_sum;
    (mean_y - slope * mean_x, slope)
}

/// Prints the report as JSON or with one block per fleet size.
fn print_report(report: &Value, as_json: bool) {
    if as_json {
        println!("{report}");
        return;
    }
    for row in report["rows"].as_array().into_iter().flatten() {
        println!("hosts {}", row["hosts"]);
        for (name, value) in row.as_object().into_iter().flatten() {
            println!("  {name:<36} {value}");
        }
    }
    for (name, line) in report["slopes"].as_object().into_iter().flatten() {
        println!("{name:<36} {line}");
    }
}
