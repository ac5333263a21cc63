//! A scenario of a roll-out whose candidate degrades and is braked.

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
/// Quality of the answers of both versions at the start.
const GOOD_QUALITY: f64 = 0.9;
/// Quality of the candidate's answers after it degrades.
const BAD_QUALITY: f64 = 0.4;
/// Share of new sessions that the candidate takes, in thousandths.
const CANDIDATE_SHARE: u32 = 500;
/// Requests sent while both versions are good.
const GOOD_REQUESTS: usize = 120;
/// Requests within which the degraded candidate must be braked.
const BAD_REQUESTS: usize = 3_000;
/// Requests sent after the brake.
const LATER_REQUESTS: usize = 60;
/// Requests after which the scenario pauses until their ratings have arrived.
const RATING_BATCH: usize = 10;
/// Pause after each batch, in which its ratings arrive.
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

/// Checks that the roll-out continues while its candidate is good and is braked after it degrades.
///
/// # Errors
///
/// Returns an error if a request is not answered.
pub async fn check_brake(
    context: &mut ScenarioContext,
    report: &mut ScenarioReport,
) -> Result<(), ScenarioError> {
    let candidate = VersionKey::new("drafts", "v2");
    let taken = count_candidate_answers(context, GOOD_REQUESTS).await?;
    let braked_early = braked_hosts(&context.deployment, &candidate);
    let observed = format!("it took {taken} of {GOOD_REQUESTS}; braked on {braked_early} hosts");
    let passed = taken > 0 && braked_early == 0;
    let expectation = "a good version under roll-out takes its share";
    report.add(&context.workspace, expectation, observed, passed);

    for engine in context.deployment.engines.values() {
        engine.change(|options| {
            options.versions.insert("drafts@v2".into(), BAD_QUALITY);
        });
    }
    let (mut sent, mut bad) = (0, 0);
    while sent < BAD_REQUESTS && braked_hosts(&context.deployment, &candidate) == 0 {
        bad += count_candidate_answers(context, RATING_BATCH).await?;
        sent += RATING_BATCH;
    }
    let hosts = context.deployment.hosts.len();
    let braked_everywhere =
        wait_for(|| braked_hosts(&context.deployment, &candidate) == hosts).await;
    let braked = braked_hosts(&context.deployment, &candidate);
    let observed = format!("{bad} bad answers in {sent}; braked on {braked} of {hosts} hosts");
    let expectation = "a version that turned bad is braked everywhere";
    report.add(&context.workspace, expectation, observed, braked_everywhere);

    let later = count_candidate_answers(context, LATER_REQUESTS).await?;
    let observed = format!("{later} of the next {LATER_REQUESTS} went to it");
    let expectation = "a braked version gets no new work";
    report.add(&context.workspace, expectation, observed, later == 0);

    let recorded = wait_for(|| all_record_brake(&context.deployment)).await;
    let phase = if recorded { "braked" } else { "not braked" };
    let observed = format!("the configuration says {phase}");
    let expectation = "the lease holder records the brake";
    report.add(&context.workspace, expectation, observed, recorded);
    Ok(())
}

/// Sends requests to the hosts in turn and returns how many the candidate answered.
async fn count_candidate_answers(
    context: &mut ScenarioContext,
    requests: usize,
) -> Result<usize, ScenarioError> {
    let mut taken = 0;
    for index in 0..requests {
        let reply = context.chat(index, &[]).await?;
        taken += usize::from(reply.header("x-version") == Some("v2"));
        if index % RATING_BATCH == RATING_BATCH - 1 {
            tokio::time::sleep(RATING_PAUSE).await;
        }
    }
    Ok(taken)
}

/// Returns the number of hosts on which a version is braked.
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

/// Returns whether the configuration of every host records the brake.
fn all_record_brake(deployment: &Deployment) -> bool {
    let hosts = deployment.hosts.values();
    let mut images = hosts.map(|host| host.context().image.load_full());
    images.all(|image| {
        let rollout = image.rollouts.get(&ROLLOUT.into());
        rollout.is_some_and(|rollout| rollout.phase == RolloutPhase::Braked)
    })
}
