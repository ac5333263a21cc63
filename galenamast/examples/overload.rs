//! Sends more requests than a pool can bear and checks what is answered and what is refused.
//!
//! Callers send at a fixed mean rate whether or not answers come (open loop), first at 100 % and
//! then at 130 % of the pool's capacity; one workspace is large and one small. The engines have a
//! fixed number of slots and a fixed service time. `--seconds N` sets the time of each load, a
//! minute by default; `--seed N` the arrivals; `--json` prints one JSON object. The program ends
//! with success only if every claim holds.

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
const SLOTS: usize = 8;
/// Engines of the pool.
const ENGINES: usize = 4;
/// Time for which a request holds a slot.
const SERVICE_TIME: Duration = Duration::from_millis(100);
/// Deadline of each request, in milliseconds.
const DEADLINE_MILLIS: &str = "2000";
/// Share of all requests that the small workspace sends.
const SMALL_SHARE: f64 = 0.05;
/// Time of each load when none is given, in seconds.
const DEFAULT_SECONDS: u64 = 60;
/// Offered load relative to capacity that the other load is compared with.
const FULL_LOAD: f64 = 1.0;
/// Offered load relative to capacity that is too much.
const OVERLOAD: f64 = 1.3;
/// Lowest goodput under overload, relative to that at full load.
const GOODPUT_RATIO: f64 = 0.9;
/// Lowest share of the small workspace's requests that are answered under overload.
const SMALL_ANSWERED: f64 = 0.9;
/// Workspaces, the large one first.
const WORKSPACES: [&str; 2] = ["lodge-rental", "ski-school"];

/// What a caller got for one request.
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

/// What became of the requests of one load.
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
        Err("a claim does not hold".into())
    }
}

/// Returns the number after an argument.
fn argument(name: &str) -> Option<u64> {
    let mut arguments = std::env::args().skip_while(|argument| argument != name);
    arguments.nth(1)?.parse().ok()
}

/// Starts one entry host and the pool.
async fn start_deployment() -> Result<Deployment, Box<dyn Error>> {
    let base = DeploymentOptions::nieve_alta();
    let options = DeploymentOptions {
        domains: vec!["cumbre".into()],
        engines_per_domain: ENGINES,
        services_per_domain: 0,
        engine: EngineOptions {
            first_token: SERVICE_TIME,
            slots: Some(SLOTS),
            ..base.engine.clone()
        },
        ..base
    };
    let mut deployment = Deployment::without_hosts(options).await?;
    let mut documents = deployment.default_documents();
    for document in &mut documents {
        match document {
            ConfigObject::Pool(pool) => pool.slots_per_server = SLOTS as u32,
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

/// Sends requests at a share of the pool's capacity and waits for all answers.
async fn run_load(host: SocketAddr, load: f64, time: Duration, seed: u64) -> LoadReport {
    let capacity = (ENGINES * SLOTS) as f64 / SERVICE_TIME.as_secs_f64();
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

/// Sends one request and notes what came of it.
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

/// Gathers the figures and says whether the claims hold.
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
    let untrue = refused()
        .filter(|outcome| runs.contains(&outcome.request_id))
        .count();
    let unnamed = all()
        .filter(|outcome| outcome.request_id.is_empty())
        .count();
    let without_retry = refused().filter(|outcome| !outcome.has_retry_after).count();
    let unrun = all()
        .filter(|outcome| outcome.status == 200 && !runs.contains(&outcome.request_id))
        .count();
    let ratio = over.goodput / full.goodput;
    let truthful = untrue == 0 && unnamed == 0 && unrun == 0 && without_retry == 0;
    json!({
        "seconds_per_load": seconds,
        "seed": seed,
        "full_load": load_figures(full),
        "overload": load_figures(over),
        "goodput_ratio": ratio,
        "refusals": refused().count(),
        "untrue_refusals": untrue,
        "refusals_without_retry_after": without_retry,
        "answers_without_run": unrun,
        "outcomes_without_request_id": unnamed,
        "met": ratio >= GOODPUT_RATIO && truthful && over.answered[1] >= SMALL_ANSWERED,
    })
}

/// Gathers the figures of one load.
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

/// Returns a quantile of the time to the final answer, in milliseconds.
fn quantile<'a>(outcomes: impl Iterator<Item = &'a Outcome>, quantile: f64) -> u64 {
    let mut times: Vec<u128> = outcomes
        .map(|outcome| outcome.elapsed.as_millis())
        .collect();
    times.sort_unstable();
    let place = (times.len() as f64 * quantile) as usize;
    times.get(place).map_or(0, |time| *time as u64)
}

/// Prints the figures, one a line or as JSON.
fn print_report(report: &Value) {
    if std::env::args().any(|argument| argument == "--json") {
        println!("{report}");
        return;
    }
    for (name, value) in report.as_object().into_iter().flatten() {
        println!("{name:<32} {value}");
    }
}
