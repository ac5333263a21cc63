//! Calls of plain services.

use galenamast_testbed::{Caller, CallerReply, Deployment};
use http::Method;
use serde_json::json;

use crate::support::{WORKSPACE, host_address, start};

/// Calls a path of the host as a workspace.
async fn call(
    deployment: &Deployment,
    workspace: &str,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
) -> CallerReply {
    let body = json!({ "gear": 7 });
    let caller = Caller::new(workspace);
    let reply = caller.send(method, host_address(deployment), path, Some(&body), headers);
    reply.await.expect("the host answers")
}

/// Returns the paths of the calls that the services ran.
fn service_paths(deployment: &Deployment) -> Vec<String> {
    let services = deployment.services.values();
    let runs = services.flat_map(galenamast_fakes::FakeService::runs);
    runs.map(|run| run.path).collect()
}

#[tokio::test]
async fn an_idempotent_call_reaches_the_service_with_its_path() {
    let deployment = start(1).await;
    let path = "/svc/mostrador/gear/7?size=9";
    let reply = call(&deployment, WORKSPACE, Method::GET, path, &[]).await;
    assert_eq!(reply.status, 200);
    assert_eq!(reply.json()["path"], "/gear/7");
    assert_eq!(
        reply.json()["request_id"].as_str(),
        reply.header("x-request-id")
    );
    assert_eq!(service_paths(&deployment), ["/gear/7"]);
}

#[tokio::test]
async fn calls_without_a_rule_or_a_key_are_not_run() {
    let deployment = start(1).await;
    let table = [
        (Method::POST, "/svc/mostrador/deposit", 428, "key_required"),
        (Method::DELETE, "/svc/mostrador/gear/7", 404, "not_found"),
        (Method::GET, "/svc/unknown/gear", 404, "not_found"),
        (Method::GET, "/svc/mostrador/a/../../load", 404, "not_found"),
        (
            Method::GET,
            "/svc/mostrador/a/%2e%2e/load",
            404,
            "not_found",
        ),
    ];
    for (method, path, status, code) in table {
        let reply = call(&deployment, WORKSPACE, method, path, &[]).await;
        assert_eq!(reply.status, status, "{path}");
        assert_eq!(reply.json()["code"], code, "{path}");
        assert_eq!(reply.json()["run"], "not_run", "{path}");
    }
    assert!(service_paths(&deployment).is_empty());
}

#[tokio::test]
async fn an_idempotent_call_without_a_live_service_is_not_run() {
    let deployment = start(1).await;
    for service in deployment.services.values() {
        service.kill();
    }
    let reply = call(
        &deployment,
        WORKSPACE,
        Method::GET,
        "/svc/mostrador/gear",
        &[],
    )
    .await;
    assert_eq!(reply.status, 503);
    assert_eq!(reply.json()["run"], "not_run");
}
