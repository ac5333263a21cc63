//! Dead, draining, refusing and silent backend servers.

use std::time::Duration;

use galenamast::coordination::ConfigObject;
use galenamast::state::{ConfigGeneration, ServerLifecycle, VersionStage};
use galenamast_testbed::{Deployment, publish_config};

use crate::support::{chat, engine_runs, eventually, start};

/// Returns the lifecycle state of a server in the tables of the host.
fn lifecycle_of(deployment: &Deployment, name: &str) -> Option<ServerLifecycle> {
    let tables = deployment.hosts["host"].context().tables.load();
    let found = tables.servers.servers().find(|s| s.name.as_str() == name);
    found.map(|server| server.lifecycle)
}

#[tokio::test]
async fn a_dead_server_fails_no_idempotent_request() {
    let deployment = start(3).await;
    deployment.engines["cumbre-engine-0"].kill();
    for _ in 0..20 {
        assert_eq!(chat(&deployment, "boots", &[]).await.status, 200);
    }
}

#[tokio::test]
async fn a_draining_server_gets_no_new_work() {
    let deployment = start(2).await;
    let engine = &deployment.engines["cumbre-engine-0"];
    engine.set_draining(true);
    eventually("the flag is seen", || {
        lifecycle_of(&deployment, "cumbre-engine-0") == Some(ServerLifecycle::Draining)
    })
    .await;
    let before = engine.runs().len();
    // The server clears the flag, which has no effect before a newer incarnation.
    engine.set_draining(false);
    for _ in 0..20 {
        assert_eq!(chat(&deployment, "boots", &[]).await.status, 200);
    }
    assert_eq!(engine.runs().len(), before);
    engine.set_incarnation(2);
    eventually("the restart is seen", || {
        lifecycle_of(&deployment, "cumbre-engine-0") == Some(ServerLifecycle::Live)
    })
    .await;
}

#[tokio::test]
async fn a_server_listed_as_leaving_gets_no_new_work() {
    let deployment = start(2).await;
    deployment.host_list.publish(|list| {
        for host in list
            .iter_mut()
            .filter(|host| host.name == "cumbre-engine-1")
        {
            host.state = "leaving".into();
        }
    });
    eventually("the list is read", || {
        lifecycle_of(&deployment, "cumbre-engine-1") == Some(ServerLifecycle::Draining)
    })
    .await;
    let engine = &deployment.engines["cumbre-engine-1"];
    let before = engine.runs().len();
    for _ in 0..20 {
        assert_eq!(chat(&deployment, "boots", &[]).await.status, 200);
    }
    assert_eq!(engine.runs().len(), before);
}

#[tokio::test]
async fn a_slow_load_report_does_not_delay_another() {
    let deployment = start(2).await;
    let slow = &deployment.engines["cumbre-engine-0"];
    slow.set_faults(|faults| faults.hang_load = true);
    let fast = &deployment.engines["cumbre-engine-1"];
    fast.set_draining(true);
    eventually("the other report is read", || {
        lifecycle_of(&deployment, "cumbre-engine-1") == Some(ServerLifecycle::Draining)
    })
    .await;
    // The hanging report has not timed out yet, so the other one did not wait for it.
    assert_eq!(
        lifecycle_of(&deployment, "cumbre-engine-0"),
        Some(ServerLifecycle::Live)
    );
    eventually("the silent server becomes suspect", || {
        lifecycle_of(&deployment, "cumbre-engine-0") == Some(ServerLifecycle::Suspect)
    })
    .await;
}

#[tokio::test]
async fn a_request_refused_by_every_server_has_not_run() {
    let deployment = start(2).await;
    for engine in deployment.engines.values() {
        engine.faults().set(|plan| plan.refuse = true);
    }
    let reply = chat(&deployment, "boots", &[]).await;
    assert_eq!(reply.status, 503);
    assert_eq!(reply.json()["run"], "not_run");
    assert!(reply.header("retry-after").is_some());
    assert_eq!(engine_runs(&deployment), 0);
}

#[tokio::test]
async fn a_request_whose_answer_is_lost_ends_as_unknown_at_the_deadline() {
    let deployment = start(1).await;
    let engine = deployment.engines.values().next().expect("one engine");
    engine.faults().set(|plan| plan.lose_answers = 1);
    let reply = chat(&deployment, "boots", &[("x-deadline-ms", "300")]).await;
    assert_eq!(reply.status, 408);
    assert_eq!(reply.json()["run"], "outcome_unknown");
    assert_eq!(engine_runs(&deployment), 1);
}

#[tokio::test]
async fn a_request_that_crashes_servers_is_refused_after_two_crashes() {
    let deployment = start(4).await;
    for engine in deployment.engines.values() {
        engine.set_faults(|faults| faults.poison = Some("venom".into()));
    }
    let first = chat(&deployment, "venom", &[]).await;
    assert_eq!(first.status, 502);
    assert_eq!(first.json()["run"], "outcome_unknown");
    for _ in 0..3 {
        let again = chat(&deployment, "venom", &[]).await;
        assert_eq!(again.status, 422);
        assert_eq!(again.json()["run"], "not_run");
        assert!(again.header("retry-after").is_some());
    }
    let dead = deployment.engines.values().filter(|e| e.is_dead()).count();
    assert_eq!(dead, 2);
    assert_eq!(chat(&deployment, "boots", &[]).await.status, 200);
}

#[tokio::test]
async fn a_withdrawn_version_gets_no_work_once_the_change_is_adopted() {
    let deployment = start(1).await;
    let mut documents = deployment.default_documents();
    for document in &mut documents {
        if let ConfigObject::Model(model) = document {
            let version = model.versions.get_mut(&"small".into()).expect("exists");
            version.stage = VersionStage::Withdrawn;
        }
    }
    publish_config(&deployment.objects, ConfigGeneration(2), &documents).expect("encodes");
    let host = &deployment.hosts["host"];
    eventually("the change is adopted", || {
        host.context().image.load().generation == ConfigGeneration(2)
    })
    .await;
    let engine = deployment.engines.values().next().expect("one engine");
    let before = engine.runs().len();
    for _ in 0..20 {
        let reply = chat(&deployment, "boots", &[]).await;
        assert_eq!(
            (reply.status, reply.header("x-version")),
            (200, Some("large"))
        );
    }
    let later = engine.runs().split_off(before);
    assert!(later.iter().all(|run| run.version == "advice@large"));
}

#[tokio::test]
async fn a_slow_answer_is_not_cut_off_after_the_load_period() {
    let deployment = start(1).await;
    for engine in deployment.engines.values() {
        engine.change(|options| options.first_token = Duration::from_millis(300));
    }
    assert_eq!(chat(&deployment, "boots", &[]).await.status, 200);
}
