//! Helpers that start a small deployment and send requests to it.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use galenamast::config::Settings;
use galenamast::event_loop::EntryHost;
use galenamast::transport::http_client::{json_request, read_body};
use galenamast::transport::{BoundedBody, HttpClient};
use galenamast_testbed::{Caller, CallerReply, Deployment, DeploymentOptions};
use http::{Method, Response, header};
use serde_json::{Value, json};

/// Workspace that the tests call as.
pub(crate) const WORKSPACE: &str = "lodge-rental";
/// Greatest time that a test waits for a condition.
const MAX_WAIT: Duration = Duration::from_secs(30);

/// Returns the options of a deployment with one entry host, some engines and a service.
pub(crate) fn small_options(engines: usize) -> DeploymentOptions {
    DeploymentOptions {
        domains: vec!["cumbre".into()],
        engines_per_domain: engines,
        load_period: Duration::from_millis(50),
        ..DeploymentOptions::nieve_alta()
    }
}

/// Starts a deployment whose host has changed settings.
pub(crate) async fn start_with(
    options: DeploymentOptions,
    change: impl FnOnce(&mut Settings),
) -> Deployment {
    let mut deployment = Deployment::without_hosts(options).await.expect("starts");
    let mut settings = deployment.host_settings("host", "cumbre");
    change(&mut settings);
    let host = EntryHost::start(settings).await.expect("the host starts");
    deployment.hosts.insert("host".into(), host);
    deployment.wait_until_ready().await;
    deployment
}

/// Starts a small deployment with some engines.
pub(crate) async fn start(engines: usize) -> Deployment {
    start_with(small_options(engines), |_| {}).await
}

/// Returns the address of the only host.
pub(crate) fn host_address(deployment: &Deployment) -> SocketAddr {
    deployment.address("host")
}

/// Sends a chat request.
pub(crate) async fn chat(
    deployment: &Deployment,
    content: &str,
    headers: &[(&str, &str)],
) -> CallerReply {
    let caller = Caller::new(WORKSPACE);
    // The wait is shorter than the default deadline: an answer held back until then fails the test.
    let reply = caller.chat(host_address(deployment), content, headers);
    with_timeout("the answer comes at once", reply)
        .await
        .expect("the host answers")
}

/// Waits until a condition holds.
pub(crate) async fn eventually(what: &str, holds: impl Fn() -> bool) {
    let wait = async {
        while !holds() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    with_timeout(what, wait).await;
}

/// Awaits a future; panics with `what` after [`MAX_WAIT`], so that a failing test ends.
pub(crate) async fn with_timeout<T>(what: &str, wait: impl Future<Output = T>) -> T {
    tokio::time::timeout(MAX_WAIT, wait).await.expect(what)
}

/// Returns the number of requests that the engines started.
pub(crate) fn engine_runs(deployment: &Deployment) -> usize {
    let engines = deployment.engines.values();
    engines.map(|engine| engine.runs().len()).sum()
}

/// Opens a streamed chat completion.
pub(crate) async fn open_stream(deployment: &Deployment, content: &str) -> Response<BoundedBody> {
    let address = host_address(deployment).to_string();
    let message = json!({ "role": "user", "content": content });
    let body = json!({ "model": "auto", "stream": true, "messages": [message] });
    let mut request =
        json_request(Method::POST, &address, "/v1/chat/completions", Some(&body)).expect("valid");
    let key = format!("Bearer {WORKSPACE}-key").parse().expect("valid");
    request.headers_mut().insert(header::AUTHORIZATION, key);
    let client = HttpClient::new();
    client.send(&address, request).await.expect("answered")
}

/// The part of a stream that a caller read.
#[derive(Debug, Default)]
pub(crate) struct StreamRead {
    pub(crate) text: String,
    pub(crate) indices: Vec<u64>,
    pub(crate) ended: bool,
    pub(crate) error: Option<Value>,
}

/// Reads a stream to its end.
pub(crate) async fn read_stream(response: Response<BoundedBody>) -> StreamRead {
    let reading = read_body("host", response, usize::MAX);
    let bytes = with_timeout("the stream ends", reading).await;
    let bytes = bytes.expect("the connection holds");
    let text = String::from_utf8(bytes.to_vec()).expect("UTF-8");
    let mut read = StreamRead::default();
    for block in text.split("\n\n").filter(|block| !block.is_empty()) {
        let is_error = block.starts_with("event: error");
        let data = block.rsplit_once("data: ").expect("an event has data").1;
        if data == "[DONE]" {
            read.ended = true;
            continue;
        }
        let value: Value = serde_json::from_str(data).expect("JSON");
        if is_error {
            read.error = Some(value);
            continue;
        }
        read.indices
            .push(value["index"].as_u64().expect("an index"));
        let content = value["choices"][0]["delta"]["content"].as_str();
        read.text.push_str(content.unwrap_or_default());
    }
    read
}
