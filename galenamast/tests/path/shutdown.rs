//! Graceful shutdown while callers read streams and send requests.

use std::time::Duration;

use galenamast::transport::HttpClient;
use galenamast::transport::http_client::json_request;
use http::Method;

use crate::support::{
    engine_runs, eventually, host_address, open_stream, read_stream, start, with_timeout,
};

#[tokio::test]
async fn a_graceful_shutdown_interrupts_no_stream() {
    let mut deployment = start(1).await;
    for engine in deployment.engines.values() {
        engine.change(|options| options.token_gap = Duration::from_millis(30));
    }
    let mut streams = Vec::new();
    for _ in 0..5 {
        let response = open_stream(&deployment, "boots").await;
        streams.push(tokio::spawn(read_stream(response)));
    }
    let host = deployment.hosts.remove("host").expect("the host");
    with_timeout("the host stops", host.stop()).await;
    for stream in streams {
        let read = stream.await.expect("the reader ends");
        assert!(read.ended && read.error.is_none(), "{read:?}");
        assert_eq!(read.indices.len(), 9);
    }
}

#[tokio::test]
async fn a_stopping_host_is_unready_but_serves_requests_during_the_balancer_lag() {
    let mut deployment = crate::support::start_with(crate::support::small_options(1), |settings| {
        settings.shutdown.balancer_lag = Duration::from_secs(600);
    })
    .await;
    let address = host_address(&deployment).to_string();
    let host = deployment.hosts.remove("host").expect("the host");
    let context = host.context().clone();
    let (interrupt, interrupted) = tokio::sync::oneshot::channel::<()>();
    let stopping = tokio::spawn(host.stop_with_interrupt(async {
        let _ = interrupted.await;
    }));
    eventually("the host is shutting down", || context.is_shutting_down()).await;
    let client = HttpClient::new();
    let get = |path| json_request(Method::GET, &address, path, None::<&()>).expect("valid");
    let ready = client
        .send(&address, get("/readyz"))
        .await
        .expect("answered");
    assert_eq!(ready.status(), 503);
    let live = client
        .send(&address, get("/livez"))
        .await
        .expect("answered");
    assert_eq!(live.status(), 200);
    let caller = galenamast_testbed::Caller::new(crate::support::WORKSPACE);
    let socket = address.parse().expect("an address");
    let reply = caller.chat(socket, "boots", &[]).await.expect("answered");
    assert_eq!(reply.status, 200);
    assert_eq!(engine_runs(&deployment), 1);
    interrupt.send(()).expect("the host is stopping");
    with_timeout("the second signal ends the shutdown", stopping)
        .await
        .expect("no panic");
}
