//! Entry hosts killed at any moment: non-idempotent requests run at most once, each is billed once.

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

use crate::{HostProcess, first_answer};

/// Workspace that the tests call as.
const WORKSPACE: &str = "lodge-rental";
/// Time that a test waits for something that must happen.
const WAIT: Duration = Duration::from_secs(60);
/// Key of the deposit.
const KEY: &str = "deposit-7";

/// A deployment with two entry hosts of one failure domain as processes.
struct Bench {
    deployment: Deployment,
    hosts: Vec<HostProcess>,
    _directory: TempDir,
}

impl Bench {
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
            first_answer(&Caller::new(WORKSPACE), host.address).await;
        }
        Self {
            deployment,
            hosts,
            _directory: directory,
        }
    }

    /// Returns the call that posts the deposit to a host.
    fn deposit(&self, host: usize) -> impl Future<Output = Option<CallerReply>> + Send + 'static {
        let address = self.hosts[host].address;
        async move {
            let caller = Caller::new(WORKSPACE);
            let body = json!({ "amount": 40 });
            let headers = [("idempotency-key", KEY)];
            let path = "/svc/mostrador/deposit";
            let reply = caller.send(Method::POST, address, path, Some(&body), &headers);
            reply.await.ok()
        }
    }

    /// Posts the deposit to a host, and kills the host when something holds.
    async fn kill_during_deposit(&mut self, holds: impl Fn(&Deployment) -> bool) {
        let call = tokio::spawn(self.deposit(0));
        let reached = async {
            while !holds(&self.deployment) {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
        };
        tokio::time::timeout(WAIT, reached)
            .await
            .expect("the moment comes");
        drop(self.hosts.remove(0));
        let reply = call.await.expect("the caller does not panic");
        let answered = reply.is_some_and(|reply| reply.body.is_some());
        assert!(!answered, "the host was to be killed before its answer");
    }

    /// Posts the deposit to the host that is left.
    async fn resend(&self) -> CallerReply {
        self.deposit(0).await.expect("the host answers")
    }

    /// Resolves the claim of the deposit as an operator.
    async fn resolve(&self, resolution: ClaimResolution) {
        let address = self.deployment.objects.address();
        let client = ObjectClient::new(HttpClient::new(), address, Duration::from_secs(20));
        let calls = ObjectCalls::from_client(&client);
        let runner = ClaimRunner::new(calls, TimerService::system(), ClaimSettings::default());
        let resolved = runner.resolve(&WORKSPACE.into(), KEY, resolution).await;
        assert!(
            resolved.expect("the platform answers"),
            "the claim was not resolved"
        );
    }

    /// Returns how often the deposit was run.
    fn runs(&self) -> usize {
        service_runs(&self.deployment)
    }
}

fn service_runs(deployment: &Deployment) -> usize {
    let services = deployment.services.values();
    services.map(|service| service.runs().len()).sum()
}

fn claims(deployment: &Deployment) -> usize {
    deployment.objects.values("claim").len()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_host_killed_before_its_claim_leaves_the_key_free() {
    let mut bench = Bench::start().await;
    let writes = |deployment: &Deployment| deployment.objects.calls().get("write").copied();
    let before = writes(&bench.deployment);
    bench
        .deployment
        .objects
        .faults()
        .set(|plan| plan.hang = true);
    bench
        .kill_during_deposit(|deployment| writes(deployment) > before)
        .await;
    bench
        .deployment
        .objects
        .faults()
        .set(|plan| plan.hang = false);
    assert_eq!((bench.runs(), claims(&bench.deployment)), (0, 0));
    let mut reply = bench.resend().await;
    // The client of the platform may still wait before it calls again.
    while reply.status != 200 {
        assert_eq!(reply.json()["run"], "not_run", "{reply:?}");
        tokio::time::sleep(Duration::from_millis(50)).await;
        reply = bench.resend().await;
    }
    assert_eq!(bench.runs(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_host_killed_after_its_claim_leaves_it_to_an_operator() {
    let mut bench = Bench::start().await;
    // The services take no call before the host is killed, however long that takes.
    for service in bench.deployment.services.values() {
        service.faults().set(|plan| plan.hang = true);
    }
    bench
        .deployment
        .objects
        .faults()
        .set(|plan| plan.lose_answers = 1_000);
    bench
        .kill_during_deposit(|deployment| claims(deployment) == 1)
        .await;
    bench
        .deployment
        .objects
        .faults()
        .set(|plan| plan.lose_answers = 0);
    for service in bench.deployment.services.values() {
        service.faults().set(|plan| plan.hang = false);
    }
    assert_eq!(bench.runs(), 0);
    let unknown = bench.resend().await;
    assert_eq!(unknown.json()["run"], "outcome_unknown", "{unknown:?}");
    bench
        .resolve(ClaimResolution::NotRun {
            author: "ana".into(),
            reason: "no deposit at the service".into(),
        })
        .await;
    assert_eq!(bench.resend().await.status, 200);
    assert_eq!(bench.resend().await.status, 200);
    assert_eq!(bench.runs(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_host_killed_after_its_dispatch_is_not_run_again() {
    let mut bench = Bench::start().await;
    for service in bench.deployment.services.values() {
        service.faults().set(|plan| plan.lose_answers = 1);
    }
    bench
        .kill_during_deposit(|deployment| service_runs(deployment) == 1)
        .await;
    let unknown = bench.resend().await;
    assert_eq!(unknown.json()["run"], "outcome_unknown", "{unknown:?}");
    let outcome = StoredOutcome::of_answer(200, None, "text/plain", b"charged 40");
    bench.resolve(ClaimResolution::Ran(outcome)).await;
    let stored = bench.resend().await;
    assert_eq!(
        (stored.status, stored.body.as_deref()),
        (200, Some(&b"charged 40"[..]))
    );
    assert_eq!(bench.runs(), 1);
}

/// Asks for answers of the first host and returns their identifiers.
async fn answers(bench: &Bench, count: usize) -> Vec<String> {
    let caller = Caller::new(WORKSPACE);
    let mut answered = Vec::new();
    for _ in 0..count {
        let reply = caller
            .chat(bench.hosts[0].address, "which boot size?", &[])
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
async fn wait_until_billed(bench: &Bench, answered: &[String]) {
    let address = bench.deployment.objects.address();
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
    tokio::time::timeout(WAIT, billed)
        .await
        .expect("every request is billed");
}

/// Answers of the first host are copied to the second one from some moment on; waits for it.
async fn wait_for_copies(bench: &Bench) {
    let copied = async {
        loop {
            let before = bench.deployment.objects.values("usage").len();
            answers(bench, 1).await;
            if bench.deployment.objects.values("usage").len() == before {
                return;
            }
        }
    };
    tokio::time::timeout(WAIT, copied)
        .await
        .expect("the hosts find each other");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_host_killed_after_its_answer_has_billed_it_once() {
    let mut bench = Bench::start().await;
    let answered = answers(&bench, 5).await;
    drop(bench.hosts.remove(0));
    // A peer that held the copies writes them when it has found out that the host is gone.
    wait_until_billed(&bench, &answered).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn answers_of_a_host_killed_while_the_platform_is_down_are_billed_by_its_peer() {
    let mut bench = Bench::start().await;
    wait_for_copies(&bench).await;
    bench
        .deployment
        .objects
        .faults()
        .set(|plan| plan.refuse = true);
    let answered = answers(&bench, 5).await;
    drop(bench.hosts.remove(0));
    bench
        .deployment
        .objects
        .faults()
        .set(|plan| plan.refuse = false);
    wait_until_billed(&bench, &answered).await;
}
