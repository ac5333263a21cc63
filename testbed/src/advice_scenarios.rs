//! Scenarios of the advice pool: a cascade, a session and a claim with its resend.

use galenamast::coordination::ConfigObject;
use http::Method;
use serde_json::json;

use crate::deployment::DeploymentOptions;
use crate::scenario_context::ScenarioContext;
use crate::scenario_report::{ScenarioError, ScenarioReport};

/// Price of the cheap version's tokens, in micro-units of currency per thousand.
const CHEAP_PRICE: u64 = 1_000;
/// Price of the dear version's tokens, in micro-units of currency per thousand.
const DEAR_PRICE: u64 = 30_000;
/// Quality of the cheap version's answers, which is below what the cascade accepts.
const CHEAP_QUALITY: f64 = 0.5;
/// Requests among which one must be answered by a cascade; a few explore instead.
const CASCADE_REQUESTS: usize = 10;
/// Requests of the session.
const SESSION_REQUESTS: usize = 6;

/// Starts a deployment with a cheap and a dear version of one model.
///
/// # Errors
///
/// Returns an error if the deployment cannot start.
pub async fn start_advice() -> Result<ScenarioContext, ScenarioError> {
    let scene = ScenarioContext::start(DeploymentOptions::nieve_alta(), set_prices).await?;
    for engine in scene.deployment.engines.values() {
        engine.change(|options| {
            options
                .versions
                .insert("advice@small".into(), CHEAP_QUALITY);
        });
    }
    Ok(scene)
}

/// Makes one version of the model far dearer than the other.
fn set_prices(documents: &mut Vec<ConfigObject>) {
    for document in documents {
        if let ConfigObject::Model(model) = document {
            for (name, price) in [("small", CHEAP_PRICE), ("large", DEAR_PRICE)] {
                if let Some(version) = model.versions.get_mut(&name.into()) {
                    version.input_price = price;
                    version.output_price = price * 3;
                }
            }
        }
    }
}

/// Checks that a cheap answer that is rated too low is escalated to the dear version.
///
/// # Errors
///
/// Returns an error if a request is not answered.
pub async fn check_cascade(
    scene: &mut ScenarioContext,
    report: &mut ScenarioReport,
) -> Result<(), ScenarioError> {
    let mut seen = "no request was answered by a cascade".to_owned();
    let mut holds = false;
    for index in 0..CASCADE_REQUESTS {
        let reply = scene.chat(index, &[]).await?;
        let id = reply.header("x-request-id").unwrap_or_default();
        let tried = versions_tried(scene, id);
        let text = reply.content();
        if tried.len() == 2 && tried.contains(&"advice@small".to_owned()) {
            holds = reply.header("x-version") == Some("large") && text.ends_with("quality=0.95");
            seen = format!("ran {}; delivered {text:?}", tried.join(" and "));
            break;
        }
    }
    let claim = "a cheap answer rated too low is escalated";
    report.add(&scene.workspace, claim, seen, holds);
    Ok(())
}

/// Lists the versions that engines ran for a request.
fn versions_tried(scene: &ScenarioContext, request_id: &str) -> Vec<String> {
    let engines = scene.deployment.engines.values();
    let runs = engines.flat_map(|engine| engine.runs());
    let own = runs.filter(|run| run.request_id == request_id);
    let mut tried: Vec<String> = own.map(|run| run.version).collect();
    tried.sort();
    tried
}

/// Checks that a session keeps its version on every host.
///
/// # Errors
///
/// Returns an error if a request is not answered.
pub async fn check_session(
    scene: &mut ScenarioContext,
    report: &mut ScenarioReport,
) -> Result<(), ScenarioError> {
    let first = scene.chat(0, &[]).await?;
    let token = first.header("x-session-token").unwrap_or_default();
    let token = token.to_owned();
    let version = first.header("x-version").unwrap_or_default().to_owned();
    let mut kept = 0;
    for index in 1..=SESSION_REQUESTS {
        let reply = scene.chat(index, &[("x-session-token", &token)]).await?;
        kept += usize::from(reply.header("x-version") == Some(version.as_str()));
    }
    let seen = format!("{kept} of {SESSION_REQUESTS} on other hosts kept {version}");
    let holds = kept == SESSION_REQUESTS && !token.is_empty();
    let claim = "a session keeps its version";
    report.add(&scene.workspace, claim, seen, holds);
    Ok(())
}

/// Checks that a resend to another host gets the stored answer and is not run again.
///
/// # Errors
///
/// Returns an error if the first call is not answered.
pub async fn check_claim(
    scene: &mut ScenarioContext,
    report: &mut ScenarioReport,
) -> Result<(), ScenarioError> {
    let body = json!({ "amount": 40 });
    let path = format!("/svc/{}/deposit", scene.deployment.options.service_pool);
    let headers = [("idempotency-key", "deposit-1")];
    let mut replies = Vec::new();
    for host in 0..2 {
        let address = scene.host(host);
        let call = scene
            .caller()
            .send(Method::POST, address, &path, Some(&body), &headers);
        replies.push(call.await?);
    }
    let first = scene.note(replies[0].clone())?;
    let services = scene.deployment.services.values();
    let runs: usize = services.map(|service| service.runs().len()).sum();
    let same = replies[1].status == 200 && replies[1].body == first.body;
    let answer = if same { "the stored" } else { "another" };
    let seen = format!("{runs} run at the services; the resend got {answer} answer");
    let claim = "a resend to another host gets the stored answer";
    report.add(&scene.workspace, claim, seen, runs == 1 && same);
    Ok(())
}
