//! A roll-out driven by `admin` commands whose candidate turns bad: creation, automatic brake on
//! ratings, and usage export.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use galenamast_fakes::EngineOptions;
use galenamast_testbed::{Caller, DeploymentOptions};
use serde_json::Value;

use crate::support::{OperatorBench, WAIT_TIMEOUT};

/// Declares a workspace and a model with a baseline `v1` and a candidate `v2`.
const FILES: &str = "\
[workspace press-room]
allowed = drafting@v1, drafting@v2
[version drafting@v1]
pool = consejero
prior_quality = 0.9
[version drafting@v2]
pool = consejero
prior_quality = 0.9
stage = withdrawn
";
/// Requests sent while both versions are good.
const GOOD_REQUESTS: usize = 80;
/// Greatest number of requests until the bad version must be braked.
const BAD_REQUESTS: usize = 2_000;
/// Requests sent after the brake, none of which may reach the bad version.
const REQUESTS_AFTER_BRAKE: usize = 40;

/// Sends requests; returns the request identifier and the answering version of each.
async fn send(caller: &Caller, host: SocketAddr, requests: usize) -> Vec<(String, String)> {
    let mut answers = Vec::new();
    for _ in 0..requests {
        let reply = caller.chat(host, "draft it", &[]).await;
        let reply = reply.expect("the host answers");
        assert_eq!(reply.status, 200, "{}", reply.json());
        let header = |name| reply.header(name).unwrap_or_default().to_owned();
        answers.push((header("x-request-id"), header("x-version")));
    }
    // Ratings reach the host after the answers.
    tokio::time::sleep(Duration::from_millis(20)).await;
    answers
}

/// Starts a host whose engines give both versions the same quality.
async fn start() -> OperatorBench {
    let versions = ["drafting@v1", "drafting@v2"].map(|version| (version.to_owned(), 0.9));
    let engine = EngineOptions {
        versions: versions.into(),
        ..Default::default()
    };
    OperatorBench::start_with(DeploymentOptions {
        domains: vec!["cumbre".into()],
        engine,
        ..DeploymentOptions::nieve_alta()
    })
    .await
}

/// Polls the status until a condition holds and returns it; panics after `WAIT_TIMEOUT`.
async fn wait_for_status(bench: &OperatorBench, holds: impl Fn(&Value) -> bool) -> Value {
    let waiting = async {
        loop {
            let status = bench.admin("read", "status").await.json();
            if holds(&status) {
                return status;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(WAIT_TIMEOUT, waiting)
        .await
        .expect("the status meets the condition within WAIT_TIMEOUT")
}

/// Creates the declared objects, a key and the roll-out by commands; returns the key.
async fn create(bench: &OperatorBench) -> String {
    let file = bench.write_file("press.ini", FILES);
    let apply = format!("apply {file} --reason prepare --wait");
    assert_eq!(bench.admin("operate", &apply).await.json()["generation"], 2);
    let words = "key create press-room --reason first --wait";
    let created = bench.admin("administer", words).await.json();
    let start = "rollout start r1 --model drafting --candidate v2 --baseline v1 \
                 --step-shares 500,1000 --reason try --wait";
    let started = bench.admin("operate", start).await;
    assert_eq!(started.code, 0, "{}", started.error);
    created["key"].as_str().expect("a key is shown").to_owned()
}

/// Checks that the usage export has exactly one record for each answered request.
async fn assert_exported(bench: &OperatorBench, answers: &[(String, String)]) {
    let expected: BTreeSet<&str> = answers.iter().map(|(id, _)| id.as_str()).collect();
    assert_eq!(expected.len(), answers.len());
    let waiting = async {
        loop {
            let result = bench.admin("read", "usage --workspace press-room").await;
            assert_eq!(result.code, 0, "{}", result.error);
            let lines = result.output.lines();
            let records: Vec<Value> = lines
                .map(|line| serde_json::from_str(line).expect("a line is JSON"))
                .collect();
            assert!(records.len() <= answers.len(), "a request is billed twice");
            if records.len() == answers.len() {
                return records;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    let records = tokio::time::timeout(WAIT_TIMEOUT, waiting).await;
    let records = records.expect("every request reaches the platform");
    let found = records.iter().map(|record| record["request_id"].as_str());
    let found: BTreeSet<&str> = found.map(|id| id.expect("an identifier")).collect();
    assert_eq!(found, expected);
}

#[tokio::test]
async fn a_bad_candidate_is_braked_and_every_request_is_exported_once() {
    let bench = start().await;
    let caller = Caller::with_key(&create(&bench).await);
    let host = bench.host.caller_address();
    let mut answers = send(&caller, host, GOOD_REQUESTS).await;
    assert!(answers.iter().any(|(_, version)| version == "v2"));
    let before = bench.admin("read", "status").await.json();
    assert_eq!(before["brakes"].as_array().map(Vec::len), Some(0));

    for engine in bench.deployment.engines.values() {
        engine.change(|options| {
            options.versions.insert("drafting@v2".into(), 0.4);
        });
    }
    let braked = || !bench.host.context().brake_notes.load().is_empty();
    for _ in 0..BAD_REQUESTS / 10 {
        if braked() {
            break;
        }
        answers.extend(send(&caller, host, 10).await);
    }
    let status = wait_for_status(&bench, |status| {
        status["rollouts"][0]["phase"] == "braked" && status["brakes"][0].is_object()
    })
    .await;
    let brake = &status["brakes"][0];
    assert_eq!(brake["host"], "cumbre-host-0");
    assert_eq!(brake["version"]["version"], "v2");
    assert!(["worse_ratings", "more_low_ratings"].contains(&brake["evidence"].as_str().unwrap()));
    let leases = status["leases"].as_array().expect("leases are listed");
    let held = leases
        .iter()
        .filter(|lease| lease["holder"] == "cumbre-host-0");
    assert!(held.count() > 0, "{leases:?}");
    assert!(status["buffers"]["usage_held_bytes"].is_number());
    assert!(status["buffers"]["accused_requests"].is_number());

    let answers_after_brake = send(&caller, host, REQUESTS_AFTER_BRAKE).await;
    assert!(
        answers_after_brake
            .iter()
            .all(|(_, version)| version == "v1")
    );
    answers.extend(answers_after_brake);
    assert_exported(&bench, &answers).await;
}
