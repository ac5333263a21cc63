//! Kills entry hosts at different points of a request: a non-idempotent request runs at most once,
//! and each answer is billed once.

use std::future::Future;
use std::time::Duration;

use galenamast::coordination::StoredOutcome;
use galenamast::transport::{
    ClaimResolution, ClaimRunner, ClaimSettings, ExportRange, HttpClient, ObjectCalls,
    ObjectClient, TimerService, export_usage,
};
use galenamast_testbed::{Caller, CallerReply, Deployment, DeploymentOptions};
use http::Method;
use serde_json::json;
use tempfile::TempDir;

use crate::{HostProcess, wait_for_answer};

/// Workspace whose key the callers use.
const WORKSPACE: &str = "lodge-rental";
/// Maximum time that a test waits for a condition.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
/// Idempotency key of the deposit.
const DEPOSIT_KEY: &str = "deposit-7";

/// A deployment with two entry hosts of one failure domain as separate processes.
struct HostPair {
    deployment: Deployment,
    hosts: Vec<HostProcess>,
    _directory: TempDir,
}

impl HostPair {
    async fn start() -> Self {
        let directory = tempfile::tempdir().expect("a temporary directory");
        let options = DeploymentOptions {
            domains: vec!["cumbre".into()],
            ..DeploymentOptions::nieve_alta()
        };
        let deployment = Deployment::without_hosts(options).await.expect("starts");
        let start = |name| HostProcess::start(&deployment, directory.path(), name, "cumbre");
        let hosts = vec![start("first"), start("second")];
        for host in &hosts {
            wait_for_answer(&Caller::new(WORKSPACE), host.address).await;
        }
        Self {
            deployment,
            hosts,
            _directory: directory,
        }
    }

    /// Posts the deposit to a host; returns `None` if the call fails.
    fn deposit(&self, host: usize) -> impl Future<Output = Option<CallerReply>> + Send + 'static {
        let address = self.hosts[host].address;
        async move {
            let caller = Caller::new(WORKSPACE);
            let body = json!({ "amount": 40 });
            let headers = [("idempotency-key", DEPOSIT_KEY)];
            let path = "/svc/mostrador/deposit";
            let reply = caller.send(Method::POST, address, path, Some(&body), &headers);
            reply.await.ok()
        }
    }

    /// Posts the deposit to the first host and kills that host once a condition holds.
    async fn kill_during_deposit(&mut self, condition: impl Fn(&Deployment) -> bool) {
        let call = tokio::spawn(self.deposit(0));
        let reached = async {
            while !condition(&self.deployment) {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
        };
        tokio::time::timeout(WAIT_TIMEOUT, reached)
            .await
            .expect("the condition holds in time");
        drop(self.hosts.remove(0));
        let reply = call.await.expect("the caller does not panic");
        let answered = reply.is_some_and(|reply| reply.body.is_some());
        assert!(!answered, "the host answered before it was killed");
    }

    /// Posts the deposit again, to the remaining host.
    async fn resend(&self) -> CallerReply {
        self.deposit(0).await.expect("the host answers")
    }

    /// Resolves the claim of the deposit as an operator.
    async fn resolve(&self, resolution: ClaimResolution) {
        let address = self.deployment.objects.address();
        let client = ObjectClient::new(HttpClient::new(), address, Duration::from_secs(20));
        let calls = ObjectCalls::from_client(&client);
        let runner = ClaimRunner::new(calls, TimerService::system(), ClaimSettings::default());
        let resolved = runner
            .resolve(&WORKSPACE.into(), DEPOSIT_KEY, resolution)
            .await;
        assert!(
            resolved.expect("the platform answers"),
            "the claim was not resolved"
        );
    }

    /// Returns how many times the deposit was run.
    fn runs(&self) -> usize {
        service_runs(&self.deployment)
    }
}

/// Returns how many calls the services of a deployment have run.
fn service_runs(deployment: &Deployment) -> usize {
    let services = deployment.services.values();
    services.map(|service| service.runs().len()).sum()
}

/// Returns how many claims the platform stores.
fn stored_claims(deployment: &Deployment) -> usize {
    deployment.objects.values("claim").len()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_host_killed_before_its_claim_leaves_the_key_free() {
    let mut pair = HostPair::start().await;
    let writes = |deployment: &Deployment| deployment.objects.calls().get("write").copied();
    let before = writes(&pair.deployment);
    pair.deployment
        .objects
        .faults()
        .set(|plan| plan.hang = true);
    pair.kill_during_deposit(|deployment| writes(deployment) > before)
        .await;
    pair.deployment
        .objects
        .faults()
        .set(|plan| plan.hang = false);
    assert_eq!((pair.runs(), stored_claims(&pair.deployment)), (0, 0));
    let mut reply = pair.resend().await;
    // The host's platform client may still be in its retry delay.
    while reply.status != 200 {
        assert_eq!(reply.json()["run"], "not_run", "{reply:?}");
        tokio::time::sleep(Duration::from_millis(50)).await;
        reply = pair.resend().await;
    }
    assert_eq!(pair.runs(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_host_killed_after_its_claim_leaves_it_to_an_operator() {
    let mut pair = HostPair::start().await;
    // The services hang until the host is killed, so that the deposit has not run by then.
    for service in pair.deployment.services.values() {
        service.faults().set(|plan| plan.hang = true);
    }
    pair.deployment
        .objects
        .faults()
        .set(|plan| plan.lose_answers = 1_000);
    pair.kill_during_deposit(|deployment| stored_claims(deployment) == 1)
        .await;
    pair.deployment
        .objects
        .faults()
        .set(|plan| plan.lose_answers = 0);
    for service in pair.deployment.services.values() {
        service.faults().set(|plan| plan.hang = false);
    }
    assert_eq!(pair.runs(), 0);
    let unknown = pair.resend().await;
    assert_eq!(unknown.json()["run"], "outcome_unknown", "{unknown:?}");
    pair.resolve(ClaimResolution::NotRun {
        author: "ana".into(),
        reason: "no deposit at the service".into(),
    })
    .await;
    assert_eq!(pair.resend().await.status, 200);
    assert_eq!(pair.resend().await.status, 200);
    assert_eq!(pair.runs(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_host_killed_after_its_dispatch_is_not_run_again() {
    let mut pair = HostPair::start().await;
    for service in pair.deployment.services.values() {
        service.faults().set(|plan| plan.lose_answers = 1);
    }
    pair.kill_during_deposit(|deployment| service_runs(deployment) == 1)
        .await;
    let unknown = pair.resend().await;
    assert_eq!(unknown.json()["run"], "outcome_unknown", "{unknown:?}");
    let outcome = StoredOutcome::of_answer(200, None, "text/plain", b"charged 40");
    pair.resolve(ClaimResolution::Ran(outcome)).await;
    let stored = pair.resend().await;
    assert_eq!(
        (stored.status, stored.body.as_deref()),
        (200, Some(&b"charged 40"[..]))
    );
    assert_eq!(pair.runs(), 1);
}

/// Sends requests to the first host and returns the identifiers of the answered requests.
async fn collect_answers(pair: &HostPair, count: usize) -> Vec<String> {
    let caller = Caller::new(WORKSPACE);
    let mut answered = Vec::new();
    for _ in 0..count {
        let reply = caller
            .chat(pair.hosts[0].address, "which boot size?", &[])
            .await;
        let reply = reply.expect("the host answers");
        assert_eq!(reply.status, 200, "{reply:?}");
        answered.push(
            reply
                .header("x-request-id")
                .expect("an identifier")
                .to_owned(),
        );
    }
    answered
}

/// Waits until each request is billed, and checks that none is billed twice.
async fn wait_until_billed(pair: &HostPair, answered: &[String]) {
    let address = pair.deployment.objects.address();
    let client = ObjectClient::new(HttpClient::new(), address, Duration::from_secs(20));
    let calls = ObjectCalls::from_client(&client);
    let billed = async {
        loop {
            let export = export_usage(&calls, ExportRange::default()).await;
            let records = export.expect("the platform answers").records;
            let ids: Vec<String> = records.iter().map(|r| r.request_id.to_string()).collect();
            let count = |id: &String| ids.iter().filter(|billed| *billed == id).count();
            let counts: Vec<usize> = answered.iter().map(count).collect();
            assert!(counts.iter().all(|count| *count <= 1), "{counts:?}");
            if counts.iter().all(|count| *count == 1) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(WAIT_TIMEOUT, billed)
        .await
        .expect("every request is billed");
}

/// Waits until the first host copies its usage records to the second one.
///
/// Before that, it writes a usage object to the platform with each answer.
async fn wait_for_copies(pair: &HostPair) {
    let copied = async {
        loop {
            let before = pair.deployment.objects.values("usage").len();
            collect_answers(pair, 1).await;
            if pair.deployment.objects.values("usage").len() == before {
                return;
            }
        }
    };
    tokio::time::timeout(WAIT_TIMEOUT, copied)
        .await
        .expect("the hosts find each other");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_host_killed_after_its_answer_has_billed_it_once() {
    let mut pair = HostPair::start().await;
    let answered = collect_answers(&pair, 5).await;
    drop(pair.hosts.remove(0));
    // A peer that holds copies writes them once it has detected that the host is gone.
    wait_until_billed(&pair, &answered).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn answers_of_a_host_killed_while_the_platform_is_down_are_billed_by_its_peer() {
    let mut pair = HostPair::start().await;
    wait_for_copies(&pair).await;
    pair.deployment
        .objects
        .faults()
        .set(|plan| plan.refuse = true);
    let answered = collect_answers(&pair, 5).await;
    drop(pair.hosts.remove(0));
    pair.deployment
        .objects
        .faults()
        .set(|plan| plan.refuse = false);
    wait_until_billed(&pair, &answered).await;
}
