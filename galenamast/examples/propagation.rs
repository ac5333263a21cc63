//! Measures how long an accepted configuration change takes until every entry host has adopted it,
//! and how long after an accepted withdrawal the engines still receive work for the version.
//!
//! Nine entry hosts run in one process, each on its own threads, and communicate over the loopback
//! interface; delays between failure domains are not emulated. `--json` prints one JSON object. The
//! exit code is 0 only if every maximum is within the target.

use std::error::Error;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use galenamast::config::Settings;
use galenamast::coordination::{ConfigChange, ConfigObject};
use galenamast::state::{ConfigGeneration, PoolSpec, VersionStage};
use galenamast::transport::{ConfigWriter, HttpClient, ObjectClient, TimerService};
use galenamast_testbed::{Caller, Deployment, DeploymentOptions, Fleet};
use hdrhistogram::Histogram;
use serde_json::{Value, json};
use tokio::task::JoinHandle;

/// Target for the time until every host has adopted a change, and until the last new work of a
/// withdrawn version.
const TARGET: Duration = Duration::from_secs(8);
/// Number of entry hosts of each fleet.
const HOSTS: usize = 9;
/// Number of changes measured without a fault.
const HEALTHY_CHANGES: usize = 40;
/// Number of changes measured with a slow platform.
const SLOW_CHANGES: usize = 12;
/// Delay of each call to the slow platform.
const SLOW_CALL_DELAY: Duration = Duration::from_millis(500);
/// Time between two restarts of a host.
const RESTART_PERIOD: Duration = Duration::from_secs(10);
/// Number of measured restarts.
const RESTARTS: usize = 4;
/// Number of measured withdrawals.
const WITHDRAWALS: usize = 5;
/// Time between two changes.
const CHANGE_GAP: Duration = Duration::from_millis(200);
/// Interval between two readings of the hosts' or engines' state.
const POLL_INTERVAL: Duration = Duration::from_millis(1);
/// Time without new work after which a version counts as stopped.
const QUIET_TIME: Duration = Duration::from_secs(2);
/// Timeout of one measurement.
const MEASURE_LIMIT: Duration = Duration::from_secs(60);
/// Pause between the calls of one caller.
const CALL_GAP: Duration = Duration::from_millis(5);

/// Measured times of one case, in milliseconds.
#[derive(Debug)]
struct CaseFigures {
    case: &'static str,
    millis: Histogram<u64>,
}

impl CaseFigures {
    /// Creates a case without measured times.
    fn new(case: &'static str) -> Result<Self, Box<dyn Error>> {
        let millis = Histogram::new(3)?;
        Ok(Self { case, millis })
    }

    /// Adds a measured time.
    fn add(&mut self, time: Duration) -> Result<(), Box<dyn Error>> {
        let millis = u64::try_from(time.as_millis())?;
        Ok(self.millis.record(millis)?)
    }

    /// Returns whether every measured time is within the target.
    fn meets_target(&self) -> bool {
        u128::from(self.millis.max()) <= TARGET.as_millis()
    }

    /// Returns the case's entry in the JSON report.
    fn to_json(&self) -> Value {
        json!({
            "case": self.case,
            "count": self.millis.len(),
            "p50_ms": self.millis.value_at_quantile(0.5),
            "p99_ms": self.millis.value_at_quantile(0.99),
            "max_ms": self.millis.max(),
            "holds": self.meets_target(),
        })
    }
}

/// A fleet under measurement and a writer of its configuration.
struct Bench {
    fleet: Fleet,
    writer: ConfigWriter,
    changes: u32,
}

impl Bench {
    /// Starts nine hosts, spread evenly over the failure domains of a deployment.
    async fn start(options: DeploymentOptions) -> Result<Self, Box<dyn Error>> {
        let domains = options.domains.clone();
        let deployment = Deployment::without_hosts(options).await?;
        let address = deployment.objects.address();
        let client = ObjectClient::new(HttpClient::new(), address, MEASURE_LIMIT);
        let mut fleet = Fleet::without_hosts(deployment);
        for index in 0..HOSTS {
            let domain = &domains[index % domains.len()];
            let name = format!("host-{index}");
            fleet.add_with(&name, domain, use_defaults).await?;
        }
        fleet.wait_until_converged().await;
        Ok(Self {
            fleet,
            writer: ConfigWriter::new(&client, TimerService::system()),
            changes: 0,
        })
    }

    /// Puts an object into the configuration; returns the generation and the time of acceptance.
    async fn change(
        &mut self,
        put: ConfigObject,
    ) -> Result<(ConfigGeneration, Instant), Box<dyn Error>> {
        self.changes += 1;
        let change = ConfigChange {
            change_id: format!("change-{}", self.changes),
            puts: vec![put],
            ..Default::default()
        };
        let result = self.writer.apply(&change, false).await;
        let receipt = result.map_err(|refusal| format!("{refusal:?}"))?;
        Ok((receipt.generation, Instant::now()))
    }

    /// Changes a pool; returns the time until every host has adopted the change.
    async fn propagate(&mut self) -> Result<Duration, Box<dyn Error>> {
        let pool = PoolSpec {
            name: "measured".into(),
            slots_per_server: self.changes + 1,
            ..Default::default()
        };
        let (generation, accepted) = self.change(ConfigObject::Pool(pool)).await?;
        let everywhere = async {
            let is_behind = || {
                let mut hosts = self.fleet.hosts.values();
                hosts.any(|host| host.generation() < generation)
            };
            while is_behind() {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        };
        // A change that is not adopted in time counts with the timeout, which misses the target.
        let _ = tokio::time::timeout(MEASURE_LIMIT, everywhere).await;
        let time = accepted.elapsed();
        tokio::time::sleep(CHANGE_GAP).await;
        Ok(time)
    }

    /// Measures a number of changes under the faults that are currently set.
    async fn measure(
        &mut self,
        case: &'static str,
        count: usize,
    ) -> Result<CaseFigures, Box<dyn Error>> {
        let mut figures = CaseFigures::new(case)?;
        for _ in 0..count {
            figures.add(self.propagate().await?)?;
        }
        Ok(figures)
    }

    /// Measures changes while hosts are killed and restarted in turn at a fixed period; a restarted
    /// host has to adopt each change as well.
    async fn measure_restarts(&mut self) -> Result<CaseFigures, Box<dyn Error>> {
        let mut figures = CaseFigures::new("restarts")?;
        let names: Vec<String> = self.fleet.hosts.keys().cloned().collect();
        for name in names.iter().take(RESTARTS) {
            let domain = self.fleet.hosts[name].domain.clone();
            self.fleet.kill(name);
            self.fleet.add_with(name, &domain, use_defaults).await?;
            let restarted = Instant::now();
            while restarted.elapsed() < RESTART_PERIOD {
                figures.add(self.propagate().await?)?;
            }
        }
        Ok(figures)
    }

    /// Measures the time from an accepted withdrawal to the version's last new work at the engines.
    async fn measure_withdrawals(&mut self) -> Result<CaseFigures, Box<dyn Error>> {
        let mut figures = CaseFigures::new("withdrawal")?;
        let callers = Callers::start(&self.fleet);
        for _ in 0..WITHDRAWALS {
            self.set_stage(VersionStage::Established).await?;
            let before = self.runs();
            while self.runs() < before + HOSTS {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
            let accepted = self.set_stage(VersionStage::Withdrawn).await?;
            let mut last_work = accepted;
            let mut last_runs = self.runs();
            while last_work.elapsed() < QUIET_TIME && accepted.elapsed() < MEASURE_LIMIT {
                tokio::time::sleep(POLL_INTERVAL).await;
                let runs = self.runs();
                if runs != last_runs {
                    (last_runs, last_work) = (runs, Instant::now());
                }
            }
            figures.add(last_work - accepted)?;
        }
        let calls = callers.stop().await;
        eprintln!("withdrawal: {calls} calls were answered meanwhile");
        Ok(figures)
    }

    /// Sets the stage of the measured version; returns the time of acceptance.
    async fn set_stage(&mut self, stage: VersionStage) -> Result<Instant, Box<dyn Error>> {
        let documents = self.fleet.deployment.default_documents();
        let model = documents.into_iter().find_map(|document| match document {
            ConfigObject::Model(model) => Some(model),
            _ => None,
        });
        let mut model = model.ok_or("the deployment has a model")?;
        let version = model.versions.get_mut(&"large".into());
        version.ok_or("the model has the version")?.stage = stage;
        Ok(self.change(ConfigObject::Model(model)).await?.1)
    }

    /// Returns how many requests the engines ran with the measured version.
    fn runs(&self) -> usize {
        let runs = self.fleet.engine_runs().into_iter();
        runs.filter(|run| run.version == "advice@large").count()
    }
}

/// Replaces the probe times and limits that tests use by the defaults.
fn use_defaults(settings: &mut Settings) {
    let defaults = Settings::default();
    settings.peers.probe_period = defaults.peers.probe_period;
    settings.peers.suspicion_time = defaults.peers.suspicion_time;
    settings.peers.bytes_per_second = defaults.peers.bytes_per_second;
    settings.platform.calls_per_second = defaults.platform.calls_per_second;
}

/// Callers that send requests to all entry hosts, one per host.
struct Callers {
    stopping: Arc<AtomicBool>,
    answered: Arc<AtomicUsize>,
    tasks: Vec<JoinHandle<()>>,
}

impl Callers {
    /// Starts a caller for each host.
    fn start(fleet: &Fleet) -> Self {
        let stopping = Arc::new(AtomicBool::new(false));
        let answered = Arc::new(AtomicUsize::new(0));
        let workspace = &fleet.deployment.options.workspaces[0];
        let call = |host| {
            let caller = Caller::new(workspace);
            let (stopping, answered) = (stopping.clone(), answered.clone());
            async move {
                while !stopping.load(Ordering::Relaxed) {
                    let reply = caller.chat(host, "measured", &[]).await;
                    if reply.is_ok_and(|reply| reply.status == 200) {
                        answered.fetch_add(1, Ordering::Relaxed);
                    }
                    tokio::time::sleep(CALL_GAP).await;
                }
            }
        };
        let hosts = fleet.addresses().into_iter();
        let tasks = hosts.map(|host| tokio::spawn(call(host))).collect();
        Self {
            stopping,
            answered,
            tasks,
        }
    }

    /// Stops the callers; returns the number of successful answers.
    async fn stop(self) -> usize {
        self.stopping.store(true, Ordering::Relaxed);
        for task in self.tasks {
            let _ = task.await;
        }
        self.answered.load(Ordering::Relaxed)
    }
}

/// Measures all cases over the failure domains of a deployment.
async fn measure_fleet(options: DeploymentOptions) -> Result<Vec<CaseFigures>, Box<dyn Error>> {
    let mut bench = Bench::start(options).await?;
    let healthy = bench.measure("healthy", HEALTHY_CHANGES).await?;
    let withdrawal = bench.measure_withdrawals().await?;
    let restarts = bench.measure_restarts().await?;
    bench.fleet.wait_until_converged().await;
    bench
        .fleet
        .set_platform_faults(|plan| plan.delay = SLOW_CALL_DELAY);
    let slow = bench.measure("platform at 500 ms", SLOW_CHANGES).await?;
    bench
        .fleet
        .set_platform_faults(|plan| plan.delay = Duration::ZERO);
    bench.fleet.stop().await;
    Ok(vec![healthy, restarts, slow, withdrawal])
}

#[tokio::main]
async fn main() -> Result<ExitCode, Box<dyn Error>> {
    let as_json = std::env::args().any(|argument| argument == "--json");
    let fleets = [
        ("three domains", DeploymentOptions::saurashtra()),
        ("four domains", DeploymentOptions::nieve_alta()),
    ];
    let mut output = Vec::new();
    let mut all_met = true;
    for (name, options) in fleets {
        let figures = measure_fleet(options).await?;
        for case in &figures {
            all_met &= case.meets_target();
            let value = case.to_json();
            if !as_json {
                println!(
                    "{name:14} {:20} {:4} changes, p50 {:6} ms, p99 {:6} ms, max {:6} ms",
                    case.case, value["count"], value["p50_ms"], value["p99_ms"], value["max_ms"]
                );
            }
            output.push(json!({ "fleet": name, "figures": value }));
        }
    }
    let target_ms = u64::try_from(TARGET.as_millis())?;
    if as_json {
        let report =
            json!({ "hosts": HOSTS, "target_ms": target_ms, "holds": all_met, "cases": output });
        println!("{report}");
    } else {
        println!(
            "target {target_ms} ms: {}",
            if all_met { "holds" } else { "missed" }
        );
    }
    Ok(ExitCode::from(u8::from(!all_met)))
}
