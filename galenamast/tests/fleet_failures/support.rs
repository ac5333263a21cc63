//! Starts fleets of nine hosts and changes their configuration.

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

/// Fleets that run at the same time; limits the load on small machines.
const MAX_FLEETS: usize = 3;
/// Age of the configuration from which on the version `trial` gets no new work.
pub(crate) const TRIAL_FRESHNESS_BOUND: Duration = Duration::from_secs(6);

/// Limits the number of fleets that run at the same time.
static FLEETS: Semaphore = Semaphore::const_new(MAX_FLEETS);

/// Waits until another fleet may run. The fleet may run while the returned permit is held.
pub(crate) async fn fleet_permit() -> SemaphorePermit<'static> {
    FLEETS
        .acquire()
        .await
        .expect("the semaphore is never closed")
}

/// Returns options for nine hosts in three failure domains.
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

/// Returns the deployment's model with the added version `trial` and the given stages set.
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
        freshness_bound: Some(TRIAL_FRESHNESS_BOUND),
        ..Default::default()
    };
    model.versions.insert("trial".into(), trial);
    for (name, stage) in stages {
        let version = model.versions.get_mut(&(*name).into());
        version.expect("the model has the version").stage = *stage;
    }
    model
}

/// Publishes a configuration with a roll-out that gives `trial` a share of new work, in thousandths.
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

/// Returns the default configuration with session keys, which all hosts share.
pub(crate) fn keyed_documents(deployment: &Deployment) -> Vec<ConfigObject> {
    let mut documents = deployment.default_documents();
    documents.push(ConfigObject::SessionKeys(SessionKeys {
        current: SecretKey::from_bytes([9; 32]),
        previous: None,
    }));
    documents
}

/// Starts nine hosts in three failure domains.
pub(crate) async fn start_fleet() -> Fleet {
    start_with(three_domains()).await
}

/// Starts a fleet with the given options.
pub(crate) async fn start_with(options: DeploymentOptions) -> Fleet {
    let deployment = Deployment::without_hosts(options).await;
    let deployment = deployment.expect("the deployment starts");
    let documents = keyed_documents(&deployment);
    publish_config(&deployment.objects, ConfigGeneration(1), &documents).expect("it encodes");
    Fleet::start_on(deployment).await.expect("the hosts start")
}

/// Starts nine hosts in three failure domains, with a version under roll-out that takes a
/// share of new work, in thousandths.
pub(crate) async fn start_trial_fleet(share: u32) -> Fleet {
    let deployment = Deployment::without_hosts(three_domains()).await;
    let deployment = deployment.expect("the deployment starts");
    publish_trial(&deployment, share);
    Fleet::start_on(deployment).await.expect("the hosts start")
}

/// Changes the configuration directly on the object API, unaffected by cuts between hosts and it.
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

/// Withdraws a version; returns the first generation in which it is withdrawn.
pub(crate) async fn withdraw(fleet: &Fleet, version: &str) -> ConfigGeneration {
    let model = model_with(&fleet.deployment, &[(version, VersionStage::Withdrawn)]);
    let change_id = format!("withdraw {version}");
    let result = change(fleet, &change_id, vec![ConfigObject::Model(model)]).await;
    result.expect("the change is accepted").generation
}
