//! Runs the deployments of two organisations on embedded stand-ins and checks their behaviour.
//!
//! Exits with 1 if a scenario fails or an expectation is not met.

use std::process::ExitCode;

use galenamast_testbed::{
    ScenarioError, ScenarioReport, check_brake, check_cascade, check_claim, check_session,
    check_usage, start_advice, start_rollout,
};

#[tokio::main]
async fn main() -> ExitCode {
    let mut report = ScenarioReport::default();
    let outcome = run_scenarios(&mut report).await;
    print!("{report}");
    if let Err(error) = &outcome {
        eprintln!("quickstart: a scenario ended with an error: {error}");
    }
    for row in report.failures() {
        eprintln!(
            "quickstart: does not hold: {}: {}",
            row.expectation, row.observed
        );
    }
    if outcome.is_err() || !report.failures().is_empty() {
        return ExitCode::FAILURE;
    }
    println!("quickstart: ok");
    ExitCode::SUCCESS
}

/// Runs the scenarios of both deployments.
async fn run_scenarios(report: &mut ScenarioReport) -> Result<(), ScenarioError> {
    let mut advice = start_advice().await?;
    check_cascade(&mut advice, report).await?;
    check_session(&mut advice, report).await?;
    check_claim(&mut advice, report).await?;
    check_usage(advice, report).await?;
    let mut rollout = start_rollout().await?;
    check_brake(&mut rollout, report).await?;
    check_usage(rollout, report).await
}
