//! Offers more requests than a pool can serve and checks which are answered and which are refused.
//!
//! Callers send at a fixed mean rate whether or not answers arrive (open loop), first at 100 % and
//! then at 130 % of the pool's capacity; one workspace is large and one small. The engines have a
//! fixed number of slots and a fixed service time. `--seconds N` sets the duration of each load, 60
//! by default; `--seed N` sets the seed of the arrivals, 1 by default; `--json` prints one JSON
//! object. The exit code is 0 only if every expectation is met.

use std::collections::BTreeSet;
use std::error::Error;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use galenamast::config::Settings;
use galenamast::coordination::ConfigObject;
use galenamast::event_loop::EntryHost;
use galenamast_fakes::EngineOptions;
use galenamast_testbed::{Caller, CallerReply, Deployment, DeploymentOptions, publish_config};
use http::Method;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};
use tokio::task::JoinSet;

/// Requests that an engine runs at once.
const SLOTS_PER_ENGINE: usize = 8;
/// Number of engines in the pool.
const ENGINES: usize = 4;
/// Time for which a request holds a slot.
const SERVICE_TIME: Duration = Duration::from_millis(100);
/// Deadline of each request, in milliseconds.
const DEADLINE_MILLIS: &str = "2000";
/// Share of all requests that the small workspace sends.
const SMALL_SHARE: f64 = 0.05;
/// Default duration of each load, in seconds.
const DEFAULT_SECONDS: u64 = 60;
/// Offered load of the reference run, relative to capacity.
const FULL_LOAD: f64 = 1.0;
/// Offered load of the overload run, relative to capacity.
const OVERLOAD: f64 = 1.3;
/// Lowest accepted goodput under overload, relative to that at full load.
const MIN_GOODPUT_RATIO: f64 = 0.9;
/// Lowest accepted share of the small workspace's requests that are answered under overload.
const MIN_SMALL_ANSWERED: f64 = 0.9;
/// Workspaces, the large one first.
const WORKSPACES: [&str; 2] = ["lodge-rental", "ski-school"];

/// The answer to one request; the status is 0 if none arrived.
#[derive(Clone, Debug)]
struct Outcome {
    workspace: usize,
    status: u16,
    code: String,
    run: String,
    request_id: String,
    has_retry_after: bool,
    elapsed: Duration,
}

/// Results of one load; `answered` holds the answered share by workspace.
#[derive(Clone, Debug)]
struct LoadReport {
    offered: usize,
    goodput: f64,
    answered: [f64; 2],
    outcomes: Vec<Outcome>,
}

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let seconds = argument("--seconds").unwrap_or(DEFAULT_SECONDS);
    let seed = argument("--seed").unwrap_or(1);
    let deployment = start_deployment().await?;
    let host = deployment.addresses()[0];
    let time = Duration::from_secs(seconds);
    let full = run_load(host, FULL_LOAD, time, seed).await;
    let over = run_load(host, OVERLOAD, time, seed + 1).await;
    let report = build_report(&deployment, seconds, seed, &full, &over);
    print_report(&report);
    deployment.stop().await;
    if report["met"] == true {
        Ok(())
    } else {
        Err("an expectation is not met".into())
    }
}

/// Returns the number that follows an argument, or `None` if it is missing or not a number.
fn argument(name: &str) -> Option<u64> {
    let mut arguments = std::env::args().skip_while(|argument| argument != name);
    arguments.nth(1)?.parse().ok()
}

/// Starts one entry host and the pool, with limits of workspaces that no load reaches.
async fn start_deployment() -> Result<Deployment, Box<dyn Error>> {
    let base = DeploymentOptions::nieve_alta();
    let options = DeploymentOptions {
        domains: vec!["cumbre".into()],
        engines_per_domain: ENGINES,
        services_per_domain: 0,
        engine: EngineOptions {
            first_token: SERVICE_TIME,
            slots: Some(SLOTS_PER_ENGINE),
            ..base.engine.clone()
        },
        ..base
    };
    let mut deployment = Deployment::without_hosts(options).await?;
    let mut documents = deployment.default_documents();
    for document in &mut documents {
        match document {
            ConfigObject::Pool(pool) => pool.slots_per_server = SLOTS_PER_ENGINE as u32,
            ConfigObject::Workspace(workspace) => {
                workspace.limits.requests_per_second = 1e6;
                workspace.limits.max_in_flight = 1_000_000;
            }
            _ => {}
        }
    }
    publish_config(
        &deployment.objects,
        galenamast::state::ConfigGeneration(2),
        &documents,
    )?;
    let settings: Settings = deployment.host_settings("host-0", "cumbre");
    let host = EntryHost::start(settings).await?;
    deployment.hosts.insert("host-0".into(), host);
    deployment.wait_until_ready().await;
    Ok(deployment)
}

/// Sends requests at `load` times the pool's capacity and waits for all answers.
async fn run_load(host: SocketAddr, load: f64, time: Duration, seed: u64) -> LoadReport {
    let capacity = (ENGINES * SLOTS_PER_ENGINE) as f64 / SERVICE_TIME.as_secs_f64();
    let mut generator = ChaCha8Rng::seed_from_u64(seed);
    let callers = WORKSPACES.map(Caller::new);
    let mut calls = JoinSet::new();
    let start = Instant::now();
    let mut due = Duration::ZERO;
    while due < time {
        let draw: f64 = generator.random_range(f64::EPSILON..1.0);
        due += Duration::from_secs_f64(-draw.ln() / (load * capacity));
        let workspace = usize::from(generator.random_bool(SMALL_SHARE));
        tokio::time::sleep_until((start + due).into()).await;
        calls.spawn(call(callers[workspace].clone(), workspace, host));
    }
    let outcomes = calls.join_all().await;
    let seconds = start.elapsed().as_secs_f64();
    let good = outcomes.iter().filter(|outcome| outcome.status == 200);
    LoadReport {
        offered: outcomes.len(),
        goodput: good.count() as f64 / seconds,
        answered: [0, 1].map(|workspace| answered_share(&outcomes, workspace)),
        outcomes,
    }
}

/// Returns the share of a workspace's requests that were answered.
fn answered_share(outcomes: &[Outcome], workspace: usize) -> f64 {
    let own = outcomes
        .iter()
        .filter(|outcome| outcome.workspace == workspace);
    let answered = own.clone().filter(|outcome| outcome.status == 200).count();
    answered as f64 / own.count().max(1) as f64
}

/// Sends one request and returns its outcome.
async fn call(caller: Caller, workspace: usize, host: SocketAddr) -> Outcome {
    let message = json!({ "role": "user", "content": "which boot size?" });
    let body = json!({ "model": "auto", "messages": [message] });
    let headers = [("x-deadline-ms", DEADLINE_MILLIS)];
    let path = "/v1/chat/completions";
    let sent = Instant::now();
    let reply = caller.send(Method::POST, host, path, Some(&body), &headers);
    let reply = reply.await.ok();
    let error = reply.as_ref().map(CallerReply::json).unwrap_or_default();
    let field = |name: &str| error[name].as_str().unwrap_or_default().to_owned();
    let header = |name| reply.as_ref().and_then(|reply| reply.header(name));
    Outcome {
        workspace,
        status: reply.as_ref().map_or(0, |reply| reply.status),
        code: field("code"),
        run: field("run"),
        request_id: header("x-request-id").unwrap_or_default().to_owned(),
        has_retry_after: header("retry-after").is_some(),
        elapsed: sent.elapsed(),
    }
}

/// Builds the report of both loads; `met` says whether every expectation is met.
fn build_report(
    deployment: &Deployment,
    seconds: u64,
    seed: u64,
    full: &LoadReport,
    over: &LoadReport,
) -> Value {
    let runs: BTreeSet<String> = deployment
        .engines
        .values()
        .flat_map(|engine| engine.runs())
        .map(|run| run.request_id)
        .collect();
    let all = || full.outcomes.iter().chain(&over.outcomes);
    let refused = || all().filter(|outcome| outcome.run == "not_run");
    let refused_but_run = refused()
        .filter(|outcome| runs.contains(&outcome.request_id))
        .count();
    let without_request_id = all()
        .filter(|outcome| outcome.request_id.is_empty())
        .count();
    let without_retry = refused().filter(|outcome| !outcome.has_retry_after).count();
    let answered_without_run = all()
        .filter(|outcome| outcome.status == 200 && !runs.contains(&outcome.request_id))
        .count();
    let ratio = over.goodput / full.goodput;
    let consistent = refused_but_run == 0
        && without_request_id == 0
        && answered_without_run == 0
        && without_retry == 0;
    json!({
        "seconds_per_load": seconds,
        "seed": seed,
        "full_load": load_figures(full),
        "overload": load_figures(over),
        "goodput_ratio": ratio,
        "refusals": refused().count(),
        "untrue_refusals": refused_but_run,
        "refusals_without_retry_after": without_retry,
        "answers_without_run": answered_without_run,
        "outcomes_without_request_id": without_request_id,
        "met": ratio >= MIN_GOODPUT_RATIO && consistent && over.answered[1] >= MIN_SMALL_ANSWERED,
    })
}

/// Builds the part of the report for one load.
fn load_figures(load: &LoadReport) -> Value {
    let mut kinds = std::collections::BTreeMap::<String, usize>::new();
    for outcome in &load.outcomes {
        let kind = format!("{} {} {}", outcome.status, outcome.code, outcome.run);
        *kinds.entry(kind.trim_end().to_owned()).or_default() += 1;
    }
    let good = |outcome: &&Outcome| outcome.status == 200;
    json!({
        "offered": load.offered,
        "goodput_per_second": load.goodput,
        "answered_share_large": load.answered[0],
        "answered_share_small": load.answered[1],
        "answer_p50_ms": quantile(load.outcomes.iter().filter(good), 0.5),
        "answer_p99_ms": quantile(load.outcomes.iter().filter(good), 0.99),
        "refusal_p50_ms": quantile(load.outcomes.iter().filter(|outcome| !good(outcome)), 0.5),
        "outcomes": kinds,
    })
}

/// Returns a quantile of the time to the whole answer, in milliseconds; 0 without outcomes.
fn quantile<'a>(outcomes: impl Iterator<Item = &'a Outcome>, quantile: f64) -> u64 {
    let mut times: Vec<u128> = outcomes
        .map(|outcome| outcome.elapsed.as_millis())
        .collect();
    times.sort_unstable();
    let index = (times.len() as f64 * quantile) as usize;
    times.get(index).map_or(0, |time| *time as u64)
}

/// Prints the report as JSON or with one figure per line.
fn print_report(report: &Value) {
    if std::env::args().any(|argument| argument == "--json") {
        println!("{report}");
        return;
    }
    for (name, value) in report.as_object().into_iter().flatten() {
        println!("{name:<32} {value}");
    }
}
