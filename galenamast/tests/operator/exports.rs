//! Usage export, rotation of session keys, and resolution of claims by operators.

use std::time::Duration;

use galenamast::coordination::{BodyDigest, UsageBatch, UsageOrigin, UsageRecord};
use galenamast::event_loop::EntryHost;
use galenamast::state::{AttemptId, RequestId, ServerLifecycle, VersionKey};
use galenamast::transport::http_client::json_request;
use galenamast::transport::{ClaimRequest, ClaimVerdict, HttpClient};
use http::{Method, header};
use serde_json::{Value, json};

use crate::support::{OperatorBench, WAIT_TIMEOUT};

/// Returns a usage record of a workspace with the time at which its request ended.
fn record(workspace: &str, ended_unix_ms: u64) -> UsageRecord {
    UsageRecord {
        request_id: RequestId::generate(),
        workspace: workspace.into(),
        task: "boot-fitting".into(),
        version: Some(VersionKey::new("advice", "small")),
        input_tokens: 10,
        output_tokens: 20,
        price: 7,
        ended_unix_ms,
    }
}

#[tokio::test]
async fn each_request_is_exported_once() {
    let bench = OperatorBench::start().await;
    let early = record("counter", 1_000);
    let late = record("counter", 2_000);
    let other = record("auditors", 2_000);
    let batches = [vec![early.clone(), late.clone()], vec![late.clone(), other]];
    for (sequence, records) in batches.into_iter().enumerate() {
        let batch = UsageBatch {
            origin: UsageOrigin {
                host: "h".into(),
                incarnation: 1,
            },
            sequence: sequence as u64,
            records,
        };
        let value = serde_json::to_value(&batch).expect("a batch is JSON");
        let key = batch.object();
        bench.deployment.objects.put(&key.kind, &key.name, value);
    }
    let cases = [
        ("usage --workspace counter", vec![&early, &late]),
        (
            "usage --workspace counter --from 1970-01-01T00:00:01.500Z",
            vec![&late],
        ),
        (
            "usage --workspace counter --until 1970-01-01T00:00:02Z",
            vec![&early],
        ),
    ];
    for (words, expected) in cases {
        let result = bench.admin("read", words).await;
        assert_eq!(result.code, 0, "{}", result.error);
        let found: Vec<String> = result
            .output
            .lines()
            .map(|line| serde_json::from_str::<Value>(line).expect("a line is JSON"))
            .map(|value| value["request_id"].as_str().unwrap_or_default().to_owned())
            .collect();
        let expected: Vec<String> = expected
            .iter()
            .map(|record| record.request_id.to_string())
            .collect();
        assert_eq!(found, expected, "{words}");
    }
    let all = bench.admin("read", "usage").await;
    assert_eq!(all.output.lines().count(), 3);
}

#[tokio::test]
async fn session_keys_are_rotated_and_never_shown() {
    let bench = OperatorBench::start().await;
    let words = "key rotate-sessions --reason yearly --wait";
    let denied = bench.admin("operate", words).await;
    assert_eq!(denied.code, 4, "{}", denied.error);
    assert_eq!(bench.admin("administer", words).await.code, 0);
    let keys = |bench: &OperatorBench| bench.host.context().image.load().session_keys.clone();
    let first = keys(&bench).expect("there are keys");
    assert_eq!(bench.admin("administer", words).await.code, 0);
    let second = keys(&bench).expect("there are keys");
    assert_eq!(second.previous.as_ref(), Some(&first.current));
    assert_ne!(second.current, first.current);
    let shown = bench.admin("administer", "show").await;
    let secret = String::from(second.current.clone());
    assert!(!shown.output.contains(&secret));
}

#[tokio::test]
async fn an_operator_resolves_an_open_claim_once() {
    let bench = OperatorBench::start().await;
    let workspace = bench.deployment.options.workspaces[0].clone();
    let key = uuid::Uuid::now_v7().to_string();
    let claims = bench
        .host
        .context()
        .claims
        .clone()
        .expect("there are claims");
    let request = ClaimRequest {
        workspace: workspace.as_str().into(),
        key: key.clone(),
        body_digest: BodyDigest::of(b"deposit"),
        attempt: AttemptId::default(),
        request: RequestId::generate(),
    };
    let granted = claims.claim(request).await;
    let ClaimVerdict::Granted(ticket) = granted else {
        panic!("{granted:?}");
    };
    // A host that dies does not run the code that dropping the ticket runs.
    std::mem::forget(ticket);
    let words = format!("claim not-run {workspace} {key} --reason searched");
    assert_eq!(bench.admin("read", &words).await.code, 4);
    let resolved = bench.admin("operate", &words).await.json();
    assert_eq!(resolved["resolved"], true);
    let again = bench.admin("operate", &words).await.json();
    assert_eq!(again["resolved"], false);
    let wrong = format!("claim ran {workspace} {key} --reason searched --status 42");
    let refused = bench.admin("operate", &wrong).await;
    assert_eq!(
        refused.error,
        "invalid: status is 42, but must be 200 to 599"
    );
}

#[tokio::test]
async fn a_served_request_is_exported() {
    let bench = OperatorBench::start().await;
    let workspace = bench.deployment.options.workspaces[0].clone();
    let servers = bench.deployment.engines.len();
    let live = |host: &EntryHost| {
        let tables = host.context().tables.load();
        let servers = tables.servers.servers();
        servers
            .filter(|server| server.lifecycle == ServerLifecycle::Live)
            .count()
    };
    bench.wait_until(|host| live(host) >= servers).await;
    let address = bench.host.caller_address().to_string();
    let body = json!({ "model": "auto", "messages": [{ "role": "user", "content": "size?" }] });
    let mut request = json_request(Method::POST, &address, "/v1/chat/completions", Some(&body))
        .expect("the request can be built");
    let key = format!("Bearer {workspace}-key")
        .parse()
        .expect("a key is a header value");
    request.headers_mut().insert(header::AUTHORIZATION, key);
    let response = HttpClient::new().send(&address, request).await;
    let response = response.expect("the host answers");
    assert_eq!(response.status(), 200);
    let request_id = response.headers()["x-request-id"].clone();
    let words = format!("usage --workspace {workspace}");
    let export = async {
        loop {
            let result = bench.admin("read", &words).await;
            if !result.output.is_empty() {
                return result.json();
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    let exported = tokio::time::timeout(WAIT_TIMEOUT, export)
        .await
        .expect("the record reaches the platform");
    assert_eq!(exported["request_id"].as_str(), request_id.to_str().ok());
}
