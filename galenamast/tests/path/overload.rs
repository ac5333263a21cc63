//! Full servers, slow servers and slow callers.

use std::time::Duration;

use galenamast::coordination::ConfigObject;
use galenamast::state::{ConfigGeneration, PoolKind};
use galenamast_testbed::{Caller, Deployment, publish_config};
use http::Method;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::support::{WORKSPACE, chat, eventually, host_address, small_options, start, start_with};

/// Publishes a changed configuration and waits until it is in force.
async fn publish(deployment: &Deployment, change: impl Fn(&mut ConfigObject)) {
    let mut documents = deployment.default_documents();
    documents.iter_mut().for_each(change);
    let generation = ConfigGeneration(2);
    publish_config(&deployment.objects, generation, &documents).expect("encodes");
    let context = deployment.hosts["host"].context().clone();
    eventually("the change is adopted", || {
        context.image.load().generation == generation
    })
    .await;
}

/// Limits each service to one call at a time.
fn one_slot(document: &mut ConfigObject) {
    if let ConfigObject::Pool(pool) = document
        && pool.kind == PoolKind::Service
    {
        pool.slots_per_server = 1;
    }
}

/// Sends idempotent service calls at once and returns their statuses.
async fn burst(deployment: &Deployment, workspace: &'static str, count: usize) -> Vec<u16> {
    let host = host_address(deployment);
    let calls = (0..count).map(|_| async move {
        let caller = Caller::new(workspace);
        let reply = caller.send(Method::GET, host, "/svc/mostrador/gear", None, &[]);
        reply.await.expect("the host answers").status
    });
    futures_util::future::join_all(calls).await
}

#[tokio::test]
async fn requests_for_a_full_pool_wait_in_the_queue() {
    let deployment = start_with(small_options(1), |settings| {
        settings.routing.queue_timeout = Duration::from_secs(60);
    })
    .await;
    publish(&deployment, one_slot).await;
    for service in deployment.services.values() {
        service
            .faults()
            .set(|plan| plan.delay = Duration::from_millis(5));
    }
    let (large, tiny) = tokio::join!(
        burst(&deployment, WORKSPACE, 40),
        burst(&deployment, "ski-school", 3)
    );
    assert!(large.iter().chain(&tiny).all(|status| *status == 200));
    let context = deployment.hosts["host"].context();
    eventually("nothing is left in flight", || {
        context.request_registry.is_empty()
    })
    .await;
}

#[tokio::test]
async fn requests_refused_by_a_full_queue_have_not_run() {
    let deployment = start_with(small_options(1), |settings| {
        settings.routing.max_queued = 4;
    })
    .await;
    publish(&deployment, one_slot).await;
    let service = deployment.services.values().next().expect("one service");
    service
        .faults()
        .set(|plan| plan.delay = Duration::from_millis(100));
    let statuses = burst(&deployment, WORKSPACE, 20).await;
    let served = statuses.iter().filter(|status| **status == 200).count();
    let refused = statuses.iter().filter(|status| **status == 503).count();
    assert_eq!(served + refused, 20, "{statuses:?}");
    assert!(served >= 5, "{statuses:?}");
    assert_eq!(service.runs().len(), served, "no refused request has run");
}

#[tokio::test]
async fn a_request_to_a_silent_server_is_hedged_and_the_losing_attempt_cancelled() {
    let deployment = start(2).await;
    publish(&deployment, |document| {
        if let ConfigObject::Workspace(workspace) = document {
            workspace.hedged_tasks.insert("counter".into());
        }
    })
    .await;
    let slow = &deployment.engines["cumbre-engine-0"];
    slow.change(|options| options.first_token = Duration::from_secs(3_600));
    // A new workspace has tokens for this many hedges.
    for _ in 0..5 {
        let reply = chat(&deployment, "boots", &[("x-task", "counter")]).await;
        assert_eq!(reply.status, 200);
    }
    eventually("the losing attempts are cancelled", || slow.running() == 0).await;
    assert_eq!(slow.cancelled().len(), slow.runs().len());
}

#[tokio::test]
async fn a_caller_that_does_not_read_is_disconnected() {
    let deployment = start_with(small_options(1), |settings| {
        settings.callers.write_timeout = Duration::from_millis(200);
    })
    .await;
    let engine = deployment.engines.values().next().expect("one engine");
    engine.change(|options| options.answer_tokens = 10_000_000);
    let mut stream = TcpStream::connect(host_address(&deployment))
        .await
        .expect("connects");
    let body = r#"{"stream":true,"messages":[{"role":"user","content":"boots"}]}"#;
    let request = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: entry\r\n\
         authorization: Bearer {WORKSPACE}-key\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes()).await.expect("sent");
    eventually("the engine starts", || !engine.runs().is_empty()).await;
    eventually("the engine stops the request", || engine.running() == 0).await;
    assert_eq!(engine.cancelled().len(), 1);
    drop(stream);
}
