//! The scenarios of the quickstart succeed.

use galenamast_testbed::{
    ScenarioReport, check_brake, check_cascade, check_claim, check_session, check_usage,
    start_advice, start_rollout,
};

#[tokio::test]
async fn the_advice_scenarios_succeed() {
    let mut report = ScenarioReport::default();
    let mut scene = start_advice().await.expect("the deployment starts");
    let cascade = check_cascade(&mut scene, &mut report).await;
    cascade.expect("the requests are answered");
    let session = check_session(&mut scene, &mut report).await;
    session.expect("the session is answered");
    let claim = check_claim(&mut scene, &mut report).await;
    claim.expect("the claims are answered");
    let usage = check_usage(scene, &mut report).await;
    usage.expect("the usage can be read");
    assert_eq!((report.rows.len(), report.failures()), (4, Vec::new()));
}

#[tokio::test]
async fn the_brake_scenario_succeeds() {
    let mut report = ScenarioReport::default();
    let mut scene = start_rollout().await.expect("the deployment starts");
    let brake = check_brake(&mut scene, &mut report).await;
    brake.expect("the requests are answered");
    let usage = check_usage(scene, &mut report).await;
    usage.expect("the usage can be read");
    assert_eq!((report.rows.len(), report.failures()), (5, Vec::new()));
}
