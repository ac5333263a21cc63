//! Invalid requests of callers are refused with a clear error and never run.

use std::time::Duration;

use galenamast::config::Settings;
use galenamast_testbed::Deployment;
use serde_json::Value;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::support::{
    WORKSPACE, engine_runs, host_address, small_options, start_with, with_timeout,
};

/// Body of a valid request.
const VALID: &str = r#"{"model":"auto","messages":[{"role":"user","content":"boots"}]}"#;

/// Lowers the limits on what a caller may send.
fn strict_limits(settings: &mut Settings) {
    settings.callers.max_body_bytes = 2_048;
    settings.callers.read_timeout = Duration::from_millis(200);
}

/// Sends raw bytes and reads until the host closes the connection.
async fn send_raw(deployment: &Deployment, bytes: &[u8]) -> (u16, String) {
    let mut stream = TcpStream::connect(host_address(deployment))
        .await
        .expect("connects");
    // The host may refuse the request before it has read all of it.
    let _ = stream.write_all(bytes).await;
    let mut answer = Vec::new();
    let _ = with_timeout("the host answers", stream.read_to_end(&mut answer)).await;
    let text = String::from_utf8_lossy(&answer).into_owned();
    let status = text.split(' ').nth(1).and_then(|code| code.parse().ok());
    (status.unwrap_or(0), text)
}

/// Formats a request whose `content-length` matches its body.
fn request(line: &str, headers: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!(
        "{line} HTTP/1.1\r\nhost: entry\r\nconnection: close\r\n{headers}content-length: {length}\r\n\r\n{body}"
    )
    .into_bytes()
}

/// Returns the JSON body of an answer, or null if it has none.
fn json_body(text: &str) -> Value {
    let body = text.split_once("\r\n\r\n").map_or("", |(_, body)| body);
    serde_json::from_str(body).unwrap_or(Value::Null)
}

#[tokio::test]
async fn malformed_requests_are_refused_and_not_run() {
    let deployment = start_with(small_options(1), strict_limits).await;
    let chat = "POST /v1/chat/completions";
    let key = format!("authorization: Bearer {WORKSPACE}-key\r\n");
    let with = |header: &str| format!("{key}{header}\r\n");
    let large = "x".repeat(4_096);
    let other_model = VALID.replace("auto", "other");
    let table = [
        ("no key", chat, String::new(), VALID, 401, "unauthorized"),
        (
            "wrong key",
            chat,
            "authorization: Bearer no\r\n".into(),
            VALID,
            401,
            "unauthorized",
        ),
        (
            "not a bearer key",
            chat,
            "authorization: Basic no\r\n".into(),
            VALID,
            401,
            "unauthorized",
        ),
        ("no body", chat, key.clone(), "", 400, "bad_request"),
        ("not JSON", chat, key.clone(), "{", 400, "bad_request"),
        (
            "no message",
            chat,
            key.clone(),
            r#"{"messages":[]}"#,
            400,
            "bad_request",
        ),
        (
            "wrong type",
            chat,
            key.clone(),
            r#"{"messages":7}"#,
            400,
            "bad_request",
        ),
        ("too large", chat, key.clone(), &large, 413, "too_large"),
        (
            "other model",
            chat,
            key.clone(),
            &other_model,
            403,
            "forbidden",
        ),
        (
            "priority",
            chat,
            with("x-priority: soon"),
            VALID,
            400,
            "bad_request",
        ),
        (
            "deadline",
            chat,
            with("x-deadline-ms: soon"),
            VALID,
            400,
            "bad_request",
        ),
        (
            "deadline of zero",
            chat,
            with("x-deadline-ms: 0"),
            VALID,
            400,
            "bad_request",
        ),
        (
            "long idempotency key",
            chat,
            with(&format!("idempotency-key: {}", "k".repeat(256))),
            VALID,
            400,
            "bad_request",
        ),
        (
            "invalid idempotence",
            chat,
            with("x-non-idempotent: maybe"),
            VALID,
            400,
            "bad_request",
        ),
        (
            "no idempotency key",
            chat,
            with("x-non-idempotent: true"),
            VALID,
            428,
            "key_required",
        ),
        ("path", "GET /v2", key.clone(), "", 404, "not_found"),
        (
            "method",
            "GET /v1/chat/completions",
            key.clone(),
            "",
            405,
            "bad_request",
        ),
        (
            "models",
            "GET /v1/models",
            String::new(),
            "",
            401,
            "unauthorized",
        ),
    ];
    for (what, line, headers, body, status, code) in table {
        let (found, text) = send_raw(&deployment, &request(line, &headers, body)).await;
        let error = json_body(&text);
        assert_eq!(found, status, "{what}: {text}");
        assert_eq!(error["code"], code, "{what}");
        assert_eq!(error["run"], "not_run", "{what}");
        assert!(error["request_id"].is_string(), "{what}");
    }
    assert_eq!(engine_runs(&deployment), 0);
}

#[tokio::test]
async fn slow_and_oversized_senders_are_disconnected() {
    let deployment = start_with(small_options(1), strict_limits).await;
    let slow_head = b"POST /v1/chat/completions HTTP/1.1\r\nhost: entry\r\n";
    send_raw(&deployment, slow_head).await;
    let slow_body = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: entry\r\nconnection: close\r\n\
         authorization: Bearer {WORKSPACE}-key\r\ncontent-length: 500\r\n\r\n{{"
    );
    let (status, text) = send_raw(&deployment, slow_body.as_bytes()).await;
    assert_eq!(status, 408, "{text}");
    assert_eq!(json_body(&text)["run"], "not_run");
    let header = format!("x-filler: {}\r\n", "y".repeat(100_000));
    let (status, _) = send_raw(&deployment, &request("GET /readyz", &header, "")).await;
    assert_eq!(status, 431);
    assert_eq!(engine_runs(&deployment), 0);
}

#[tokio::test]
async fn a_workspace_lists_its_own_models() {
    let deployment = start_with(small_options(1), strict_limits).await;
    let key = format!("authorization: Bearer {WORKSPACE}-key\r\n");
    let (status, text) = send_raw(&deployment, &request("GET /v1/models", &key, "")).await;
    assert_eq!(status, 200);
    let list = json_body(&text);
    assert_eq!(list["data"][0]["id"], "advice");
    assert_eq!(
        list["data"][0]["versions"],
        serde_json::json!(["large", "small"])
    );
}

#[tokio::test]
async fn a_host_with_too_many_streams_refuses_another() {
    let deployment = start_with(small_options(1), |settings| {
        settings.callers.max_streams = 1;
    })
    .await;
    let engine = deployment.engines.values().next().expect("one engine");
    engine.change(|options| {
        options.token_gap = Duration::from_millis(20);
        options.answer_tokens = 100_000;
    });
    let held = crate::support::open_stream(&deployment, "boots").await;
    let refused = crate::support::chat(&deployment, "boots", &[]).await;
    assert_eq!(refused.status, 503);
    assert_eq!(refused.json()["run"], "not_run");
    assert!(refused.header("retry-after").is_some());
    drop(held);
}
