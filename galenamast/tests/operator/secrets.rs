//! Log lines contain neither secrets nor prompt text, and `admin decisions` follows decisions.

use std::fs;

use galenamast::config::LoggingSettings;
use galenamast::logging::start_logging;
use galenamast::transport::HttpClient;
use galenamast::transport::http_client::json_request;
use http::{Method, header};
use log::LevelFilter;
use serde_json::{Value, json};

use crate::support::{OperatorBench, WAIT_TIMEOUT};

/// Prompt text that must not appear in the log.
const PROMPT: &str = "the skier weighs seventy-two kilograms";

#[tokio::test]
async fn log_lines_are_json_without_secrets_or_prompts() {
    let directory = tempfile::tempdir().expect("a temporary directory can be made");
    let path = directory.path().join("log");
    let settings = LoggingSettings {
        file: Some(path.clone()),
        level: LevelFilter::Trace,
        ..Default::default()
    };
    start_logging(&settings).expect("the log can be opened");
    let bench = OperatorBench::start().await;
    let workspace = bench.deployment.options.workspaces[0].clone();
    let words = format!("key create {workspace} --reason new-till --wait");
    let created = bench.admin("administer", &words).await.json();
    let key = created["key"].as_str().expect("a key is shown").to_owned();
    let followed = bench.admin("read", "decisions --count 1");
    let requests = async {
        loop {
            send_prompt(&bench, &key).await;
            tokio::time::sleep(std::time::Duration::from_millis(20)).await;
        }
    };
    let followed = tokio::select! {
        followed = followed => followed,
        () = requests => unreachable!("the requests are sent in an endless loop"),
        () = tokio::time::sleep(WAIT_TIMEOUT) => panic!("no decision was followed"),
    };
    let decision = followed.json();
    let line = decision["line_json"].as_str().unwrap_or_default();
    assert!(line.contains("\"event\":\"decision\""), "{line}");
    let log = fs::read_to_string(&path).expect("the log can be read");
    assert!(log.contains("\"event\":\"decision\""));
    assert!(log.contains("\"event\":\"config_changed\""));
    for line in log.lines() {
        let parsed: Value = serde_json::from_str(line).expect("a line is JSON");
        assert!(parsed["event"].is_string(), "{line}");
    }
    let caller_key = format!("{workspace}-key");
    for secret in [PROMPT, &key, "administer-token", "read-token", &caller_key] {
        assert!(!log.contains(secret), "the log contains {secret}");
    }
}

/// Sends a chat request with `PROMPT` and a workspace key.
async fn send_prompt(bench: &OperatorBench, key: &str) {
    let address = bench.host.caller_address().to_string();
    let body = json!({ "model": "auto", "messages": [{ "role": "user", "content": PROMPT }] });
    let mut request = json_request(Method::POST, &address, "/v1/chat/completions", Some(&body))
        .expect("the request can be built");
    let value = format!("Bearer {key}")
        .parse()
        .expect("a key is a header value");
    request.headers_mut().insert(header::AUTHORIZATION, value);
    let sent = HttpClient::new().send(&address, request).await;
    sent.expect("the host answers");
}
