//! A scenario of a roll-out whose version turns bad.

use std::collections::BTreeMap;
use std::time::Duration;

use galenamast::coordination::ConfigObject;
use galenamast::state::{
    ModelSpec, RolloutPhase, RolloutSpec, VersionKey, VersionSpec, VersionStage,
};
use galenamast_fakes::EngineOptions;

use crate::deployment::{Deployment, DeploymentOptions};
use crate::scenario_context::ScenarioContext;
use crate::scenario_report::{ScenarioError, ScenarioReport, wait_for};

/// Name of the roll-out.
const ROLLOUT: &str = "draft-v2";
/// Quality of the answers of both versions at first.
const GOOD_QUALITY: f64 = 0.9;
/// Quality of the candidate's answers once it turned bad.
const BAD_QUALITY: f64 = 0.4;
/// Share of new sessions that the candidate takes, in thousandths.
const CANDIDATE_SHARE: u32 = 500;
/// Requests while both versions are good.
const GOOD_REQUESTS: usize = 120;
/// Requests within which a version that turned bad must be braked.
const BAD_REQUESTS: usize = 3_000;
/// Requests after the brake.
const LATER_REQUESTS: usize = 60;
/// Requests after which a scenario lets the ratings arrive.
const RATING_BATCH: usize = 10;
/// Time in which ratings arrive.
const RATING_PAUSE: Duration = Duration::from_millis(20);

/// Starts a deployment in which the second version of a model is rolled out.
///
/// # Errors
///
/// Returns an error if the deployment cannot start.
pub async fn start_rollout() -> Result<ScenarioContext, ScenarioError> {
    let versions: BTreeMap<String, f64> = ["drafts@v1", "drafts@v2"]
        .map(|version| (version.to_owned(), GOOD_QUALITY))
        .into();
    let options = DeploymentOptions {
        engine: EngineOptions {
            versions,
            ..Default::default()
        },
        ..DeploymentOptions::saurashtra()
    };
    let pool = options.engine_pool.clone();
    ScenarioContext::start(options, |documents| add_rollout(documents, &pool)).await
}

/// Replaces the model by one whose second version is rolled out.
fn add_rollout(documents: &mut Vec<ConfigObject>, pool: &str) {
    let version = |stage| VersionSpec {
        pool: pool.into(),
        stage,
        prior_quality: GOOD_QUALITY,
        ..Default::default()
    };
    let versions = [
        ("v1".into(), version(VersionStage::Established)),
        ("v2".into(), version(VersionStage::RollingOut)),
    ];
    documents.retain(|document| !matches!(document, ConfigObject::Model(_)));
    documents.push(ConfigObject::Model(ModelSpec {
        name: "drafts".into(),
        versions: versions.into(),
    }));
    documents.push(ConfigObject::Rollout(RolloutSpec {
        name: ROLLOUT.into(),
        model: "drafts".into(),
        candidate: "v2".into(),
        baseline: "v1".into(),
        step_shares: vec![CANDIDATE_SHARE, 1_000],
        ..Default::default()
    }));
    for document in documents {
        if let ConfigObject::Workspace(workspace) = document {
            workspace.allowed = [("drafts".into(), ["v1".into(), "v2".into()].into())].into();
        }
    }
}

/// Checks that the roll-out goes on while its version is good and is braked once it turned bad.
///
/// # Errors
///
/// Returns an error if a request is not answered.
pub async fn check_brake(
    scene: &mut ScenarioContext,
    report: &mut ScenarioReport,
) -> Result<(), ScenarioError> {
    let candidate = VersionKey::new("drafts", "v2");
    let taken = count_candidate(scene, GOOD_REQUESTS).await?;
    let early = braked_hosts(&scene.deployment, &candidate);
    let seen = format!("it took {taken} of {GOOD_REQUESTS}; braked on {early} hosts");
    let holds = taken > 0 && early == 0;
    let claim = "a good version under roll-out takes its share";
    report.add(&scene.workspace, claim, seen, holds);

    for engine in scene.deployment.engines.values() {
        engine.change(|options| {
            options.versions.insert("drafts@v2".into(), BAD_QUALITY);
        });
    }
    let (mut sent, mut bad) = (0, 0);
    while sent < BAD_REQUESTS && braked_hosts(&scene.deployment, &candidate) == 0 {
        bad += count_candidate(scene, RATING_BATCH).await?;
        sent += RATING_BATCH;
    }
    let hosts = scene.deployment.hosts.len();
    let told = wait_for(|| braked_hosts(&scene.deployment, &candidate) == hosts).await;
    let braked = braked_hosts(&scene.deployment, &candidate);
    let seen = format!("{bad} bad answers in {sent}; braked on {braked} of {hosts} hosts");
    let claim = "a version that turned bad is braked everywhere";
    report.add(&scene.workspace, claim, seen, told);

    let later = count_candidate(scene, LATER_REQUESTS).await?;
    let seen = format!("{later} of the next {LATER_REQUESTS} went to it");
    let claim = "a braked version gets no new work";
    report.add(&scene.workspace, claim, seen, later == 0);

    let recorded = wait_for(|| all_record_brake(&scene.deployment)).await;
    let phase = if recorded { "braked" } else { "not braked" };
    let seen = format!("the configuration says {phase}");
    let claim = "the lease holder records the brake";
    report.add(&scene.workspace, claim, seen, recorded);
    Ok(())
}

/// Sends requests to all hosts in turn and counts those that the candidate answered.
async fn count_candidate(
    scene: &mut ScenarioContext,
    requests: usize,
) -> Result<usize, ScenarioError> {
    let mut taken = 0;
    for index in 0..requests {
        let reply = scene.chat(index, &[]).await?;
        taken += usize::from(reply.header("x-version") == Some("v2"));
        if index % RATING_BATCH == RATING_BATCH - 1 {
            tokio::time::sleep(RATING_PAUSE).await;
        }
    }
    Ok(taken)
}

/// Counts the hosts on which a version is braked.
fn braked_hosts(deployment: &Deployment, version: &VersionKey) -> usize {
    let hosts = deployment.hosts.values();
    let braked = hosts.filter(|host| {
        let context = host.context();
        let tables = context.tables.load();
        let expiry = tables.brakes.get(version);
        expiry.is_some_and(|expiry| *expiry > context.timers.now())
    });
    braked.count()
}

/// Returns whether every host has a configuration that records the brake.
fn all_record_brake(deployment: &Deployment) -> bool {
    let hosts = deployment.hosts.values();
    let mut images = hosts.map(|host| host.context().image.load_full());
    images.all(|image| {
        let rollout = image.rollouts.get(&ROLLOUT.into());
        rollout.is_some_and(|rollout| rollout.phase == RolloutPhase::Braked)
    })
}
