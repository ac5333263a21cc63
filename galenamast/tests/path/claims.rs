//! Non-idempotent calls through the whole request path.

use galenamast_testbed::{Caller, CallerReply, Deployment};
use http::Method;
use serde_json::json;

use crate::support::{WORKSPACE, eventually, host_address, start};

/// Posts a deposit under a key.
async fn deposit(deployment: &Deployment, workspace: &str, key: &str, amount: u32) -> CallerReply {
    let body = json!({ "amount": amount });
    let headers = [("idempotency-key", key), ("x-deadline-ms", "1000")];
    let caller = Caller::new(workspace);
    let path = "/svc/mostrador/deposit";
    let reply = caller.send(
        Method::POST,
        host_address(deployment),
        path,
        Some(&body),
        &headers,
    );
    reply.await.expect("the host answers")
}

/// Returns the number of calls that the services ran.
fn service_runs(deployment: &Deployment) -> usize {
    let services = deployment.services.values();
    services.map(|service| service.runs().len()).sum()
}

#[tokio::test]
async fn a_resend_gets_the_stored_answer() {
    let deployment = start(1).await;
    let first = deposit(&deployment, WORKSPACE, "k1", 40).await;
    assert_eq!(first.status, 200, "{first:?}");
    for _ in 0..3 {
        let resent = deposit(&deployment, WORKSPACE, "k1", 40).await;
        assert_eq!((resent.status, &resent.body), (200, &first.body));
    }
    assert_eq!(service_runs(&deployment), 1);
    let reused = deposit(&deployment, WORKSPACE, "k1", 41).await;
    assert_eq!(reused.status, 409);
    let other_workspace = deposit(&deployment, "ski-school", "k1", 40).await;
    assert_eq!(other_workspace.status, 200);
    assert_ne!(other_workspace.body, first.body);
    assert_eq!(service_runs(&deployment), 2);
}

#[tokio::test]
async fn a_call_whose_answer_is_lost_stays_unknown_and_is_not_run_again() {
    let deployment = start(1).await;
    for service in deployment.services.values() {
        service.faults().set(|plan| plan.lose_answers = 1);
    }
    let lost = deposit(&deployment, WORKSPACE, "k2", 40).await;
    assert_eq!(
        (lost.status, &lost.json()["run"]),
        (408, &json!("outcome_unknown"))
    );
    let resent = deposit(&deployment, WORKSPACE, "k2", 40).await;
    assert_eq!(
        (resent.status, &resent.json()["run"]),
        (409, &json!("outcome_unknown"))
    );
    assert_eq!(service_runs(&deployment), 1);
}

#[tokio::test]
async fn a_declined_call_may_be_sent_again() {
    let deployment = start(1).await;
    let service = deployment.services.values().next().expect("one service");
    service.faults().set(|plan| plan.refuse = true);
    let declined = deposit(&deployment, WORKSPACE, "k3", 40).await;
    assert_eq!(
        (declined.status, &declined.json()["run"]),
        (503, &json!("not_run"))
    );
    service.faults().set(|plan| plan.refuse = false);
    assert_eq!(deposit(&deployment, WORKSPACE, "k3", 40).await.status, 200);
    assert_eq!(service_runs(&deployment), 1);
}

#[tokio::test]
async fn without_the_platform_no_call_is_run() {
    let deployment = start(1).await;
    deployment.objects.faults().set(|plan| plan.refuse = true);
    let refused = deposit(&deployment, WORKSPACE, "k4", 40).await;
    assert_eq!(
        (refused.status, &refused.json()["run"]),
        (503, &json!("not_run"))
    );
    assert!(refused.header("retry-after").is_some());
    assert_eq!(service_runs(&deployment), 0);
}

#[tokio::test]
async fn a_call_completes_and_stores_its_outcome_after_its_caller_disconnects() {
    let deployment = start(1).await;
    let service = deployment.services.values().next().expect("one service");
    let delay = std::time::Duration::from_millis(200);
    service.faults().set(|plan| plan.delay = delay);
    let disconnected =
        tokio::time::timeout(delay / 4, deposit(&deployment, WORKSPACE, "k5", 40)).await;
    assert!(
        disconnected.is_err(),
        "the caller disconnects before the answer"
    );
    let context = deployment.hosts["host"].context().clone();
    eventually("the call ends", || context.request_registry.is_empty()).await;
    let resent = deposit(&deployment, WORKSPACE, "k5", 40).await;
    assert!(service_runs(&deployment) <= 1);
    assert_eq!(resent.status, 200, "{resent:?}");
}

#[tokio::test]
async fn a_chat_with_a_key_runs_once() {
    let deployment = start(2).await;
    let headers = [("idempotency-key", "c1")];
    let first = crate::support::chat(&deployment, "post it", &headers).await;
    let resent = crate::support::chat(&deployment, "post it", &headers).await;
    assert_eq!((first.status, resent.status), (200, 200));
    assert_eq!(first.body, resent.body);
    assert_eq!(first.header("x-version"), resent.header("x-version"));
    assert_eq!(crate::support::engine_runs(&deployment), 1);
}

#[tokio::test]
async fn a_call_whose_service_crashes_is_not_sent_to_another_service() {
    let mut options = crate::support::small_options(1);
    options.services_per_domain = 3;
    let deployment = crate::support::start_with(options, |_| {}).await;
    for service in deployment.services.values() {
        service.faults().set(|plan| plan.lose_answers = 1);
    }
    let host = host_address(&deployment);
    let call = tokio::spawn(async move {
        let caller = Caller::new(WORKSPACE);
        let body = json!({ "amount": 40 });
        let headers = [("idempotency-key", "k6")];
        let path = "/svc/mostrador/deposit";
        let reply = caller.send(Method::POST, host, path, Some(&body), &headers);
        reply.await.expect("the host answers")
    });
    eventually("the call runs", || service_runs(&deployment) == 1).await;
    for service in deployment.services.values() {
        if !service.runs().is_empty() {
            service.kill();
        }
    }
    let reply = crate::support::with_timeout("the answer comes at once", call).await;
    let reply = reply.expect("the caller ends");
    assert_eq!(reply.json()["run"], "outcome_unknown", "{reply:?}");
    assert_eq!(deposit(&deployment, WORKSPACE, "k6", 40).await.status, 409);
    assert_eq!(service_runs(&deployment), 1);
}
