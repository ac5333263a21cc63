//! Sessions keep their version, and no workspace can use another's token.

use galenamast::coordination::ConfigObject;
use galenamast::state::{ConfigGeneration, SecretKey, SessionKeys, VersionStage};
use galenamast_testbed::{Caller, Deployment, publish_config};

use crate::support::{chat, eventually, host_address, start};

/// Publishes a changed configuration and waits until it is in force.
async fn publish(
    deployment: &Deployment,
    generation: u64,
    change: impl FnOnce(&mut Vec<ConfigObject>),
) {
    let mut documents = deployment.default_documents();
    let keys = SessionKeys {
        current: SecretKey::from_bytes([7; 32]),
        previous: None,
    };
    documents.push(ConfigObject::SessionKeys(keys));
    change(&mut documents);
    let generation = ConfigGeneration(generation);
    publish_config(&deployment.objects, generation, &documents).expect("encodes");
    let context = deployment.hosts["host"].context().clone();
    eventually("the change is adopted", || {
        context.image.load().generation == generation
    })
    .await;
}

#[tokio::test]
async fn a_session_keeps_its_version() {
    let deployment = start(2).await;
    publish(&deployment, 2, |_| {}).await;
    for _ in 0..4 {
        let first = chat(&deployment, "boots", &[]).await;
        let token = first.header("x-session-token").expect("a token").to_owned();
        for _ in 0..6 {
            let next = chat(&deployment, "boots", &[("x-session-token", &token)]).await;
            assert_eq!(next.status, 200);
            assert_eq!(next.header("x-version"), first.header("x-version"));
            assert_eq!(next.header("x-session-token"), Some(token.as_str()));
        }
    }
}

#[tokio::test]
async fn a_foreign_or_forged_token_is_refused() {
    let deployment = start(1).await;
    publish(&deployment, 2, |_| {}).await;
    let first = chat(&deployment, "boots", &[]).await;
    let token = first.header("x-session-token").expect("a token").to_owned();
    let other = Caller::new("ski-school");
    let headers = [("x-session-token", token.as_str())];
    let foreign = other
        .chat(host_address(&deployment), "boots", &headers)
        .await;
    assert_eq!(foreign.expect("answered").status, 400);
    let forged = chat(&deployment, "boots", &[("x-session-token", "bm9uZQ")]).await;
    assert_eq!(forged.status, 400);
    assert_eq!(forged.json()["run"], "not_run");
    assert_eq!(crate::support::engine_runs(&deployment), 1);
}

#[tokio::test]
async fn a_session_of_a_withdrawn_version_is_refused_and_not_moved() {
    let deployment = start(1).await;
    publish(&deployment, 2, |_| {}).await;
    let first = chat(&deployment, "boots", &[]).await;
    let token = first.header("x-session-token").expect("a token").to_owned();
    let version = first.header("x-version").expect("a version").to_owned();
    publish(&deployment, 3, |documents| {
        for document in documents {
            if let ConfigObject::Model(model) = document {
                let version = model.versions.get_mut(&version.as_str().into());
                version.expect("exists").stage = VersionStage::Withdrawn;
            }
        }
    })
    .await;
    let refused = chat(&deployment, "boots", &[("x-session-token", &token)]).await;
    assert_eq!(refused.status, 409);
    assert_eq!(refused.json()["code"], "version_withdrawn");
    assert_eq!(refused.json()["run"], "not_run");
    assert_eq!(crate::support::engine_runs(&deployment), 1);
}
