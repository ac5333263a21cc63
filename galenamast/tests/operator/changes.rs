//! Configuration changes by operators: applied once, dry runs, repeated change identifiers,
//! conflicts and propagation.

use std::sync::atomic::Ordering;

use galenamast::event_loop::EntryHost;
use galenamast::state::ServerLifecycle;
use galenamast::transport::HttpClient;
use galenamast::transport::http_client::json_request;
use galenamast_testbed::DeploymentOptions;
use http::Method;

use crate::support::OperatorBench;

#[tokio::test]
async fn declared_files_are_applied_once() {
    let bench = OperatorBench::start().await;
    let file = bench.write_file("pools.ini", "[pool spare]\nslots_per_server = 8\n");
    let differs = bench.admin("read", &format!("diff {file}")).await;
    assert_eq!(differs.code, 8, "{}", differs.error);
    assert!(
        differs.output.contains("\"entry\":\"pool/spare\""),
        "{}",
        differs.output
    );
    let receipt = bench
        .admin("operate", &format!("apply {file} --reason spare --wait"))
        .await
        .json();
    assert_eq!(receipt["generation"], 2);
    assert_eq!(receipt["entries"][0]["entry"], "pool/spare");
    assert_eq!(receipt["entries"][0]["action"], "create");
    let same = bench.admin("read", &format!("diff {file}")).await;
    assert_eq!((same.code, same.output.as_str()), (0, ""));
    let again = bench
        .admin("operate", &format!("apply {file} --reason spare"))
        .await
        .json();
    assert_eq!(again["generation"], 2);
    assert_eq!(again["entries"].as_array().map(Vec::len), Some(0));
}

#[tokio::test]
async fn dry_run_changes_nothing() {
    let bench = OperatorBench::start().await;
    let head = bench.deployment.objects.get("head", "config");
    let file = bench.write_file("pools.ini", "[pool spare]\n");
    let receipt = bench
        .admin("operate", &format!("apply {file} --reason trial --dry-run"))
        .await
        .json();
    assert_eq!(receipt["generation"], 2);
    assert_eq!(receipt["dry_run"], true);
    assert_eq!(bench.deployment.objects.get("head", "config"), head);
}

#[tokio::test]
async fn repeated_change_id_applies_the_change_once() {
    let bench = OperatorBench::start().await;
    let workspace = &bench.deployment.options.workspaces[0];
    let words = format!("key create {workspace} --reason new-till --change-id k-1");
    let first = bench.admin("administer", &words).await.json();
    let key = first["key"].as_str().expect("a key is shown");
    assert!(key.starts_with("gm_"), "{key}");
    bench.wait_in_force(2).await;
    let second = bench.admin("administer", &words).await.json();
    assert_eq!(second["receipt"]["repeated"], true);
    assert_eq!(second["receipt"]["generation"], 2);
    assert_eq!(second["key"], "");
    let image = bench.host.context().image.load();
    let spec = &image.workspaces[&workspace.as_str().into()];
    assert_eq!(spec.key_digests.len(), 2);
    let other = format!("key create {workspace} --reason other --change-id k-1");
    let reused = bench.admin("administer", &other).await;
    assert_eq!(reused.code, 1);
    assert!(
        reused.error.starts_with("change_id_reused: "),
        "{}",
        reused.error
    );
}

#[tokio::test]
async fn changes_from_the_same_base_conflict_only_on_the_same_entry() {
    let bench = OperatorBench::start().await;
    let pool = bench.deployment.options.engine_pool.clone();
    let service = bench.deployment.options.service_pool.clone();
    let drain = |pool: &str, server: &str| {
        format!("server drain {pool} {server} --reason race --based-on 1")
    };
    let first = bench.admin("operate", &drain(&pool, "a")).await;
    assert_eq!(first.code, 0, "{}", first.error);
    let same = bench.admin("operate", &drain(&pool, "b")).await;
    assert_eq!(same.code, 3, "{}", same.error);
    assert!(same.error.contains("by operate-operator"), "{}", same.error);
    let other = bench.admin("operate", &drain(&service, "b")).await;
    assert_eq!(other.code, 0, "{}", other.error);
}

#[tokio::test]
async fn drained_host_reports_itself_unready() {
    let bench = OperatorBench::start().await;
    let drained = bench
        .admin("operate", "host drain cumbre-host-0 --reason patch")
        .await;
    assert_eq!(drained.json()["draining"], true);
    assert!(bench.host.context().draining.load(Ordering::Relaxed));
    assert_eq!(ready_status(&bench).await, 503);
    let restored = bench
        .admin("operate", "host restore cumbre-host-0 --reason done")
        .await;
    assert_eq!(restored.json()["draining"], false);
    assert_eq!(ready_status(&bench).await, 200);
}

/// Returns the status code of the host's `/readyz`.
async fn ready_status(bench: &OperatorBench) -> u16 {
    let address = bench.host.caller_address().to_string();
    let request = json_request(Method::GET, &address, "/readyz", None::<&()>)
        .expect("the request can be built");
    let response = HttpClient::new().send(&address, request).await;
    response.expect("the host answers").status().as_u16()
}

#[tokio::test]
async fn withdrawal_names_the_domains_that_were_not_reached() {
    let bench = OperatorBench::start_with(DeploymentOptions::nieve_alta()).await;
    let servers = bench.deployment.engines.len();
    bench
        .wait_until(|host| host.context().tables.load().servers.servers().count() >= servers)
        .await;
    let words = "withdraw advice@small --reason wrong-advice --output json";
    let answer = bench.admin("operate", words).await.json();
    let propagation = &answer["propagation"];
    assert_eq!(propagation["everywhere"], false);
    assert_eq!(propagation["domains"][0]["domain"], "cumbre");
    assert_eq!(propagation["domains"][0]["lowest_generation"], 2);
    let missing = propagation["domains_not_reached"].to_string();
    assert_eq!(missing, r#"["base-lodge","bosque","taller"]"#);
    let status = bench.admin("read", "status").await.json();
    assert_eq!(status["generation"], 2);
    assert_eq!(status["host"], "cumbre-host-0");
}

#[tokio::test]
async fn wait_timeout_reports_the_domains_that_were_not_reached() {
    let bench = OperatorBench::start_with(DeploymentOptions::nieve_alta()).await;
    let servers = bench.deployment.engines.len();
    bench
        .wait_until(|host| host.context().tables.load().servers.servers().count() >= servers)
        .await;
    let words = "key rotate-sessions --reason yearly --wait --wait-timeout 1s";
    let result = bench.admin("administer", words).await;
    assert_eq!(result.code, 7, "{}", result.error);
    let text = "generation 2 is not in force everywhere yet: ";
    assert!(result.error.starts_with(text), "{}", result.error);
    let missing = "domain base-lodge, domain bosque, domain taller";
    assert!(result.error.ends_with(missing), "{}", result.error);
}

#[tokio::test]
async fn drained_server_takes_no_new_work() {
    let bench = OperatorBench::start().await;
    let pool = bench.deployment.options.engine_pool.clone();
    let name = bench
        .deployment
        .engines
        .keys()
        .next()
        .expect("there are engines");
    let lifecycle = |host: &EntryHost| {
        let tables = host.context().tables.load();
        let found = tables
            .servers
            .find(&pool.as_str().into(), &name.as_str().into());
        found.map(|server| server.lifecycle)
    };
    bench
        .wait_until(|host| lifecycle(host) == Some(ServerLifecycle::Live))
        .await;
    let drain = format!("server drain {pool} {name} --reason repair");
    assert_eq!(bench.admin("operate", &drain).await.code, 0);
    bench
        .wait_until(|host| lifecycle(host) == Some(ServerLifecycle::Draining))
        .await;
    let restore = format!("server restore {pool} {name} --reason repaired --wait");
    assert_eq!(bench.admin("operate", &restore).await.code, 0);
    bench
        .wait_until(|host| lifecycle(host) == Some(ServerLifecycle::Live))
        .await;
}
