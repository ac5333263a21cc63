//! Fleets of nine hosts and changes of their configuration.

use std::collections::BTreeMap;
use std::time::Duration;

use galenamast::coordination::{ChangeReceipt, ChangeRefusal, ConfigChange, ConfigObject};
use galenamast::state::{
    ConfigGeneration, ModelSpec, RolloutSpec, SecretKey, SessionKeys, VersionSpec, VersionStage,
    WorkspaceSpec,
};
use galenamast::transport::{ConfigWriter, HttpClient, ObjectClient, TimerService};
use galenamast_fakes::EngineOptions;
use galenamast_testbed::{Deployment, DeploymentOptions, Fleet, publish_config};
use tokio::sync::{Semaphore, SemaphorePermit};

/// Fleets that run at once, so that a small machine bears them.
const MAX_FLEETS: usize = 3;
/// Bound on the age of the configuration for the version under roll-out.
pub(crate) const TRIAL_BOUND: Duration = Duration::from_secs(6);

/// Admits the tests, so that only some of them run at once.
static FLEETS: Semaphore = Semaphore::const_new(MAX_FLEETS);

/// Waits until a fleet may run.
pub(crate) async fn admit() -> SemaphorePermit<'static> {
    FLEETS.acquire().await.expect("never closed")
}

/// Describes nine hosts in three failure domains.
pub(crate) fn three_domains() -> DeploymentOptions {
    let versions = [("small", 0.7), ("large", 0.95), ("trial", 0.95)];
    let versions = versions.map(|(name, quality)| (format!("advice@{name}"), quality));
    DeploymentOptions {
        hosts_per_domain: 3,
        engine: EngineOptions {
            versions: BTreeMap::from(versions),
            token_gap: Duration::from_millis(2),
            ..Default::default()
        },
        ..DeploymentOptions::saurashtra()
    }
}

/// Returns the model with a stage for one version.
pub(crate) fn model_with(deployment: &Deployment, stages: &[(&str, VersionStage)]) -> ModelSpec {
    let mut model = ModelSpec::default();
    for document in deployment.default_documents() {
        if let ConfigObject::Model(found) = document {
            model = found;
        }
    }
    let pool = model.versions[&"small".into()].pool.clone();
    let trial = VersionSpec {
        pool,
        stage: VersionStage::RollingOut,
        input_price: 10,
        output_price: 30,
        prior_quality: 0.95,
        freshness_bound: Some(TRIAL_BOUND),
        ..Default::default()
    };
    model.versions.insert("trial".into(), trial);
    for (name, stage) in stages {
        let version = model.versions.get_mut(&(*name).into());
        version.expect("the model has the version").stage = *stage;
    }
    model
}

/// Writes a configuration in which `trial` takes a share of new work, in thousandths, as long
/// as it may.
pub(crate) fn publish_trial(deployment: &Deployment, share: u32) {
    let rollout = RolloutSpec {
        name: "trial".into(),
        model: "advice".into(),
        candidate: "trial".into(),
        baseline: "large".into(),
        step_shares: vec![share],
        ..Default::default()
    };
    let mut documents = keyed_documents(deployment);
    for document in &mut documents {
        match document {
            ConfigObject::Model(model) => *model = model_with(deployment, &[]),
            ConfigObject::Workspace(WorkspaceSpec { allowed, .. }) => {
                let versions = allowed.values_mut().next().expect("a model is allowed");
                versions.insert("trial".into());
            }
            _ => {}
        }
    }
    documents.push(ConfigObject::Rollout(rollout));
    publish_config(&deployment.objects, ConfigGeneration(1), &documents).expect("it encodes");
}

/// Returns the default configuration with the keys that all hosts share.
pub(crate) fn keyed_documents(deployment: &Deployment) -> Vec<ConfigObject> {
    let mut documents = deployment.default_documents();
    documents.push(ConfigObject::SessionKeys(SessionKeys {
        current: SecretKey::from_bytes([9; 32]),
        previous: None,
    }));
    documents
}

/// Starts nine hosts in three failure domains.
pub(crate) async fn start_peer_tasks() -> Fleet {
    start_with(three_domains()).await
}

/// Starts the hosts that some options describe.
pub(crate) async fn start_with(options: DeploymentOptions) -> Fleet {
    let deployment = Deployment::without_hosts(options).await;
    let deployment = deployment.expect("the stand-ins start");
    let documents = keyed_documents(&deployment);
    publish_config(&deployment.objects, ConfigGeneration(1), &documents).expect("it encodes");
    Fleet::start_on(deployment).await.expect("the hosts start")
}

/// Starts nine hosts in three failure domains, with a version under roll-out that takes a
/// share of new work, in thousandths.
pub(crate) async fn start_trial_fleet(share: u32) -> Fleet {
    let deployment = Deployment::without_hosts(three_domains()).await;
    let deployment = deployment.expect("the stand-ins start");
    publish_trial(&deployment, share);
    Fleet::start_on(deployment).await.expect("the hosts start")
}

/// Makes a change of the configuration past the faults of the hosts' gates.
pub(crate) async fn change(
    fleet: &Fleet,
    change_id: &str,
    puts: Vec<ConfigObject>,
) -> Result<ChangeReceipt, ChangeRefusal> {
    let address = fleet.deployment.objects.address();
    let client = ObjectClient::new(HttpClient::new(), address, Duration::from_secs(2));
    let writer = ConfigWriter::new(&client, TimerService::system());
    let change = ConfigChange {
        change_id: change_id.into(),
        author: change_id.into(),
        reason: "test".into(),
        puts,
        ..Default::default()
    };
    writer.apply(&change, false).await
}

/// Withdraws a version; returns the generation from which on it is withdrawn.
pub(crate) async fn withdraw(fleet: &Fleet, version: &str) -> ConfigGeneration {
    let model = model_with(&fleet.deployment, &[(version, VersionStage::Withdrawn)]);
    let change_id = format!("withdraw {version}");
    let made = change(fleet, &change_id, vec![ConfigObject::Model(model)]).await;
    made.expect("the change is accepted").generation
}
