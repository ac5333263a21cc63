//! Each answered request is billed once, regardless of its attempts.

use std::collections::BTreeSet;
use std::time::Duration;

use galenamast::coordination::{ConfigObject, UsageRecord};
use galenamast::state::ConfigGeneration;
use galenamast::transport::{ExportRange, HttpClient, ObjectCalls, ObjectClient, export_usage};
use galenamast_testbed::{Deployment, publish_config};

use crate::support::{chat, engine_runs, eventually, open_stream, read_stream, start};

/// Stops the host and returns the usage stored on the platform, with the number of duplicates.
async fn stored_usage(mut deployment: Deployment) -> (Vec<UsageRecord>, u64) {
    let host = deployment.hosts.remove("host").expect("the host");
    host.stop().await;
    let timeout = Duration::from_secs(10);
    let client = ObjectClient::new(HttpClient::new(), deployment.objects.address(), timeout);
    let calls = ObjectCalls::from_client(&client);
    let export = export_usage(&calls, ExportRange::default()).await;
    let export = export.expect("the platform is up");
    (export.records, export.duplicates)
}

/// Checks that exactly the answered requests are billed, each once.
async fn assert_billed(deployment: Deployment, answered: Vec<String>) {
    let (records, duplicates) = stored_usage(deployment).await;
    let billed: Vec<String> = records.iter().map(|r| r.request_id.to_string()).collect();
    let unique: BTreeSet<&String> = billed.iter().collect();
    assert_eq!((billed.len(), duplicates), (unique.len(), 0));
    assert_eq!(unique, answered.iter().collect());
    assert!(records.iter().all(|record| record.output_tokens == 8));
    assert!(records.iter().all(|record| record.price > 0));
}

#[tokio::test]
async fn answered_requests_are_billed_once_despite_retries_and_failures() {
    let deployment = start(3).await;
    let first = deployment.engines.values().next().expect("an engine");
    first.set_faults(|faults| faults.crossed_answers = 4);
    let mut answered = Vec::new();
    for index in 0..12 {
        let content = format!("boots {index}");
        let reply = chat(&deployment, &content, &[]).await;
        assert_eq!(reply.status, 200);
        let id = reply.header("x-request-id").expect("an identifier");
        answered.push(id.to_owned());
    }
    let response = open_stream(&deployment, "boots").await;
    let id = response.headers()["x-request-id"].to_str().expect("text");
    answered.push(id.to_owned());
    assert!(read_stream(response).await.ended);
    for engine in deployment.engines.values() {
        engine.faults().set(|plan| plan.refuse = true);
    }
    assert_eq!(chat(&deployment, "boots", &[]).await.status, 503);
    assert_billed(deployment, answered).await;
}

#[tokio::test]
async fn hedges_and_resends_are_billed_once() {
    let deployment = start(2).await;
    let mut documents = deployment.default_documents();
    for document in &mut documents {
        if let ConfigObject::Workspace(workspace) = document {
            workspace.hedged_tasks.insert("counter".into());
        }
    }
    publish_config(&deployment.objects, ConfigGeneration(2), &documents).expect("encodes");
    let context = deployment.hosts["host"].context().clone();
    eventually("the change is adopted", || {
        context.image.load().generation.0 == 2
    })
    .await;
    for engine in deployment.engines.values() {
        engine.change(|options| options.first_token = Duration::from_millis(250));
    }
    let mut answered = Vec::new();
    for _ in 0..3 {
        let reply = chat(&deployment, "boots", &[("x-task", "counter")]).await;
        assert_eq!(reply.status, 200);
        let id = reply.header("x-request-id").expect("an identifier");
        answered.push(id.to_owned());
    }
    assert!(engine_runs(&deployment) > 3, "requests were hedged");
    let keyed = [("idempotency-key", "b1")];
    let posted = chat(&deployment, "post", &keyed).await;
    let id = posted.header("x-request-id").expect("an identifier");
    answered.push(id.to_owned());
    for _ in 0..2 {
        assert_eq!(chat(&deployment, "post", &keyed).await.body, posted.body);
    }
    assert_billed(deployment, answered).await;
}
